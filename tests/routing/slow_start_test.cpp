// Tests of slow start through the router's interface.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

// Requests 400 new objects, one per millisecond, and returns the transfer time in microseconds of the
// attempts whose `field` is "cold".
double work_sent_to_cold(RouterHarness& router, std::string Forward::*field) {
    double sent = 0;
    for (int i = 0; i < 400; ++i) {
        router.now += kMillisecond;
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        for (const Forward& forward : router.actions_of<Forward>()) {
            if (forward.*field == "cold") sent += 200 * kMillisecond;
            router.finish(id, forward.endpoint, AttemptStatus::served);
        }
    }
    return sent;
}

TEST(SlowStart, ColdCacheGetsAtMostItsBudgetShare) {
    Settings settings = plain_settings();
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), cache("cold", router.now - kSecond), parent("p")});
    const double sent = work_sent_to_cold(router, &Forward::endpoint);
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, settings.cold_overload_multiple * 4 * 0.25 * settings.overload_window);
}

Endpoint unverified(Endpoint entry) {
    entry.unverified = true;
    return entry;
}

// A cache from an old list may have restarted a moment ago. Until its first response it gets at most the
// budget of a cold cache, no matter how long this router has been running.
TEST(SlowStart, UnverifiedCacheStaysColdUntilFirstResponse) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    RouterHarness router(settings);
    router.update_endpoints({unverified(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    const Micros budget = static_cast<Micros>(0.2 * 2 * 4 * static_cast<double>(settings.overload_window));
    // At the start, and after slow start would have ended.
    for (int iteration = 0; iteration < 3; ++iteration) {
        Micros sent = 0;
        for (int i = 0; i < 1500; ++i, router.now += kMillisecond) {
            const std::string id = "r" + std::to_string(iteration) + '.' + std::to_string(i);
            router.request(id, id);
            int attempt = 0;
            for (auto forwards = router.actions_of<Forward>(); !forwards.empty();
                 forwards = router.actions_of<Forward>()) {
                if (forwards[0].endpoint == "cold") sent += 200 * kMillisecond;
                router.finish(id, forwards[0].endpoint, AttemptStatus::connect_failed, attempt++);
            }
        }
        EXPECT_GT(sent, 0) << iteration;
        EXPECT_LT(sent, budget) << iteration;
        router.now += 20 * kSecond;
    }
}

TEST(SlowStart, UnverifiedCacheWarmsUpFromFirstResponse) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    RouterHarness router(settings);
    router.update_endpoints({unverified(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    router.now += 60 * kSecond;
    router.request("first", "y");
    router.finish("first", router.forwarded().endpoint, AttemptStatus::served, 0, CacheStatus::hit);
    const double just_verified = work_sent_to_cold(router, &Forward::endpoint);
    EXPECT_GT(just_verified, 0);
    router.now += settings.warm_up_duration;
    const double warm = work_sent_to_cold(router, &Forward::endpoint);
    EXPECT_GT(warm, 3 * just_verified);
}

// Receiving the same old list again must neither restart slow start nor clear the debt.
TEST(SlowStart, RepeatedSnapshotDoesNotRestartSlowStart) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    RouterHarness router(settings);
    const std::vector<Endpoint> old{unverified(cache("cold")), parent("p"), origin()};
    router.update_endpoints(old, EndpointUpdateKind::snapshot);
    const double once = work_sent_to_cold(router, &Forward::endpoint);
    double more = 0;
    for (int i = 0; i < 20; ++i) {
        router.update_endpoints(old, EndpointUpdateKind::incremental);
        router.request("again " + std::to_string(i), "z" + std::to_string(i));
        for (const Forward& forward : router.actions_of<Forward>())
            more += forward.endpoint == "cold" ? 200 * kMillisecond : 0;
    }
    EXPECT_GT(once, 0);
    EXPECT_LE(more, once);
}

TEST(SlowStart, ConfirmedListEndsUnverifiedState) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    RouterHarness router(settings);
    router.update_endpoints({unverified(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    const double unverified_work = work_sent_to_cold(router, &Forward::endpoint);
    router.update_endpoints({cache("cold"), parent("p"), origin()});
    EXPECT_GT(work_sent_to_cold(router, &Forward::endpoint), 3 * unverified_work);
}

TEST(SlowStart, ColdParentIsSparedForWarmOne) {
    Settings settings = plain_settings();
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("warm"), parent("cold", router.now - kSecond)});
    const double sent = work_sent_to_cold(router, &Forward::source);
    // Two routers share the parent, which in slow start has slightly more than 0.1 of its capacity.
    EXPECT_LT(sent, 2 * 20 * 0.15 * settings.overload_window / 2);
}

// Load that all routers together sent to the endpoint "cold".
struct ColdLoad {
    double peak = 0;   // highest load in an overload window, over what the endpoint can handle at that time
    double total = 0;  // microseconds of transfer time
};

ColdLoad load_cold_endpoint(Settings settings, int routers, std::string Forward::*field, std::uint64_t seed) {
    const bool on_parent = field == &Forward::source;
    settings.instance_count = routers;
    settings.instances_by_zone = {routers, 0, 0};
    const Micros start = 1'000 * kSecond;
    std::vector<std::unique_ptr<RouterHarness>> fleet;
    for (int i = 0; i < routers; ++i) {
        fleet.push_back(
            std::make_unique<RouterHarness>(settings, seed * 1'000 + static_cast<std::uint64_t>(i)));
        fleet.back()->now = start;
        const Endpoint cold_endpoint =
            on_parent ? parent("cold", start - kSecond) : cache("cold", start - kSecond);
        fleet.back()->update_endpoints(
            {cache("a"), cache("b"), cache("c"), parent("warm"), origin(), cold_endpoint});
    }
    const double multiple = on_parent ? settings.parent_overload_multiple : settings.cold_overload_multiple;
    const double cold_fraction = on_parent ? settings.parent_cold_fraction : settings.cold_capacity_fraction;
    const double weight = on_parent ? 20 : 4;
    std::deque<std::pair<Micros, double>> sent;
    ColdLoad load;
    int number = 0;
    for (Micros now = start; now < start + 8 * kSecond; now += 400 * kMillisecond) {
        for (int i = 0; i < routers; ++i) {
            RouterHarness& one = *fleet[static_cast<std::size_t>(i)];
            one.now = now + 400 * kMillisecond * i / routers;
            const std::string id = "r" + std::to_string(number++);
            one.request(id, "o" + std::to_string(seed) + id);
            for (const Forward& forward : one.actions_of<Forward>()) {
                if (forward.*field == "cold") sent.emplace_back(one.now, 200.0 * kMillisecond);
                one.finish(id, forward.endpoint, AttemptStatus::served);
            }
            while (!sent.empty() && sent.front().first <= one.now - settings.overload_window) {
                load.total += sent.front().second;
                sent.pop_front();
            }
            double window = 0;
            for (const auto& [at, work] : sent) window += work;
            const double age = static_cast<double>(one.now - settings.overload_window - start + kSecond);
            const double ramp = cold_fraction + (1 - cold_fraction) * std::max(0.0, age) / (20.0 * kSecond);
            load.peak = std::max(load.peak, window / (multiple * weight * ramp * settings.overload_window));
        }
    }
    return load;
}

TEST(SlowStart, AllRoutersKeepToAndUseColdCacheBudget) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const ColdLoad load = load_cold_endpoint(plain_settings(), 30, &Forward::endpoint, seed);
        EXPECT_LT(load.peak, 1) << "seed " << seed;
        EXPECT_GT(load.peak, 0.3) << "seed " << seed;
    }
}

TEST(SlowStart, AllRoutersKeepToAndUseColdParentBudget) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const ColdLoad load = load_cold_endpoint(plain_settings(), 120, &Forward::source, seed);
        EXPECT_LT(load.peak, 1) << "seed " << seed;
        EXPECT_GT(load.peak, 0.2) << "seed " << seed;
        EXPECT_GT(load.total, 0) << "seed " << seed;
    }
}

}  // namespace
}  // namespace sumackeel::routing
