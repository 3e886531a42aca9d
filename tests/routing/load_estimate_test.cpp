// Tests of the load estimate through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

TEST(LoadEstimate, LoneRequestIsAdmittedAtIdleSharedCache) {
    Settings settings = plain_settings();
    settings.instance_count = 40;
    settings.instances_by_zone = {40, 0, 0};
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), origin()});
    // A capacity share of 1/10 transfer is not overload by itself without a report of other routers' load.
    router.request("r1", "x");
    EXPECT_EQ(router.actions_of<Forward>().size(), 1u);
    const std::string home = router.forwarded().endpoint;
    router.now += 300 * kMillisecond;
    router.finish("r1", home, AttemptStatus::served);
    router.now += 300 * kMillisecond;
    router.request("r2", "x");  // a single repeat does not give the object a second home
    EXPECT_EQ(router.forwarded().endpoint, home);
}

TEST(LoadEstimate, ReportedLoadOfOthersCountsAndFades) {
    Settings settings = plain_settings();
    settings.instance_count = 40;
    settings.instances_by_zone = {40, 0, 0};
    settings.load_reporting = LoadReporting::with_responses;
    for (const Micros elapsed : {50 * kMillisecond, 20 * kSecond}) {
        RouterHarness router(settings);
        router.update_endpoints({cache("a"), parent("p"), origin()});
        router.request("r1", "x");
        router.now += 300 * kMillisecond;
        AttemptFinished result;
        result.id = "r1";
        result.endpoint = "a";
        result.request_finished = true;
        result.load.in_flight = 40;
        router.handle(result);
        router.now += elapsed;
        router.request("r2", "y");
        EXPECT_EQ(router.actions_of<Reject>().size(), elapsed < kSecond ? 1u : 0u);
    }
}

TEST(LoadEstimate, LikelyHitsAreNotRejectedForIngressOverload) {
    // The zone's caches hold most objects that this router has never requested. The ingress link has capacity
    // for 2.5 fills. If all recent responses were as fast as hits, new objects do not count as overload.
    for (const bool cached : {true, false}) {
        Settings settings = plain_settings();
        settings.cache_status_detail = CacheStatusDetail::none;
        settings.instance_count = 12;
        settings.instances_by_zone = {12, 0, 0};
        settings.ingress_kb_per_s_by_zone = {2'500, 0, 0};
        RouterHarness router(settings);
        router.update_endpoints({cache("a", 0, 40), cache("b", 0, 40), parent("p"), origin()});
        int rejected = 0;
        for (int i = 0; i < 120; ++i) {
            const std::string id = "r" + std::to_string(i);
            router.request(id, "o" + std::to_string(i));
            rejected += static_cast<int>(i >= 60 && !router.actions_of<Reject>().empty());
            const auto forwards = router.actions_of<Forward>();
            router.now += cached ? 200 * kMillisecond : 1'100 * kMillisecond;
            for (const Forward& forward : forwards)
                router.finish(id, forward.endpoint, AttemptStatus::served);
        }
        EXPECT_EQ(rejected > 0, !cached);
    }
}

TEST(LoadEstimate, FillsWaitingForIngressDoNotCrowdOutHits) {
    Settings settings = plain_settings();
    settings.ingress_kb_per_s_by_zone = {1'000, 1'000, 0};  // one transfer at full rate
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    router.request("first", "x", 100);
    const std::string home = router.forwarded().endpoint;
    router.now += 200 * kMillisecond;
    router.finish("first", home, AttemptStatus::served, 0, CacheStatus::filled);
    for (int i = 0; i < 60; ++i) router.request("f" + std::to_string(i), "o" + std::to_string(i), 100);
    router.request("hit", "x", 100);
    EXPECT_EQ(router.forwarded().endpoint, home);  // neither rejected nor moved
}

}  // namespace
}  // namespace sumackeel::routing
