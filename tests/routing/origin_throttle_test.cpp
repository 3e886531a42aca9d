// Tests of the origin throttle through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

// With no parent reachable, fills go to the origin while it has capacity instead of to failing parents.
TEST(OriginThrottle, WithoutParentsOriginIsUsedInTurn) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    settings.instance_count = 100;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), origin()});
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        const auto forwards = router.actions_of<Forward>();
        if (!forwards.empty() && forwards.front().source == "origin") {
            router.request("next", "other");  // one turn at a time
            EXPECT_TRUE(router.actions_of<Forward>().empty() || router.forwarded().source != "origin");
            return;
        }
        router.now += 50 * kMillisecond;
        if (!forwards.empty())
            router.finish(id, forwards.front().endpoint, AttemptStatus::error, 0,
                          CacheStatus::source_unreachable);
        router.now += 500 * kMillisecond;  // after the turn taken by the second attempt
        router.handle(ClientCancelled{id});
    }
    ADD_FAILURE() << "the origin was never named";
}

TEST(OriginThrottle, WithOriginDownOnlyCachedCopiesAreRequested) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
    bool cached_only = false;
    for (int i = 0; i < 12 && !cached_only; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        const Forward forward = router.forwarded();
        cached_only = forward.source_cached_only;
        router.now += 50 * kMillisecond;
        router.finish(id, forward.endpoint, AttemptStatus::overloaded, 0, CacheStatus::origin_failed);
        router.handle(ClientCancelled{id});
        router.finish(id, forward.endpoint, AttemptStatus::cancelled, 1);
    }
    EXPECT_TRUE(cached_only);
}

}  // namespace
}  // namespace sumackeel::routing
