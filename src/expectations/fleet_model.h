// The model that expectations are checked on: the members of a fleet with the platform's settings, as plain
// values, and selectors of members by zone, region, kind or name.
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
    std::string settings_text;  // the platform's "settings" as JSON, for self-contained counterexamples
    config::Site site;
    std::vector<config::LocatedEndpoint> members;  // ordered by name

    Kind kind_of(std::size_t member) const;
    const std::string& name(std::size_t member) const { return members[member].endpoint.name; }
    // Index of the member; -1 if there is none of that name.
    int find(const std::string& name) const;
    std::string zone_of(std::size_t member) const;
    // Zones with caches; expectations are checked for the proxies of these.
    std::vector<int> zones_with_caches() const;
    // Names of the zones with parents or the origin.
    std::vector<std::string> parent_regions() const;
};

// Applies the changes in order: later events override earlier ones, and removed endpoints are left out.
// Throws config::ConfigError if the settings are invalid, no member is left or no zone has a cache.
FleetModel make_fleet(std::string settings_text, const std::vector<config::WatchEvent>& changes);

// Selects members that match all non-empty lists, each by any of its names. With all lists empty, every
// member matches.
struct MemberSelector {
    std::vector<std::string> names, zones, regions, kinds;

    bool matches(const FleetModel& fleet, std::size_t member) const;
    std::vector<bool> members(const FleetModel& fleet) const;
    std::string text() const;
    bool operator==(const MemberSelector&) const = default;
};

}  // namespace sumackeel::expectations
