// Test harness for a single router: passes in settings and events, collects the actions.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "routing/router.h"

namespace sumackeel::routing {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// Two routers in two zones, parents and origin in a third zone, one class of idempotent reads.
inline Settings plain_settings() {
    Settings settings;
    ClassSettings class_settings;
    class_settings.latency_objective = 400 * kMillisecond;
    class_settings.latency_objective_stretch = 2;
    class_settings.deadline = 5 * kSecond;
    settings.classes = {class_settings};
    settings.instance_count = 2;
    settings.own_zone = 0;
    settings.instances_by_zone = {1, 1, 0};
    settings.region_by_zone = {0, 0, 0};
    settings.parent_kind = 1;
    settings.origin_kind = 2;
    settings.transfer_rate_kb_per_s = 1'000;
    settings.coalescing_allowed = true;
    settings.cache_status_detail = CacheStatusDetail::hits;
    settings.purge_completes_within = 6 * kSecond;
    settings.notification_grace = 500 * kMillisecond;
    settings.drain_grace = 250 * kMillisecond;
    settings.cold_capacity_fraction = 0.2;
    settings.warm_up_duration = 20 * kSecond;
    settings.cold_overload_multiple = 2;
    settings.overload_window = 2 * kSecond;
    settings.parent_cold_fraction = 0.1;
    settings.parent_slow_start = 20 * kSecond;
    settings.parent_overload_multiple = 2;
    settings.cancellation_allowed = true;
    settings.retry_after_allowed = true;
    settings.max_retry_after = 500 * kMillisecond;
    settings.max_attempts = 8;
    return settings;
}

inline Endpoint cache(const std::string& name, Micros started_at = 0, double weight = 4) {
    return {.name = name, .weight = weight, .zone = 0, .started_at = started_at, .kind = 0, .cell = 0};
}

inline Endpoint parent(const std::string& name, Micros started_at = 0) {
    return {.name = name, .weight = 20, .zone = 2, .started_at = started_at, .kind = 1};
}

inline Endpoint origin() {
    return {.name = "origin", .weight = 1, .zone = 2, .kind = 2};
}

// A router with a manual clock that keeps the actions of the last event.
class RouterHarness {
  public:
    explicit RouterHarness(const Settings& settings = plain_settings(), std::uint64_t seed = 7)
        : router_(settings, seed) {}

    void update_endpoints(std::vector<Endpoint> entries, EndpointUpdateKind kind = EndpointUpdateKind::full) {
        handle(EndpointUpdate{1, kind, std::move(entries)});
    }

    // Processes the event and replaces the stored actions with the resulting ones.
    void handle(const Event& event) {
        actions_.clear();
        router_.handle(now, event, actions_);
    }

    // Sends a request for a part of `kb` kilobytes with 4 s left.
    void request(const std::string& id, const std::string& object, double kb = 200, int part = 0) {
        RequestReceived arrival;
        arrival.id = id;
        arrival.object = object;
        arrival.time_left = 4 * kSecond;
        arrival.size_kb = kb;
        arrival.part = part;
        arrival.purge_group = 3;
        handle(arrival);
    }

    // Reports the end of an attempt; status `served` also ends the request.
    void finish(const std::string& id, const std::string& endpoint, AttemptStatus status, int attempt = 0,
                CacheStatus cache_status = CacheStatus::unknown) {
        AttemptFinished result;
        result.id = id;
        result.attempt = attempt;
        result.endpoint = endpoint;
        result.status = status;
        result.request_finished = status == AttemptStatus::served;
        result.cache_status = cache_status;
        handle(result);
    }

    // The stored actions of type T.
    template <typename T>
    std::vector<T> actions_of() const {
        std::vector<T> found;
        for (const Action& action : actions_)
            if (const T* action_of_type = std::get_if<T>(&action)) found.push_back(*action_of_type);
        return found;
    }

    // The only Forward among the actions.
    Forward forwarded() const {
        const auto forwards = actions_of<Forward>();
        EXPECT_EQ(forwards.size(), 1u);
        return forwards.empty() ? Forward{} : forwards.front();
    }

    // Token of the last timer set by the event.
    std::uint64_t last_timer() const {
        const auto timers = actions_of<SetTimer>();
        EXPECT_FALSE(timers.empty());
        return timers.empty() ? 0 : timers.back().token;
    }

    Micros now = 100 * kSecond;

  private:
    Router router_;
    std::vector<Action> actions_;
};

// Three caches, two parents and the origin.
class RouterFixture : public ::testing::Test {
  protected:
    void SetUp() override {
        router.update_endpoints({cache("a"), cache("b"), cache("c"), parent("p"), parent("q"), origin()});
    }

    RouterHarness router;
};

}  // namespace sumackeel::routing
