// What another fleet, or other settings, would change: which schools and classes go to other boxes and
// sources, by what share, and how many copies would be lost by it.
#pragma once

#include <string>
#include <vector>

#include "expectations/evaluator.h"

namespace sumackeel::expectations {

struct RoutingShift {
    std::string zone, service;
    std::uint64_t requests = 0, to_other_endpoint = 0, from_other_source = 0;
    std::uint64_t objects = 0, homes_moved = 0;  // parts asked for, and those whose first box is another one
    Bounds endpoint, source, copies;             // at 95% confidence
};

// Both with all members up and the same requests. Schools that only one of them has are left out and named.
struct FleetDiff {
    std::vector<RoutingShift> moved;
    std::vector<std::string> only_old, only_new;  // schools, then members, by name
};
FleetDiff compare(const FleetModel& before, const FleetModel& after, const Traffic& traffic,
                  std::uint64_t seed);

}  // namespace sumackeel::expectations
