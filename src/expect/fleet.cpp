#include "expect/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace sumackeel::expect {

using nettlethread::CacheState;

const char* name_of(Kind kind) {
    return kind == Kind::cache ? "cache" : kind == Kind::parent ? "parent" : "origin";
}

Kind Fleet::kind_of(std::size_t member) const {
    const int kind = members[member].entry.kind;
    if (kind >= 0 && kind == site.settings.origin_kind) return Kind::origin;
    return kind >= 0 && kind == site.settings.parent_kind ? Kind::parent : Kind::cache;
}

int Fleet::find(const std::string& wanted) const {
    for (std::size_t i = 0; i < members.size(); ++i)
        if (name(i) == wanted) return static_cast<int>(i);
    return -1;
}

std::string Fleet::zone_of(std::size_t member) const {
    const int zone = members[member].entry.zone;
    return zone >= 0 && zone < static_cast<int>(site.zones.size()) ? site.zones[zone] : "";
}

std::vector<int> Fleet::schools() const {
    std::set<int> zones;
    for (std::size_t i = 0; i < members.size(); ++i)
        if (kind_of(i) == Kind::cache && members[i].entry.zone >= 0) zones.insert(members[i].entry.zone);
    return {zones.begin(), zones.end()};
}

std::vector<std::string> Fleet::hubs() const {
    std::set<std::string> names;
    for (std::size_t i = 0; i < members.size(); ++i)
        if (kind_of(i) != Kind::cache) names.insert(zone_of(i));
    return {names.begin(), names.end()};
}

Fleet make_fleet(std::string settings_text, const std::vector<config::Change>& changes) {
    Fleet fleet;
    fleet.site = config::read_site(settings_text);
    fleet.settings_text = std::move(settings_text);
    std::map<std::string, config::Placed> known;
    for (const config::Change& change : changes) {
        if (!change.has_fleet) continue;
        if (change.whole) known.clear();
        for (const config::Placed& placed : change.members) known[placed.entry.cache] = placed;
    }
    for (auto& [name, placed] : known)
        if (placed.entry.state != CacheState::gone) fleet.members.push_back(std::move(placed));
    if (fleet.members.empty()) throw config::ConfigError("the fleet has no member");
    if (fleet.schools().empty()) throw config::ConfigError("the fleet has no cache in any school");
    return fleet;
}

namespace {

bool among(const std::vector<std::string>& names, const std::string& name) {
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

bool Group::matches(const Fleet& fleet, std::size_t member) const {
    const bool at_school = fleet.kind_of(member) == Kind::cache;
    return among(boxes, fleet.name(member)) && among(kinds, name_of(fleet.kind_of(member))) &&
           (schools.empty() || (at_school && among(schools, fleet.zone_of(member)))) &&
           (hubs.empty() || (!at_school && among(hubs, fleet.zone_of(member))));
}

std::vector<bool> Group::members(const Fleet& fleet) const {
    std::vector<bool> all;
    for (std::size_t i = 0; i < fleet.members.size(); ++i) all.push_back(matches(fleet, i));
    return all;
}

std::string Group::text() const {
    std::string all;
    const auto add = [&](const char* what, const std::vector<std::string>& names) {
        if (!names.empty())
            all += fmt::format("{}{} {}", all.empty() ? "" : ", ", what, fmt::join(names, " or "));
    };
    add("box", boxes), add("school", schools), add("hub", hubs), add("kind", kinds);
    return all.empty() ? "any member" : all;
}

}  // namespace sumackeel::expect
