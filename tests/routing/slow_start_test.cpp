// Behaviour of the slow start, seen through the router: events in, actions out.
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

// Transfer time, in microseconds, of the attempts for 400 new objects, one a millisecond, that name "cold" in
// `field`.
double work_sent_to_cold(RouterHarness& router, std::string Forward::*field) {
    double sent = 0;
    for (int i = 0; i < 400; ++i) {
        router.now += kMillisecond;
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        for (const Forward& forward : router.all<Forward>()) {
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

// A cache of an old list may have restarted a moment ago. Until it responds it gets no more than a cold one,
// however long ago this router started.
TEST(SlowStart, UnverifiedCacheStaysColdUntilFirstResponse) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    RouterHarness router(settings);
    router.update_endpoints({unverified(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    const Micros budget = static_cast<Micros>(0.2 * 2 * 4 * static_cast<double>(settings.overload_window));
    for (int start = 0; start < 3; ++start) {  // at the start, and when slow start from it would be over
        Micros sent = 0;
        for (int i = 0; i < 1500; ++i, router.now += kMillisecond) {
            const std::string id = "r" + std::to_string(start) + '.' + std::to_string(i);
            router.request(id, id);
            int attempt = 0;
            for (auto out = router.all<Forward>(); !out.empty(); out = router.all<Forward>()) {
                if (out[0].endpoint == "cold") sent += 200 * kMillisecond;
                router.finish(id, out[0].endpoint, AttemptStatus::connect_failed, attempt++);
            }
        }
        EXPECT_GT(sent, 0) << start;
        EXPECT_LT(sent, budget) << start;
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

// The same old list once more must not restart slow start, or clear the debt.
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
        for (const Forward& forward : router.all<Forward>())
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
    // Two routers share it; in slow start it has a little over a tenth of its capacity.
    EXPECT_LT(sent, 2 * 20 * 0.15 * settings.overload_window / 2);
}

// What all routers together sent to the endpoint named "cold".
struct ColdLoad {
    double worst = 0;  // in the worst overload window, over what the endpoint can take then
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
        const Endpoint fresh = on_parent ? parent("cold", start - kSecond) : cache("cold", start - kSecond);
        fleet.back()->update_endpoints({cache("a"), cache("b"), cache("c"), parent("warm"), origin(), fresh});
    }
    const double multiple = on_parent ? settings.parent_overload_multiple : settings.cold_overload_multiple;
    const double from = on_parent ? settings.parent_cold_fraction : settings.cold_capacity_fraction;
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
            for (const Forward& forward : one.all<Forward>()) {
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
            const double ramp = from + (1 - from) * std::max(0.0, age) / (20.0 * kSecond);
            load.worst = std::max(load.worst, window / (multiple * weight * ramp * settings.overload_window));
        }
    }
    return load;
}

TEST(SlowStart, AllRoutersKeepToAndUseColdCacheBudget) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const ColdLoad load = load_cold_endpoint(plain_settings(), 30, &Forward::endpoint, seed);
        EXPECT_LT(load.worst, 1) << "seed " << seed;
        EXPECT_GT(load.worst, 0.3) << "seed " << seed;
    }
}

TEST(SlowStart, AllRoutersKeepToAndUseColdParentBudget) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const ColdLoad load = load_cold_endpoint(plain_settings(), 120, &Forward::source, seed);
        EXPECT_LT(load.worst, 1) << "seed " << seed;
        EXPECT_GT(load.worst, 0.2) << "seed " << seed;
        EXPECT_GT(load.total, 0) << "seed " << seed;
    }
}

}  // namespace
}  // namespace sumackeel::routing
