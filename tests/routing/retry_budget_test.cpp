// Tests of the retry budget through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using RetryBudgetTest = RouterFixture;

// An invalid request fails at every cache. Unlimited retries would use up the retry budget and open the
// breaker of one healthy cache after another.
TEST_F(RetryBudgetTest, SecondCacheErrorEndsRequest) {
    router.request("r1", "x");
    const std::string first = router.forwarded().endpoint;
    router.finish("r1", first, AttemptStatus::error);
    const std::string second = router.forwarded().endpoint;
    EXPECT_NE(first, second);
    router.finish("r1", second, AttemptStatus::error, 1);
    EXPECT_TRUE(router.actions_of<Forward>().empty());
    EXPECT_EQ(router.actions_of<Reject>().size(), 1u);
}

TEST_F(RetryBudgetTest, SourceErrorsDoNotEndRequest) {
    router.request("r1", "x");
    router.finish("r1", router.forwarded().endpoint, AttemptStatus::error, 0,
                  CacheStatus::source_unreachable);
    router.finish("r1", router.forwarded().endpoint, AttemptStatus::error, 1,
                  CacheStatus::source_unreachable);
    router.now += kSecond;
    router.handle(TimerExpired{router.last_timer()});
    EXPECT_EQ(router.actions_of<Forward>().size(), 1u);
}

TEST_F(RetryBudgetTest, NoRetryPastDeadline) {
    router.request("r1", "x", 40);
    std::string endpoint = router.forwarded().endpoint;
    router.now += 3'800 * kMillisecond;
    router.finish("r1", endpoint, AttemptStatus::error, 0);
    endpoint = router.forwarded().endpoint;
    router.now += 180 * kMillisecond;
    router.finish("r1", endpoint, AttemptStatus::error, 1);
    EXPECT_EQ(router.actions_of<Reject>().size(), 1u);
    EXPECT_TRUE(router.actions_of<SetTimer>().empty());
}

// If the time left is shorter than the transfer at full rate, a retry could only complete late.
TEST_F(RetryBudgetTest, RequestThatCannotCompleteInTimeIsRejected) {
    router.request("r1", "x", 300);  // 0.3 s at full rate
    const std::string endpoint = router.forwarded().endpoint;
    router.now += 3'720 * kMillisecond;
    router.finish("r1", endpoint, AttemptStatus::error, 0);
    EXPECT_EQ(router.actions_of<Reject>().size(), 1u);
}

TEST_F(RetryBudgetTest, LastTimeoutEndsBeforeDeadline) {
    router.request("r1", "x", 3'000);
    EXPECT_LT(router.forwarded().timeout, 4 * kSecond);
    EXPECT_GT(router.forwarded().timeout, 0);
}

}  // namespace
}  // namespace sumackeel::routing
