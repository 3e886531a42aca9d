// A release plan with its fleet, for tests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "rollout/release_simulation.h"

namespace sumackeel::rollout {

// `members` proxies in five zones, in three waves; 2 of a zone and 5 of all may be out.
inline SimulationPlan simulation_plan(std::size_t members, std::uint64_t seed = 1) {
    SimulationPlan given;
    given.seed = seed;
    given.budget = {.max_unavailable_in_zone = 2,
                    .max_zone_weight_share = 0.5,
                    .max_unavailable = 5,
                    .min_interval_in_zone = 0};
    for (std::size_t i = 0; i < members; ++i) {
        FleetMember member;
        member.name = "n" + std::to_string(100 + i);
        member.zone = "school-" + std::to_string(i % 5);
        given.fleet.push_back(member);
        given.plan.members.push_back(member.name);
    }
    given.plan.name = "spring";
    given.plan.from = "1";
    given.plan.to = "2";
    given.plan.waves = {1, members / 4, members - 1 - members / 4};
    given.plan.soak = 10 * base::kSecond;
    return given;
}

}  // namespace sumackeel::rollout
