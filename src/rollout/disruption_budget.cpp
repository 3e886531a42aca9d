#include "rollout/disruption_budget.h"

#include <fmt/format.h>

#include <algorithm>

namespace sumackeel::rollout {

namespace {

// The unavailable members that are relevant to one request.
struct Disruption {
    std::vector<std::string> out_in_zone;
    std::vector<std::string> out_in_fleet;
    std::vector<std::string> out_in_related_zones;  // the parent region, or zones that this one is parent of
    std::size_t zone_members = 0;
    double zone_weight = 0;
    double zone_weight_out = 0;
};

bool is_related(const FleetMember& member, const FleetMember& other) {
    const bool is_parent = !member.parent_region.empty() && other.zone == member.parent_region;
    return is_parent || other.parent_region == member.zone;
}

void add_listed_members(Disruption& disruption, const LeaseRequest& request, const FleetMember& member,
                        const LeaseMap& leases) {
    for (const FleetMember& other : request.fleet) {
        const bool same_zone = other.zone == member.zone;
        if (same_zone) {
            ++disruption.zone_members;
            disruption.zone_weight += other.weight;
        }
        const bool is_out = other.unavailable || leases.contains({request.kind, other.name});
        if (other.name == request.member || !is_out) continue;
        disruption.out_in_fleet.push_back(other.name);
        if (is_related(member, other)) disruption.out_in_related_zones.push_back(other.name);
        if (!same_zone) continue;
        disruption.out_in_zone.push_back(other.name);
        disruption.zone_weight_out += other.weight;
    }
}

void add_unlisted_holders(Disruption& disruption, const LeaseRequest& request, const FleetMember& member,
                          const LeaseMap& leases) {
    for (const auto& entry : leases) {
        const Lease& lease = entry.second;
        if (lease.kind != request.kind) continue;
        const bool listed = std::any_of(request.fleet.begin(), request.fleet.end(),
                                        [&](const FleetMember& other) { return other.name == lease.member; });
        if (listed) continue;
        disruption.out_in_fleet.push_back(lease.member);
        if (lease.zone == member.zone) disruption.out_in_zone.push_back(lease.member);
    }
}

}  // namespace

std::optional<BudgetRejection> check_disruption_budget(const LeaseRequest& request, const FleetMember& member,
                                                       const LeaseMap& leases,
                                                       std::optional<Micros> last_return_in_zone) {
    if (member.unavailable) return std::nullopt;  // already unavailable: a lease takes no further capacity
    Disruption disruption;
    add_listed_members(disruption, request, member, leases);
    add_unlisted_holders(disruption, request, member, leases);

    const DisruptionBudget& budget = request.budget;
    const std::size_t out_in_zone = disruption.out_in_zone.size() + 1;
    const std::size_t out_in_fleet = disruption.out_in_fleet.size() + 1;
    if (out_in_zone >= disruption.zone_members)
        return BudgetRejection{
            fmt::format("{} is the last of {} that is not out", request.member, member.zone),
            disruption.out_in_zone};
    if (static_cast<int>(out_in_zone) > budget.max_unavailable_in_zone)
        return BudgetRejection{
            fmt::format("{} of {} may be out at once", budget.max_unavailable_in_zone, member.zone),
            disruption.out_in_zone};
    if (!disruption.out_in_related_zones.empty())
        return BudgetRejection{
            fmt::format("{} and those that lean on it, or that it leans on, are not out together",
                        member.zone),
            disruption.out_in_related_zones};
    const double weight_out = disruption.zone_weight_out + member.weight;
    if (!disruption.out_in_zone.empty() && weight_out > budget.max_zone_weight_share * disruption.zone_weight)
        return BudgetRejection{fmt::format("over {:.0f}% of {} by weight would be out",
                                           budget.max_zone_weight_share * 100, member.zone),
                               disruption.out_in_zone};
    if (static_cast<int>(out_in_fleet) > budget.max_unavailable)
        return BudgetRejection{fmt::format("{} of all may be out at once", budget.max_unavailable),
                               disruption.out_in_fleet};
    if (last_return_in_zone && request.now - *last_return_in_zone < budget.min_interval_in_zone)
        return BudgetRejection{fmt::format("one of {} came back {} s ago, {} s are to pass", member.zone,
                                           (request.now - *last_return_in_zone) / base::kSecond,
                                           budget.min_interval_in_zone / base::kSecond),
                               {}};
    return std::nullopt;
}

}  // namespace sumackeel::rollout
