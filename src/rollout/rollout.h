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

constexpr std::size_t kMostLeases = 1'024;
constexpr std::size_t kMostSeen = 4'096;   // members of one kind in a command
constexpr std::size_t kMostRecords = 128;  // of what was done by force
constexpr std::size_t kLongestName = 256;

enum class Kind : std::uint8_t { proxy = 0, pop_cache = 1 };
const char* name_of(Kind kind);

// A member as the leader saw it.
struct Seen {
    std::string name, school;  // school: or hub, of a parent
    std::string leans_on;      // the hub that its school is tied to; empty: none
    double weight = 1;
    bool out = false;
    std::string why;  // it is out: "draining", "dead", "cold" ...
    bool operator==(const Seen&) const = default;
};

// Of one kind. All hold at once.
struct Rules {
    int school_out = 1;         // at most so many of a school
    double school_share = 0.5;  // and at most this share of its weight, where more than one is out
    int fleet_out = 4;          // at most so many of all
    Micros between = 0;         // from one's return to the next one's leave, in a school
    bool operator==(const Rules&) const = default;
};

struct Ask {
    Kind kind = Kind::proxy;
    std::string member, by;  // by: who called, for the record
    bool forced = false;
    Micros now = 0;  // the leader's, microseconds of Unix time; never used to end a lease
    Rules rules;
    std::vector<Seen> world;  // all of this kind
    // A turn's: the release (0: none's). Of a proxy: what it runs, as the leader knows it.
    std::uint64_t release = 0;
    Runs runs = {};
};
struct Back {
    Kind kind = Kind::proxy;
    std::string member, by;
    Micros now = 0;
    Runs runs = {};  // of a proxy that gives back its own
};

struct Lease {
    std::uint64_t number = 0;
    Kind kind = Kind::proxy;
    std::string member, school, by;
    Micros since = 0;
    bool forced = false;
    std::uint64_t release = 0;  // for whose turn; 0: none's
    std::uint64_t start = 0;    // of the proxy that got it; a later one is a process that replaced that one
    bool operator==(const Lease&) const = default;
};

enum class How : std::uint8_t { granted, refused, ended, nothing };
struct Answer {
    How how = How::nothing;
    std::uint64_t number = 0;            // granted: of the lease
    std::string reason;                  // refused, nothing: which rule, or why, in words
    std::vector<std::string> waits_for;  // refused: who is out
};

class State {
  public:
    Answer apply(const Ask& ask);
    Answer apply(const Back& back);
    Answer apply(const Order& order);  // number: of the release
    Answer apply(const Step& step);
    // What an ask would get now, without a change.
    Answer judge(const Ask& ask) const;

    const std::map<std::pair<Kind, std::string>, Lease>& leases() const { return leases_; }
    const Lease* find(Kind kind, const std::string& member) const;
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
    std::map<std::pair<Kind, std::string>, Lease> leases_;
    std::map<std::pair<Kind, std::string>, Micros> returned_;  // by school: the last return
    std::vector<Lease> forced_;                                // the newest kMostRecords
    std::uint64_t last_ = 0, revision_ = 0;
    Releases releases_;
};

// Commands as the log holds them, with a version. decode throws std::runtime_error.
std::string encode(const Ask& ask);
std::string encode(const Back& back);
Answer apply(State& state, std::string_view command);
std::string encode(const Answer& answer);
Answer decode_answer(std::string_view bytes);

}  // namespace sumackeel::rollout
