// Drain leases: the permission for one member to be out, and the commands that take and return it.
//
// A command holds everything that it is judged by (the fleet as the leader saw it, the budget, the leader's
// time), so that every replica that applies it comes to the same result.
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
constexpr std::size_t kMaxForcedRecords = 128;  // forced leases kept on record, the newest

// How many members of one kind may be out at once. All limits apply together.
struct DisruptionBudget {
    int max_unavailable_in_zone = 1;
    double max_zone_weight_share = 0.5;  // of the zone's weight, where more than one member is out
    int max_unavailable = 4;             // in the whole fleet
    Micros min_interval_in_zone = 0;     // from one member's return to the next lease in its zone
    bool operator==(const DisruptionBudget&) const = default;
};

// Asks for a member's lease.
struct LeaseRequest {
    MemberKind kind = MemberKind::proxy;
    std::string member;
    std::string requested_by;  // for the record
    bool forced = false;       // granted against the budget, and kept on record
    Micros now = 0;            // Unix time by the leader's clock; never used to end a lease
    DisruptionBudget budget;
    std::vector<FleetMember> fleet;  // all members of this kind
    std::uint64_t release = 0;       // an upgrade lease: the release's number; 0: a plain drain lease
    RunningVersion running = {};     // of a proxy, as the leader knows it
};

// Gives a member's lease back.
struct LeaseReturn {
    MemberKind kind = MemberKind::proxy;
    std::string member;
    std::string requested_by;
    Micros now = 0;               // Unix time by the leader's clock
    RunningVersion running = {};  // of a proxy that returns its own lease
};

// A lease that is out. It ends only by its return.
struct Lease {
    std::uint64_t number = 0;  // grows with each lease
    MemberKind kind = MemberKind::proxy;
    std::string member;
    std::string zone;
    std::string requested_by;
    Micros since = 0;  // Unix time by the leader's clock
    bool forced = false;
    std::uint64_t release = 0;  // an upgrade lease: the release's number; 0: a plain drain lease
    std::uint64_t start = 0;    // of the process that got it; a later start replaced that process
    bool operator==(const Lease&) const = default;
};

// By kind and name of the member.
using LeaseKey = std::pair<MemberKind, std::string>;
using LeaseMap = std::map<LeaseKey, Lease>;

enum class Outcome : std::uint8_t { granted, rejected, returned, none };

// What a command led to.
struct CommandResult {
    Outcome outcome = Outcome::none;
    std::uint64_t number = 0;  // granted or returned: of the lease or the release
    std::string reason;        // rejected, none: which rule, in words; an upgrade lease's: the version
    std::vector<std::string> blocked_by;  // rejected: the members that are out
};

}  // namespace sumackeel::rollout
