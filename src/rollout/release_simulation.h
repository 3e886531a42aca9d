// Plays a release through on a virtual clock before any member is touched: with the same state machine,
// budget and gate, and simulated members that take their upgrade leases. Pure; faults are given beforehand.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/release.h"
#include "rollout/state.h"

namespace sumackeel::rollout {

struct SimulationPlan {
    Plan plan;
    DisruptionBudget budget;
    std::vector<FleetMember> fleet;       // all proxies
    Micros change = 30'000'000;           // from a granted upgrade lease until the member serves again
    double requests_per_s = 50;           // of each member that serves
    std::map<std::string, double> fails;  // by member: share of requests that fail with the new version
    std::map<std::string, Micros> dies;   // by member: when it dies for good
    Micros longest = 7 * 86'400 * base::kSecond;  // of simulated time
    std::uint64_t seed = 1;
};

struct SimulationResult {
    ReleaseStage stage = ReleaseStage::changing;  // at the end
    std::string reason;                           // of the last step, or why the release did not start
    Micros took = 0;
    Micros longest_wait = 0;   // of one member for its lease, from the begin of its wave
    std::string waited;        // that member
    std::size_t most_out = 0;  // members out at one instant, by lease or by themselves
    double worst_share = 0;    // the largest share of a zone's weight that was out
    std::string worst_zone;    // that zone
    Micros worst_at = 0;       // and when
    double met = 0;            // share of all requests that the new version served
    std::size_t changed = 0;   // members that run the new version at the end
};

// Plays until the release ends or halts, or the simulated time is over. Deterministic for one seed.
SimulationResult simulate_release(const SimulationPlan& plan);

}  // namespace sumackeel::rollout
