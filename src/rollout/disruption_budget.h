// The rules of the disruption budget: whether one more member may be out. Pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/lease.h"

namespace sumackeel::rollout {

struct BudgetRejection {
    std::string reason;                   // which rule
    std::vector<std::string> blocked_by;  // the members that are out
};

// The rule that `request` breaks, if any. `member` is the request's entry in its own fleet. Members that are
// unavailable by themselves count as out, and so do holders of leases that the fleet no longer lists.
// `last_return_in_zone`: when a member of the zone last returned a lease, if ever.
std::optional<BudgetRejection> check_disruption_budget(const LeaseRequest& request, const FleetMember& member,
                                                       const LeaseMap& leases,
                                                       std::optional<Micros> last_return_in_zone);

}  // namespace sumackeel::rollout
