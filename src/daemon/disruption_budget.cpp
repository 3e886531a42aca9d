#include "daemon/disruption_budget.h"

namespace sumackeel::daemon {

using routing::EndpointState;

// The hubs are the zones without proxies, in the order of the settings; each zone's place in their ring is
// told.
std::string DisruptionBudgetView::parent_region_of(int zone) const {
    const auto& settings = site_.settings;
    const auto in = [](const std::vector<int>& all, std::size_t place) {
        return place < all.size() ? all[place] : 0;
    };
    if (zone < 0 || in(settings.instances_by_zone, static_cast<std::size_t>(zone)) == 0) return {};
    int left = in(settings.region_by_zone, static_cast<std::size_t>(zone));
    for (std::size_t i = 0; i < site_.zones.size(); ++i)
        if (in(settings.instances_by_zone, i) == 0 && left-- == 0) return site_.zones[i];
    return {};
}

std::vector<rollout::FleetMember> DisruptionBudgetView::pop_caches(const endpoints::EndpointView& view,
                                                                   base::Micros now) {
    std::vector<rollout::FleetMember> all;
    for (const auto& [id, member] : view.endpoints()) {
        const routing::Endpoint& entry = member.record->located.endpoint;
        if (entry.kind == site_.settings.origin_kind || entry.zone < 0 ||
            entry.zone >= static_cast<int>(site_.zones.size()))
            continue;
        const bool gone = entry.state == EndpointState::removed;
        if (!gone) gone_.erase(id);
        if (gone && now - gone_.try_emplace(id, now).first->second >= gone_counts_) continue;
        const bool parent = entry.kind == site_.settings.parent_kind;
        const base::Micros warm_after =
            parent ? site_.settings.parent_slow_start : site_.settings.warm_up_duration;
        const char* why = gone                                                          ? "gone"
                          : entry.state == EndpointState::draining                      ? "draining"
                          : entry.started_at > 0 && now - entry.started_at < warm_after ? "cold"
                                                                                        : "";
        all.push_back({.name = id,
                       .zone = site_.zones[static_cast<std::size_t>(entry.zone)],
                       .parent_region = parent_region_of(entry.zone),
                       .weight = entry.weight,
                       .unavailable = *why != 0,
                       .unavailable_reason = why});
    }
    std::erase_if(gone_, [&](const auto& item) { return !view.endpoints().contains(item.first); });
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
    for (const cluster::MemberView& seen : group.members()) {
        const bool out = seen.state != cluster::State::alive;
        all.push_back({.name = seen.record.name,
                       .zone = seen.record.zone,
                       .parent_region = {},
                       .weight = 1,
                       .unavailable = out,
                       .unavailable_reason = out ? name_of(seen.state) : ""});
    }
    return all;
}

}  // namespace sumackeel::daemon
