// A release played through before anyone is touched: the same state, rules and watch, with members that take
// their turns on a virtual clock. Pure; what goes wrong is said beforehand.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/release_gate.h"
#include "rollout/rollout.h"

namespace sumackeel::rollout {

struct SimulationPlan {
    Plan plan;
    DisruptionBudget budget;
    std::vector<FleetMember> fleet;  // all proxies
    Micros change = 30'000'000;      // from a turn to serving again
    double requests_per_s = 50;      // of each member that serves
    // By member: the share of requests that fail once it runs what is new, and when it dies for good.
    std::map<std::string, double> fails;
    std::map<std::string, Micros> dies;
    Micros longest = 7 * 86'400 * base::kSecond;
    std::uint64_t seed = 1;
};

struct SimulationResult {
    ReleaseStage stage = ReleaseStage::changing;  // as it stood at the end
    std::string reason;
    Micros took = 0,
           longest_wait = 0;   // the longest that a member waited for its turn, once its wave had begun
    std::string waited;        // who that was
    std::size_t most_out = 0;  // at one instant, by lease or by itself
    double worst_share = 0;    // of a school's weight that was out
    std::string worst_school;
    Micros worst_at = 0;
    double met = 0;  // share of all requests that met what is new before the release halted
    std::size_t changed = 0;
};

SimulationResult simulate_release(const SimulationPlan& plan);

}  // namespace sumackeel::rollout
