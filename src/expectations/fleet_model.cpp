#include "expectations/fleet_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace sumackeel::expectations {

using routing::EndpointState;

const char* name_of(Kind kind) {
    return kind == Kind::cache ? "cache" : kind == Kind::parent ? "parent" : "origin";
}

Kind FleetModel::kind_of(std::size_t member) const {
    const int kind = members[member].endpoint.kind;
    if (kind >= 0 && kind == site.settings.origin_kind) return Kind::origin;
    return kind >= 0 && kind == site.settings.parent_kind ? Kind::parent : Kind::cache;
}

int FleetModel::find(const std::string& wanted) const {
    for (std::size_t i = 0; i < members.size(); ++i)
        if (name(i) == wanted) return static_cast<int>(i);
    return -1;
}

std::string FleetModel::zone_of(std::size_t member) const {
    const int zone = members[member].endpoint.zone;
    return zone >= 0 && zone < static_cast<int>(site.zones.size()) ? site.zones[zone] : "";
}

std::vector<int> FleetModel::zones_with_caches() const {
    std::set<int> zones;
    for (std::size_t i = 0; i < members.size(); ++i)
        if (kind_of(i) == Kind::cache && members[i].endpoint.zone >= 0)
            zones.insert(members[i].endpoint.zone);
    return {zones.begin(), zones.end()};
}

std::vector<std::string> FleetModel::parent_regions() const {
    std::set<std::string> names;
    for (std::size_t i = 0; i < members.size(); ++i)
        if (kind_of(i) != Kind::cache) names.insert(zone_of(i));
    return {names.begin(), names.end()};
}

FleetModel make_fleet(std::string settings_text, const std::vector<config::WatchEvent>& changes) {
    FleetModel fleet;
    fleet.site = config::parse_site(settings_text);
    fleet.settings_text = std::move(settings_text);
    std::map<std::string, config::LocatedEndpoint> endpoints_by_name;
    for (const config::WatchEvent& change : changes) {
        if (!change.has_endpoints) continue;
        if (change.is_full_list) endpoints_by_name.clear();
        for (const config::LocatedEndpoint& located : change.endpoints)
            endpoints_by_name[located.endpoint.name] = located;
    }
    for (auto& [name, located] : endpoints_by_name)
        if (located.endpoint.state != EndpointState::removed) fleet.members.push_back(std::move(located));
    if (fleet.members.empty()) throw config::ConfigError("the fleet has no member");
    if (fleet.zones_with_caches().empty()) throw config::ConfigError("the fleet has no cache in any school");
    return fleet;
}

namespace {

bool matches_list(const std::vector<std::string>& names, const std::string& name) {
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

bool MemberSelector::matches(const FleetModel& fleet, std::size_t member) const {
    const bool is_pop_cache = fleet.kind_of(member) == Kind::cache;
    return matches_list(names, fleet.name(member)) && matches_list(kinds, name_of(fleet.kind_of(member))) &&
           (zones.empty() || (is_pop_cache && matches_list(zones, fleet.zone_of(member)))) &&
           (regions.empty() || (!is_pop_cache && matches_list(regions, fleet.zone_of(member))));
}

std::vector<bool> MemberSelector::members(const FleetModel& fleet) const {
    std::vector<bool> all;
    for (std::size_t i = 0; i < fleet.members.size(); ++i) all.push_back(matches(fleet, i));
    return all;
}

std::string MemberSelector::text() const {
    std::string all;
    const auto add = [&](const char* label, const std::vector<std::string>& names) {
        if (!names.empty())
            all += fmt::format("{}{} {}", all.empty() ? "" : ", ", label, fmt::join(names, " or "));
    };
    add("box", names), add("school", zones), add("hub", regions), add("kind", kinds);
    return all.empty() ? "any member" : all;
}

}  // namespace sumackeel::expectations
