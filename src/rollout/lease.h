// Drain leases: the permission for one member to be out of service, and the commands that request and return
// it.
//
// A command contains all inputs of its evaluation (the fleet as seen by the leader, the budget, the leader's
// time), so that every replica that applies it computes the same result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rollout/member.h"

namespace sumackeel::rollout {

constexpr std::size_t kMaxLeases = 1'024;
constexpr std::size_t kMaxForcedRecords = 128;  // the newest forced leases are recorded

// How many members of one kind may be unavailable at once. All limits must hold.
struct DisruptionBudget {
    int max_unavailable_in_zone = 1;
    double max_zone_weight_share = 0.5;  // of the zone's weight, if more than one member is unavailable
    int max_unavailable = 4;             // in the whole fleet
    Micros min_interval_in_zone = 0;     // between a member's lease return and the next lease in its zone
    bool operator==(const DisruptionBudget&) const = default;
};

// Requests a lease for a member.
struct LeaseRequest {
    MemberKind kind = MemberKind::proxy;
    std::string member;
    std::string requested_by;  // recorded only
    bool forced = false;       // granted regardless of the budget, and recorded
    Micros now = 0;            // Unix time by the leader's clock; never used to end a lease
    DisruptionBudget budget;
    std::vector<FleetMember> fleet;  // all members of this kind
    std::uint64_t release = 0;       // an upgrade lease: the release's number; 0: a plain drain lease
    RunningVersion running = {};     // proxies only, as known to the leader
};

// Returns a member's lease.
struct LeaseReturn {
    MemberKind kind = MemberKind::proxy;
    std::string member;
    std::string requested_by;
    Micros now = 0;               // Unix time by the leader's clock
    RunningVersion running = {};  // set by a proxy that returns its own lease
};

// A granted lease. It never expires; it ends only by its return.
struct Lease {
    std::uint64_t number = 0;  // increases with each lease
    MemberKind kind = MemberKind::proxy;
    std::string member;
    std::string zone;
    std::string requested_by;
    Micros since = 0;  // Unix time by the leader's clock
    bool forced = false;
    std::uint64_t release = 0;  // an upgrade lease: the release's number; 0: a plain drain lease
    std::uint64_t start = 0;    // start number of the process that was granted it; a higher one replaced it
    bool operator==(const Lease&) const = default;
};

// Kind and name of the member.
using LeaseKey = std::pair<MemberKind, std::string>;
using LeaseMap = std::map<LeaseKey, Lease>;

enum class Outcome : std::uint8_t { granted, rejected, returned, none };

// The result of a command.
struct CommandResult {
    Outcome outcome = Outcome::none;
    std::uint64_t number = 0;  // granted, returned: the number of the lease or release
    std::string reason;        // rejected, none: the violated rule; granted upgrade lease: the target version
    std::vector<std::string> blocked_by;  // rejected: the unavailable members
};

}  // namespace sumackeel::rollout
