// Members of the fleet as rollout decisions see them: proxies and pop caches, where each stands, and what
// runs on it. Plain values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace sumackeel::rollout {

using base::Micros;

constexpr std::size_t kMaxMembers = 4'096;   // members of one kind in a command
constexpr std::size_t kMaxNameLength = 256;  // bytes of a member, zone, requester or version

enum class MemberKind : std::uint8_t { proxy = 0, pop_cache = 1 };
// The name that operators read: "proxy", "pop cache".
const char* name_of(MemberKind kind);

// One member, as the leader saw it when it made a command.
struct FleetMember {
    std::string name;
    std::string zone;                // of a parent: its region
    std::string parent_region;       // the region whose parents fill this member's zone; empty: none
    double weight = 1;               // its share of the zone's capacity; finite, not negative
    bool unavailable = false;        // for another reason than a lease
    std::string unavailable_reason;  // "draining", "dead", "cold" ...
    bool operator==(const FleetMember&) const = default;
};

// What a proxy runs, as it reports itself.
struct RunningVersion {
    std::uint64_t start = 0;  // grows with each start of the process; 0: not known
    std::string version;
    bool operator==(const RunningVersion&) const = default;
};

}  // namespace sumackeel::rollout
