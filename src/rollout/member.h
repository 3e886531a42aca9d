// Members of the fleet as used in rollout decisions: proxies and pop caches with their location and running
// version. Plain values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace sumackeel::rollout {

using base::Micros;

constexpr std::size_t kMaxMembers = 4'096;   // members of one kind in a command
constexpr std::size_t kMaxNameLength = 256;  // bytes of a member, zone, requester or version name

enum class MemberKind : std::uint8_t { proxy = 0, pop_cache = 1 };
// The name shown to operators: "proxy", "pop cache".
const char* name_of(MemberKind kind);

// One member, as seen by the leader when it created a command.
struct FleetMember {
    std::string name;
    std::string zone;           // for a parent: its region
    std::string parent_region;  // the region whose parents serve fills for this member's zone; empty: none
    double weight = 1;          // its share of the zone's capacity; finite, not negative
    bool unavailable = false;   // for a reason other than a lease
    std::string unavailable_reason;  // "draining", "dead", "cold" ...
    bool operator==(const FleetMember&) const = default;
};

// The version that a proxy runs, as reported by the proxy.
struct RunningVersion {
    std::uint64_t start = 0;  // increases with each process start; 0: unknown
    std::string version;
    bool operator==(const RunningVersion&) const = default;
};

}  // namespace sumackeel::rollout
