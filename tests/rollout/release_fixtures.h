// A release plan and its fleet for tests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "rollout/release_simulation.h"

namespace sumackeel::rollout {

// `members` proxies in five zones and three waves; 2 members of a zone and 5 of the fleet may be unavailable.
inline SimulationPlan simulation_plan(std::size_t members, std::uint64_t seed = 1) {
    SimulationPlan simulation;
    simulation.seed = seed;
    simulation.budget = {.max_unavailable_in_zone = 2,
                         .max_zone_weight_share = 0.5,
                         .max_unavailable = 5,
                         .min_interval_in_zone = 0};
    for (std::size_t i = 0; i < members; ++i) {
        FleetMember member;
        member.name = "n" + std::to_string(100 + i);
        member.zone = "school-" + std::to_string(i % 5);
        simulation.fleet.push_back(member);
        simulation.plan.members.push_back(member.name);
    }
    simulation.plan.name = "spring";
    simulation.plan.from = "1";
    simulation.plan.to = "2";
    simulation.plan.waves = {1, members / 4, members - 1 - members / 4};
    simulation.plan.soak = 10 * base::kSecond;
    return simulation;
}

}  // namespace sumackeel::rollout
