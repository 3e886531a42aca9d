// Releases: a plan, and the state it drives in the agreed log. Pure, as rollout.h: what a command is judged
// by is in the command.
//
// Promises: one release is under way at a time; a step counts only behind the one that it names; a halted
// release takes no step but an operator's; each ends as done or back.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sumackeel::rollout {

using base::Micros;

constexpr std::size_t kMostOfRelease = 4'096;  // members of a plan
constexpr std::size_t kMostPast = 16;          // releases that ended, remembered
constexpr std::size_t kLongestReason = 1'024;

// What one process did since its start; answers by how long the client waited, bucket i up to 2^i ms.
constexpr std::size_t kBuckets = 16;
struct Tally {
    std::uint64_t served = 0, refused = 0, failed = 0;  // failed: out of time as well
    std::array<std::uint64_t, kBuckets> took{};         // of those served
    std::uint64_t own_us = 0, sent = 0;  // from a request to its first attempt, summed; of how many
    std::uint64_t memory_kb = 0;         // now, resident
    std::uint64_t requests() const { return served + refused + failed; }
    bool operator==(const Tally&) const = default;
};
// A member's word on itself, to whoever leads.
struct Report {
    std::string member, version;
    std::uint64_t start = 0;
    Tally tally;
};

// What is added up over members and a span of time, for a gate.
struct Sum {
    std::uint64_t requests = 0, in_time = 0, refused = 0, failed = 0, own_us = 0, sent = 0;
    std::uint64_t memory_kb = 0, members = 0;
    Sum& operator+=(const Sum& other);
    bool operator==(const Sum&) const = default;
};

// How much worse the changed may be than the others. Shares are differences, the rest factors.
struct Gate {
    Micros in_time = 1'024'000;  // an answer within this is in time; taken up to the next power of two ms
    double late = 0.02, failures = 0.01, refusals = 0.02;
    double own_time = 2, memory = 1.5;
    std::uint64_t least = 200;  // requests that a verdict needs, on each side
    bool operator==(const Gate&) const = default;
};

struct Plan {
    std::string name, what = "program";                // what: program, settings or fleet; a word for people
    std::string from, to;                              // versions, as members say that they run them
    std::vector<std::string> members;                  // in order
    std::vector<std::size_t> waves;                    // how many in each; they add up to all
    Micros soak = 60'000'000, patience = 900'000'000;  // patience: for one wave to be changed
    Gate gate;
    // Members up to and with this wave.
    std::size_t upto(std::size_t wave) const;
    bool operator==(const Plan&) const = default;
};
// What a proxy runs, by its own word; start 0: not known.
struct Runs {
    std::uint64_t start = 0;
    std::string version;
    bool operator==(const Runs&) const = default;
};
// Of a plan's TOML text; `all`: every proxy there is, for a plan without a list of its own. Throws
// ConfigError naming line and column.
Plan read_plan(const std::string& text, const std::string& file, const std::vector<std::string>& all);

enum class Stage : std::uint8_t { changing, soaking, going_back, halted, done, back };
const char* name_of(Stage stage);

struct Release {
    std::uint64_t number = 0, steps = 0;  // steps: taken so far, the fence of the next
    Plan plan;
    Stage stage = Stage::changing, held = Stage::changing;  // held: what was halted
    std::size_t wave = 0;
    Micros since = 0;         // in this stage, the leader's clock
    std::string reason, by;   // of the last step; by whom
    std::optional<Sum> base;  // those not changed, at the last gate passed
    // What members said that they run when they gave a turn back: fresher than what goes round in the group.
    std::map<std::string, Runs> told;
    std::vector<std::string> without;  // of the plan; lost when an operator let it go on all the same
    bool over() const { return stage == Stage::done || stage == Stage::back; }
    bool gives_turns() const { return stage == Stage::changing || stage == Stage::going_back; }
    // What a member is to run that has its turn now.
    const std::string& wanted() const {
        return (stage == Stage::halted ? held : stage) == Stage::going_back ? plan.from : plan.to;
    }
    bool has(const std::string& member) const;
    // Empty: it is `member`'s turn by stage and wave; else why not.
    std::string no_turn(const std::string& member) const;
    bool operator==(const Release&) const = default;
};

// What operators say.
enum class Verb : std::uint8_t { start, halt, resume, back };
const char* name_of(Verb verb);
struct Order {
    Verb verb = Verb::halt;
    std::string by;
    Micros now = 0;
    Plan plan;                       // start
    std::vector<std::string> there;  // start, resume: members that the leader sees as well
};
// What the leader proposes.
struct Step {
    std::uint64_t release = 0, behind = 0;  // behind: the count of steps that it was made by
    Stage to = Stage::halted;
    std::size_t wave = 0;
    Micros now = 0;
    std::string reason;
    std::optional<Sum> base;
};

// The releases of the state that the log drives.
class Releases {
  public:
    // Empty: done; else why not.
    std::string apply(const Order& order);
    bool apply(const Step& step);  // false: it came too late, and nothing was changed
    // A member gave its turn back.
    void returned(std::uint64_t release, const std::string& member, const Runs& runs);
    const Release* active() const { return active_ ? &*active_ : nullptr; }
    const std::vector<Release>& past() const { return past_; }
    bool operator==(const Releases&) const = default;

  private:
    friend class State;
    std::string start(const Order& order);
    void enter(Stage stage, Micros now, const std::string& reason, const std::string& by);

    std::optional<Release> active_;
    std::vector<Release> past_;  // the newest last
    std::uint64_t last_ = 0;
};

std::string encode(const Order& order);
Order order_in(std::string_view command);  // throws std::runtime_error
std::string encode(const Step& step);
std::string encode(const Report& report);
Report report_in(std::string_view bytes);  // throws std::runtime_error

}  // namespace sumackeel::rollout
