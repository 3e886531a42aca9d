#include "daemon/disruption_budget.h"

namespace sumackeel::daemon {

using routing::EndpointState;

// Parent regions are the zones without proxies, in the order of the settings. `region_by_zone` holds each
// zone's index among them.
std::string DisruptionBudgetView::parent_region_of(int zone) const {
    const auto& settings = site_.settings;
    const auto value_at = [](const std::vector<int>& all, std::size_t index) {
        return index < all.size() ? all[index] : 0;
    };
    if (zone < 0 || value_at(settings.instances_by_zone, static_cast<std::size_t>(zone)) == 0) return {};
    int remaining = value_at(settings.region_by_zone, static_cast<std::size_t>(zone));
    for (std::size_t i = 0; i < site_.zones.size(); ++i)
        if (value_at(settings.instances_by_zone, i) == 0 && remaining-- == 0) return site_.zones[i];
    return {};
}

std::vector<rollout::FleetMember> DisruptionBudgetView::pop_caches(const endpoints::EndpointView& view,
                                                                   base::Micros now) {
    std::vector<rollout::FleetMember> all;
    for (const auto& [id, known] : view.endpoints()) {
        const routing::Endpoint& endpoint = known.record->located.endpoint;
        if (endpoint.kind == site_.settings.origin_kind || endpoint.zone < 0 ||
            endpoint.zone >= static_cast<int>(site_.zones.size()))
            continue;
        const bool is_removed = endpoint.state == EndpointState::removed;
        if (!is_removed) removed_since_.erase(id);
        if (is_removed && now - removed_since_.try_emplace(id, now).first->second >= removed_counts_for_)
            continue;
        const bool is_parent = endpoint.kind == site_.settings.parent_kind;
        const base::Micros warm_after =
            is_parent ? site_.settings.parent_slow_start : site_.settings.warm_up_duration;
        const char* reason = is_removed                                                          ? "gone"
                             : endpoint.state == EndpointState::draining                         ? "draining"
                             : endpoint.started_at > 0 && now - endpoint.started_at < warm_after ? "cold"
                                                                                                 : "";
        all.push_back({.name = id,
                       .zone = site_.zones[static_cast<std::size_t>(endpoint.zone)],
                       .parent_region = parent_region_of(endpoint.zone),
                       .weight = endpoint.weight,
                       .unavailable = *reason != 0,
                       .unavailable_reason = reason});
    }
    std::erase_if(removed_since_, [&](const auto& item) { return !view.endpoints().contains(item.first); });
    return all;
}

std::vector<rollout::FleetMember> DisruptionBudgetView::proxies(const cluster::Membership& group,
                                                                bool draining) const {
    const cluster::MemberRecord& self = group.self();
    std::vector<rollout::FleetMember> all{{.name = self.name,
                                           .zone = self.zone,
                                           .parent_region = {},
                                           .weight = 1,
                                           .unavailable = draining,
                                           .unavailable_reason = draining ? "draining" : ""}};
    for (const cluster::MemberView& member : group.members()) {
        const bool unavailable = member.state != cluster::State::alive;
        all.push_back({.name = member.record.name,
                       .zone = member.record.zone,
                       .parent_region = {},
                       .weight = 1,
                       .unavailable = unavailable,
                       .unavailable_reason = unavailable ? name_of(member.state) : ""});
    }
    return all;
}

}  // namespace sumackeel::daemon
