// Behaviour of the latency prediction, seen through the router: events in, actions out.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using LatencyPredictionTest = RouterFixture;

// One lost response must not send the large objects of a healthy cache to others, which would fill them
// again.
TEST_F(LatencyPredictionTest, LostResponseDoesNotSlowResponsiveEndpoint) {
    for (const bool answers_others : {true, false}) {
        RouterHarness one;
        one.update_endpoints({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
        one.request("first", "x", 40);
        const std::string home = one.forwarded().endpoint;
        one.now += 70 * kMillisecond;
        one.finish("first", home, AttemptStatus::served);
        one.request("lost", "x", 40);
        EXPECT_EQ(one.forwarded().endpoint, home);
        one.now += 100 * kMillisecond;
        one.request("other", "x", 40);
        EXPECT_EQ(one.forwarded().endpoint, home);
        one.now += 70 * kMillisecond;
        if (answers_others) one.finish("other", home, AttemptStatus::served);
        one.now += 200 * kMillisecond;
        one.request("large", "x", 600);
        EXPECT_EQ(one.forwarded().endpoint == home, answers_others);
    }
}

// The timeout of a response that was lost alone says nothing of how fast its endpoint is.
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
        const std::string at = router.forwarded().endpoint;
        router.now += 70 * kMillisecond;
        router.finish(id + "first", at, AttemptStatus::served);
        if (at != home) continue;
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
