// Tests of latency prediction through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using LatencyPredictionTest = RouterFixture;

// A single lost response must not divert large objects from a healthy cache to others, which would have to
// fill them again.
TEST_F(LatencyPredictionTest, LostResponseDoesNotSlowResponsiveEndpoint) {
    for (const bool answers_others : {true, false}) {
        RouterHarness harness;
        harness.update_endpoints({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
        harness.request("first", "x", 40);
        const std::string home = harness.forwarded().endpoint;
        harness.now += 70 * kMillisecond;
        harness.finish("first", home, AttemptStatus::served);
        harness.request("lost", "x", 40);
        EXPECT_EQ(harness.forwarded().endpoint, home);
        harness.now += 100 * kMillisecond;
        harness.request("other", "x", 40);
        EXPECT_EQ(harness.forwarded().endpoint, home);
        harness.now += 70 * kMillisecond;
        if (answers_others) harness.finish("other", home, AttemptStatus::served);
        harness.now += 200 * kMillisecond;
        harness.request("large", "x", 600);
        EXPECT_EQ(harness.forwarded().endpoint == home, answers_others);
    }
}

// The timeout of a single lost response says nothing about the latency of its endpoint.
TEST_F(LatencyPredictionTest, TimeoutOfLostResponseIsNotLateness) {
    router.update_endpoints({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
    router.request("first", "x", 40);
    const std::string home = router.forwarded().endpoint;
    router.now += 70 * kMillisecond;
    router.finish("first", home, AttemptStatus::served);
    int lost = 0;
    for (int i = 0; lost < 2 && i < 100; ++i) {  // small objects cached at the same endpoint
        const std::string id = "r" + std::to_string(i), other = "other" + std::to_string(i);
        router.request(id + "first", "y" + std::to_string(i), 40);
        const std::string endpoint = router.forwarded().endpoint;
        router.now += 70 * kMillisecond;
        router.finish(id + "first", endpoint, AttemptStatus::served);
        if (endpoint != home) continue;
        ++lost;
        router.request(id, "y" + std::to_string(i), 40);
        router.now += 400 * kMillisecond;
        router.request(other, "x", 40);
        router.now += 70 * kMillisecond;
        router.finish(other, home, AttemptStatus::served);
        router.finish(id, home, AttemptStatus::timed_out);
    }
    ASSERT_EQ(lost, 2);
    router.request("large", "x", 600);
    EXPECT_EQ(router.forwarded().endpoint, home);
}

}  // namespace
}  // namespace sumackeel::routing
