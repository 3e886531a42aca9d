// Effects of a changed fleet or changed settings: the share of requests, by zone and class, that go to other
// endpoints and sources, and how many cached copies that loses.
#pragma once

#include <string>
#include <vector>

#include "expectations/evaluator.h"

namespace sumackeel::expectations {

struct RoutingShift {
    std::string zone, service;
    std::uint64_t requests = 0, to_other_endpoint = 0, from_other_source = 0;
    std::uint64_t objects = 0, homes_moved = 0;  // requested objects, and those with another first endpoint
    Bounds endpoint, source, copies;             // at 95% confidence
};

// Compares both fleets with all members up and the same requests. Zones in only one of them are left out and
// listed.
struct FleetDiff {
    std::vector<RoutingShift> moved;
    std::vector<std::string> only_old, only_new;  // names of zones, then of members
};
FleetDiff compare(const FleetModel& before, const FleetModel& after, const Traffic& traffic,
                  std::uint64_t seed);

}  // namespace sumackeel::expectations
