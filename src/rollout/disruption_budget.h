// Evaluates the disruption budget: whether one more member may be taken out of service. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/lease.h"

namespace sumackeel::rollout {

struct BudgetRejection {
    std::string reason;                   // which rule rejected the request
    std::vector<std::string> blocked_by;  // the unavailable members
};

// Returns the first rule that `request` violates, if any. `member` is the requesting member's entry in
// `request.fleet`. Members that are unavailable for other reasons count against the budget, and so do lease
// holders that the fleet no longer lists. `last_return_in_zone`: when a member of the zone last returned a
// lease; empty: never.
std::optional<BudgetRejection> check_disruption_budget(const LeaseRequest& request, const FleetMember& member,
                                                       const LeaseMap& leases,
                                                       std::optional<Micros> last_return_in_zone);

}  // namespace sumackeel::rollout
