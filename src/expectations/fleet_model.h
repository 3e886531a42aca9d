// What is checked: the members of a fleet with the platform's settings, as plain values, and groups of
// members named by school, hub, kind or box.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "config/config.h"

namespace sumackeel::expectations {

using base::Micros;

enum class Kind { cache, parent, origin };
const char* name_of(Kind kind);

struct FleetModel {
    std::string settings_text;  // the platform's "settings" as JSON, for a counterexample that stands alone
    config::Site site;
    std::vector<config::LocatedEndpoint> members;  // in order of name

    Kind kind_of(std::size_t member) const;
    const std::string& name(std::size_t member) const { return members[member].endpoint.name; }
    // -1: no member of that name.
    int find(const std::string& name) const;
    std::string zone_of(std::size_t member) const;
    // Zones in which caches stand: what proxies are checked for.
    std::vector<int> zones_with_caches() const;
    // Zones in which parents or the origin stand, by name.
    std::vector<std::string> parent_regions() const;
};

// Takes the list as the change log would leave it: later events over earlier ones, those gone left out.
// Throws config::ConfigError where no member is left or settings name none of the roles.
FleetModel make_fleet(std::string settings_text, const std::vector<config::WatchEvent>& changes);

// Members by any of the names given in each list; lists that are given must all match. None given: all
// members.
struct MemberSelector {
    std::vector<std::string> names, zones, regions, kinds;

    bool matches(const FleetModel& fleet, std::size_t member) const;
    std::vector<bool> members(const FleetModel& fleet) const;
    std::string text() const;
    bool operator==(const MemberSelector&) const = default;
};

}  // namespace sumackeel::expectations
