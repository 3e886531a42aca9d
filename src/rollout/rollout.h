// Who may leave, agreed by all: the state that the agreed log drives, and the rules by which a leave is
// granted.
//
// Pure and the same everywhere: all that a command is judged by (what the leader saw, its rules, its time) is
// in the command, so that each member that applies the same commands has the same state.
//
// Promises: a member has one lease at a time, and asking again gives the same one; numbers only grow; at no
// command are more out than the rules say by a grant that was not forced; what is out by itself shrinks what
// may leave, and forces nobody. A lease ends only when it is given back: one whose holder has died is out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "rollout/release.h"

namespace sumackeel::rollout {

constexpr std::size_t kMaxLeases = 1'024;
constexpr std::size_t kMaxMembers = 4'096;      // members of one kind in a command
constexpr std::size_t kMaxForcedRecords = 128;  // of what was done by force
constexpr std::size_t kMaxNameLength = 256;

enum class MemberKind : std::uint8_t { proxy = 0, pop_cache = 1 };
const char* name_of(MemberKind kind);

// A member as the leader saw it.
struct FleetMember {
    std::string name, zone;     // school: or hub, of a parent
    std::string parent_region;  // the hub that its school is tied to; empty: none
    double weight = 1;
    bool unavailable = false;
    std::string unavailable_reason;  // it is out: "draining", "dead", "cold" ...
    bool operator==(const FleetMember&) const = default;
};

// Of one kind. All hold at once.
struct DisruptionBudget {
    int max_unavailable_in_zone = 1;     // at most so many of a school
    double max_zone_weight_share = 0.5;  // and at most this share of its weight, where more than one is out
    int max_unavailable = 4;             // at most so many of all
    Micros min_interval_in_zone = 0;     // from one's return to the next one's leave, in a school
    bool operator==(const DisruptionBudget&) const = default;
};

struct LeaseRequest {
    MemberKind kind = MemberKind::proxy;
    std::string member, requested_by;  // by: who called, for the record
    bool forced = false;
    Micros now = 0;  // the leader's, microseconds of Unix time; never used to end a lease
    DisruptionBudget budget;
    std::vector<FleetMember> fleet;  // all of this kind
    // A turn's: the release (0: none's). Of a proxy: what it runs, as the leader knows it.
    std::uint64_t release = 0;
    RunningVersion running = {};
};
struct LeaseReturn {
    MemberKind kind = MemberKind::proxy;
    std::string member, requested_by;
    Micros now = 0;
    RunningVersion running = {};  // of a proxy that gives back its own
};

struct Lease {
    std::uint64_t number = 0;
    MemberKind kind = MemberKind::proxy;
    std::string member, zone, requested_by;
    Micros since = 0;
    bool forced = false;
    std::uint64_t release = 0;  // for whose turn; 0: none's
    std::uint64_t start = 0;    // of the proxy that got it; a later one is a process that replaced that one
    bool operator==(const Lease&) const = default;
};

enum class Outcome : std::uint8_t { granted, rejected, returned, none };
struct CommandResult {
    Outcome outcome = Outcome::none;
    std::uint64_t number = 0;             // granted: of the lease
    std::string reason;                   // refused, nothing: which rule, or why, in words
    std::vector<std::string> blocked_by;  // refused: who is out
};

class State {
  public:
    CommandResult apply(const LeaseRequest& ask);
    CommandResult apply(const LeaseReturn& back);
    CommandResult apply(const ReleaseCommand& order);  // number: of the release
    CommandResult apply(const ReleaseStep& step);
    // What an ask would get now, without a change.
    CommandResult evaluate(const LeaseRequest& ask) const;

    const std::map<std::pair<MemberKind, std::string>, Lease>& leases() const { return leases_; }
    const Lease* find(MemberKind kind, const std::string& member) const;
    std::uint64_t last_number() const { return last_; }
    // Grows with each change.
    std::uint64_t revision() const { return revision_; }
    const std::vector<Lease>& forced() const { return forced_; }
    const Releases& releases() const { return releases_; }
    bool operator==(const State&) const = default;

    // As bytes (MessagePack, with a version); throws std::runtime_error on bytes that are none.
    std::string encode() const;
    static State decode(std::string_view bytes);

  private:
    std::map<std::pair<MemberKind, std::string>, Lease> leases_;
    std::map<std::pair<MemberKind, std::string>, Micros> returned_;  // by school: the last return
    std::vector<Lease> forced_;                                      // the newest kMostRecords
    std::uint64_t last_ = 0, revision_ = 0;
    Releases releases_;
};

// Commands as the log holds them, with a version. decode throws std::runtime_error.
std::string encode(const LeaseRequest& ask);
std::string encode(const LeaseReturn& back);
CommandResult apply(State& state, std::string_view command);
std::string encode(const CommandResult& answer);
CommandResult decode_result(std::string_view bytes);

}  // namespace sumackeel::rollout
