// Simulates a release on a virtual clock before any member is changed. Uses the production state machine,
// disruption budget and gate with simulated members that request upgrade leases. Pure; faults are inputs.
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
    Micros change = 30'000'000;           // from the granted upgrade lease until the member serves again
    double requests_per_s = 50;           // for each serving member
    std::map<std::string, double> fails;  // by member: share of requests that fail with the new version
    std::map<std::string, Micros> dies;   // by member: when it fails permanently
    Micros longest = 7 * 86'400 * base::kSecond;  // limit of the simulated time
    std::uint64_t seed = 1;
};

struct SimulationResult {
    ReleaseStage stage = ReleaseStage::changing;  // at the end
    std::string reason;                           // for the last step, or why the release did not start
    Micros took = 0;
    Micros longest_wait = 0;   // of a member for its lease, from the start of its wave
    std::string waited;        // the member that waited longest
    std::size_t most_out = 0;  // members unavailable at the same time, by lease or by a fault
    double worst_share = 0;    // the largest share of a zone's weight that was unavailable
    std::string worst_zone;    // the zone of the largest share
    Micros worst_at = 0;       // when the largest share occurred
    double met = 0;            // share of all requests that were handled by the new version
    std::size_t changed = 0;   // members that run the new version at the end
};

// Runs until the release ends or halts, or the time limit is reached. Deterministic for a given seed.
SimulationResult simulate_release(const SimulationPlan& plan);

}  // namespace sumackeel::rollout
