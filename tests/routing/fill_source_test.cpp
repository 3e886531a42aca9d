// Behaviour of the fill source, seen through the router: events in, actions out.
#include <gtest/gtest.h>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using FillSourceTest = RouterFixture;

TEST_F(FillSourceTest, FirstMissIsFilledThroughParent) {
    router.request("r1", "x");
    const Forward forward = router.forwarded();
    EXPECT_TRUE(forward.source == "p" || forward.source == "q");
    EXPECT_GT(forward.cache_priority, 0);
}

// What runs at the origin may not be retried, so a parent that fails it on the way fails it for good.
TEST(FillSource, NonIdempotentRequestsBypassParents) {
    Settings settings = plain_settings();
    settings.classes[0].uncacheable = true;
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), parent("q"), origin()});
    router.request("r1", "x");
    EXPECT_EQ(router.forwarded().source, "origin");
    // Not once the origin is gone from the list: a parent may still reach it.
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    router.request("r2", "x");
    EXPECT_EQ(router.forwarded().source, "p");
}

}  // namespace
}  // namespace sumackeel::routing
