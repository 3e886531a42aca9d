// State shared by all routing modules while an event is processed: settings, time, random numbers and
// actions.
//
// The router owns the only instance and sets time and actions for each event; the modules hold a reference.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "routing/decayed_mean.h"
#include "routing/router.h"

namespace sumackeel::routing {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// Returns `fallback` if the index is out of range: lists of settings per zone or class may be incomplete.
template <typename T>
T value_at(const std::vector<T>& list, int index, T fallback) {
    return index >= 0 && index < static_cast<int>(list.size()) ? list[index] : fallback;
}

struct DecisionContext {
    DecisionContext(const Settings& initial, std::uint64_t seed) : settings(initial), random(seed) {}

    // Uniform random value in [0, `max`]; draws no random number unless `max` is positive.
    Micros jitter(Micros max) {
        return max <= 0 ? 0 : static_cast<Micros>(random() % static_cast<std::uint64_t>(max + 1));
    }

    void emit(Action action) { actions->push_back(std::move(action)); }

    double decayed(const DecayedMean& mean, double baseline, double time_constant) const {
        return mean.decayed(now, baseline, time_constant);
    }

    // Number of routers in a zone, at least 1.
    double routers_in_zone(int zone) const {
        return std::max(1, value_at(settings.instances_by_zone, std::max(0, zone), settings.instance_count));
    }

    Settings settings;
    std::mt19937_64 random;
    Micros now = 0;
    std::vector<Action>* actions = nullptr;  // of the current event; not owned
};

}  // namespace sumackeel::routing
