#include "daemon/leaves.h"

namespace sumackeel::daemon {

using nettlethread::CacheState;

// The hubs are the zones without proxies, in the order of the settings; each zone's place in their ring is
// told.
std::string Leaves::hub_of(int zone) const {
    const auto& settings = site_.settings;
    const auto in = [](const std::vector<int>& all, std::size_t place) {
        return place < all.size() ? all[place] : 0;
    };
    if (zone < 0 || in(settings.zone_instances, static_cast<std::size_t>(zone)) == 0) return {};
    int left = in(settings.zone_hub, static_cast<std::size_t>(zone));
    for (std::size_t i = 0; i < site_.zones.size(); ++i)
        if (in(settings.zone_instances, i) == 0 && left-- == 0) return site_.zones[i];
    return {};
}

std::vector<rollout::Seen> Leaves::pop_caches(const membership::View& view, base::Micros now) {
    std::vector<rollout::Seen> all;
    for (const auto& [id, member] : view.members()) {
        const nettlethread::CacheEntry& entry = member.word->placed.entry;
        if (entry.kind == site_.settings.origin_kind || entry.zone < 0 ||
            entry.zone >= static_cast<int>(site_.zones.size()))
            continue;
        const bool gone = entry.state == CacheState::gone;
        if (!gone) gone_.erase(id);
        if (gone && now - gone_.try_emplace(id, now).first->second >= gone_counts_) continue;
        const bool parent = entry.kind == site_.settings.parent_kind;
        const base::Micros warm_after = parent ? site_.settings.parent_ramp : site_.settings.warm_after;
        const char* why = gone                                                ? "gone"
                          : entry.state == CacheState::draining               ? "draining"
                          : entry.since > 0 && now - entry.since < warm_after ? "cold"
                                                                              : "";
        all.push_back({.name = id,
                       .school = site_.zones[static_cast<std::size_t>(entry.zone)],
                       .leans_on = hub_of(entry.zone),
                       .weight = entry.weight,
                       .out = *why != 0,
                       .why = why});
    }
    std::erase_if(gone_, [&](const auto& item) { return !view.members().contains(item.first); });
    return all;
}

std::vector<rollout::Seen> Leaves::proxies(const group::Group& group, bool draining) const {
    const group::Word& self = group.self();
    std::vector<rollout::Seen> all{{.name = self.name,
                                    .school = self.zone,
                                    .leans_on = {},
                                    .weight = 1,
                                    .out = draining,
                                    .why = draining ? "draining" : ""}};
    for (const group::Seen& seen : group.seen()) {
        const bool out = seen.state != group::State::alive;
        all.push_back({.name = seen.word.name,
                       .school = seen.word.zone,
                       .leans_on = {},
                       .weight = 1,
                       .out = out,
                       .why = out ? name_of(seen.state) : ""});
    }
    return all;
}

}  // namespace sumackeel::daemon
