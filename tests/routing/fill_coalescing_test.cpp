// Tests of fill coalescing through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using FillCoalescingTest = RouterFixture;

TEST_F(FillCoalescingTest, LaterRequestsShareFillAtSameCache) {
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.now += 10 * kMillisecond;
    router.request("r2", "x");
    EXPECT_EQ(router.forwarded().endpoint, home);
    EXPECT_TRUE(router.forwarded().coalesce);
}

// A router whose site does not coalesce fills.
RouterHarness router_without_coalescing() {
    Settings settings = plain_settings();
    settings.coalescing_allowed = false;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    return router;
}

TEST(FillCoalescing, WithoutCoalescingWaitersAreHeldForBoundedTime) {
    RouterHarness router = router_without_coalescing();
    router.request("r1", "x");
    router.request("r2", "x");
    EXPECT_TRUE(router.actions_of<Forward>().empty());
    const auto timers = router.actions_of<SetTimer>();
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_LT(timers[0].at, router.now + plain_settings().classes[0].latency_objective + 400 * kMillisecond);
    router.now = timers[0].at;
    router.handle(TimerExpired{timers[0].token});
    EXPECT_EQ(router.forwarded().id, "r2");
    EXPECT_FALSE(router.forwarded().coalesce);
}

TEST(FillCoalescing, ResponseReleasesWaiters) {
    RouterHarness router = router_without_coalescing();
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.request("r2", "x");
    router.now += 200 * kMillisecond;
    router.finish("r1", home, AttemptStatus::served);
    EXPECT_EQ(router.forwarded().id, "r2");
    EXPECT_EQ(router.forwarded().endpoint, home);
}

TEST(FillCoalescing, NextWaiterLeadsAfterLeaderCancels) {
    RouterHarness router = router_without_coalescing();
    router.request("r1", "x");
    router.request("r2", "x");
    router.request("r3", "x");
    router.handle(ClientCancelled{"r1"});
    EXPECT_EQ(router.forwarded().id, "r2");
    router.now += 100 * kMillisecond;
    router.finish("r2", "a", AttemptStatus::served);
    router.request("r4", "y");
    EXPECT_EQ(router.forwarded().id, "r4");
}

TEST(FillCoalescing, WaitersOfFailedFillAreSpacedOut) {
    Settings settings = plain_settings();
    settings.coalescing_allowed = false;
    settings.max_attempts = 1;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.request("r2", "x");
    router.request("r3", "x");
    router.now += 50 * kMillisecond;
    router.finish("r1", home, AttemptStatus::error);
    const auto timers = router.actions_of<SetTimer>();
    ASSERT_EQ(timers.size(), 2u);
    EXPECT_LT(timers[0].at, timers[1].at);
}

TEST_F(FillCoalescingTest, OverdueFillIsNotShared) {
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.now += 3'900 * kMillisecond;  // far beyond the expected time: the fill hangs
    router.request("r2", "x");
    EXPECT_NE(router.forwarded().endpoint, home);
}

TEST_F(FillCoalescingTest, FillFromBeforePurgeIsNotShared) {
    router.request("r1", "x");
    router.now += 20 * kMillisecond;
    router.handle(Purge{3, 10 * kMillisecond, "x"});
    router.request("r2", "x");
    EXPECT_FALSE(router.forwarded().coalesce);
}

// After a full purge, each of many routers may request a part for the first time. They must not all start a
// fill.
TEST(FillCoalescing, RoutersNewToPurgedPartShareOneFill) {
    int joined = 0;
    for (int i = 0; i < 100; ++i) {
        RouterHarness router(plain_settings(), 100 + i);
        router.update_endpoints({cache("a"), cache("b"), parent("p"), origin()});
        router.handle(Purge{3, 200 * kMillisecond, ""});
        router.request("r1", "x");
        joined += router.forwarded().coalesce && router.forwarded().max_age == 200 * kMillisecond;
    }
    EXPECT_EQ(joined, 100);
}

}  // namespace
}  // namespace sumackeel::routing
