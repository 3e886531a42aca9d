// What every routing module shares for the event at hand: settings, time, randomness and the list of actions.
//
// The router owns the one context and sets time and actions for each event; the modules hold a reference.
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

// Settings by zone or class may be shorter than the list of zones or classes.
template <typename T>
T value_at(const std::vector<T>& list, int index, T otherwise) {
    return index >= 0 && index < static_cast<int>(list.size()) ? list[index] : otherwise;
}

struct DecisionContext {
    DecisionContext(const Settings& initial, std::uint64_t seed) : settings(initial), random(seed) {}

    // Random whole microseconds from 0 to `max`, both included; draws nothing unless `max` is positive.
    Micros jitter(Micros max) {
        return max <= 0 ? 0 : static_cast<Micros>(random() % static_cast<std::uint64_t>(max + 1));
    }

    void emit(Action action) { actions->push_back(std::move(action)); }

    double faded(const DecayedMean& mean, double towards, double memory) const {
        return mean.faded(now, towards, memory);
    }

    // Routers in a zone, at least 1.
    double routers_in_zone(int zone) const {
        return std::max(1, value_at(settings.instances_by_zone, std::max(0, zone), settings.instance_count));
    }

    Settings settings;
    std::mt19937_64 random;
    Micros now = 0;
    std::vector<Action>* actions = nullptr;  // of the event at hand; not owned
};

}  // namespace sumackeel::routing
