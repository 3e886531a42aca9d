// Tests of the circuit breaker through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using CircuitBreakerTest = RouterFixture;

TEST_F(CircuitBreakerTest, OpensAfterFailuresAndSendsOneTrial) {
    std::string failing;
    int opened = 0;
    for (int i = 0; i < 40 && opened == 0; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        const Forward forward = router.forwarded();
        if (failing.empty()) failing = forward.endpoint;
        router.now += 20 * kMillisecond;
        if (forward.endpoint != failing) {
            router.finish(id, forward.endpoint, AttemptStatus::served, 0, CacheStatus::filled);
            continue;
        }
        router.finish(id, forward.endpoint, AttemptStatus::error);
        opened += static_cast<int>(router.actions_of<LogMessage>().size());
        for (const Forward& retry : router.actions_of<Forward>()) {
            router.now += 20 * kMillisecond;
            router.finish(id, retry.endpoint, AttemptStatus::served, 1, CacheStatus::filled);
        }
    }
    ASSERT_EQ(opened, 1);
    for (int i = 0; i < 30; ++i) {  // open: no attempts are sent to it
        const std::string id = "s" + std::to_string(i);
        router.request(id, "q" + std::to_string(i));
        EXPECT_NE(router.forwarded().endpoint, failing);
        router.finish(id, router.forwarded().endpoint, AttemptStatus::served, 0, CacheStatus::hit);
    }
    router.now += 2 * kSecond;
    int trials = 0;
    for (int i = 0; i < 30; ++i) {  // half open: a single trial until it ends
        router.request("t" + std::to_string(i), "u" + std::to_string(i), 1);
        if (router.forwarded().endpoint == failing) ++trials;
    }
    EXPECT_EQ(trials, 1);
}

TEST_F(CircuitBreakerTest, InconclusiveTrialDoesNotKeepBreakerHalfOpen) {
    const auto attempts_at_failing = [&](const std::string& prefix, AttemptStatus status,
                                         const std::string& failing, int max_requests) {
        int sent = 0;
        for (int i = 0; i < max_requests; ++i) {
            const std::string id = prefix + std::to_string(i);
            router.request(id, id, 1);
            const Forward forward = router.forwarded();
            router.now += 5 * kMillisecond;
            sent += forward.endpoint == failing ? 1 : 0;
            router.finish(id, forward.endpoint, forward.endpoint == failing ? status : AttemptStatus::served,
                          0, CacheStatus::unknown);
            for (const Forward& retry : router.actions_of<Forward>())
                router.finish(id, retry.endpoint, AttemptStatus::served, 1, CacheStatus::hit);
        }
        return sent;
    };
    EXPECT_GE(attempts_at_failing("r", AttemptStatus::connect_failed, "a", 60), 3);
    EXPECT_EQ(attempts_at_failing("s", AttemptStatus::connect_failed, "a", 30), 0);  // open
    router.now += 3 * kSecond;
    EXPECT_GE(attempts_at_failing("t", AttemptStatus::cancelled, "a", 40),
              2);  // repeated trials, all inconclusive
}

}  // namespace
}  // namespace sumackeel::routing
