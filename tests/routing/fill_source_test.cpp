// Tests of the fill source through the router's interface.
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

// A failure at a parent could not be retried, so these requests go directly to the origin.
TEST(FillSource, NonIdempotentRequestsBypassParents) {
    Settings settings = plain_settings();
    settings.classes[0].uncacheable = true;
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), parent("q"), origin()});
    router.request("r1", "x");
    EXPECT_EQ(router.forwarded().source, "origin");
    // If the origin is not listed, a parent may still be able to reach it.
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    router.request("r2", "x");
    EXPECT_EQ(router.forwarded().source, "p");
}

}  // namespace
}  // namespace sumackeel::routing
