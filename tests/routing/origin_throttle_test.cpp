// Behaviour of the origin throttle, seen through the router: events in, actions out.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

// With no parent up, fills go to the origin while it has capacity, rather than to parents that fail.
TEST(OriginThrottle, WithoutParentsOriginIsUsedInTurn) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    settings.instance_count = 100;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), origin()});
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        const auto sends = router.all<Forward>();
        if (!sends.empty() && sends.front().source == "origin") {
            router.request("next", "other");  // one turn at a time
            EXPECT_TRUE(router.all<Forward>().empty() || router.forwarded().source != "origin");
            return;
        }
        router.now += 50 * kMillisecond;
        if (!sends.empty())
            router.finish(id, sends.front().endpoint, AttemptStatus::error, 0,
                          CacheStatus::source_unreachable);
        router.now += 500 * kMillisecond;  // past the turn that a second try took
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
