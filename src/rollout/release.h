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

constexpr std::size_t kMaxReleaseMembers = 4'096;  // members of a plan
constexpr std::size_t kMaxPastReleases = 16;       // releases that ended, remembered
constexpr std::size_t kMaxReasonLength = 1'024;

// What one process did since its start; answers by how long the client waited, bucket i up to 2^i ms.
constexpr std::size_t kLatencyBuckets = 16;
struct MemberMetrics {
    std::uint64_t served = 0, rejected = 0, failed = 0;              // failed: out of time as well
    std::array<std::uint64_t, kLatencyBuckets> latency_histogram{};  // of those served
    std::uint64_t dispatch_time_us = 0,
                  dispatched = 0;  // from a request to its first attempt, summed; of how many
    std::uint64_t memory_kb = 0;   // now, resident
    std::uint64_t requests() const { return served + rejected + failed; }
    bool operator==(const MemberMetrics&) const = default;
};
// A member's word on itself, to whoever leads.
struct MemberReport {
    std::string member, version;
    std::uint64_t start = 0;
    MemberMetrics metrics;
};

// What is added up over members and a span of time, for a gate.
struct MetricsSum {
    std::uint64_t requests = 0, in_time = 0, rejected = 0, failed = 0, dispatch_time_us = 0, dispatched = 0;
    std::uint64_t memory_kb = 0, members = 0;
    MetricsSum& operator+=(const MetricsSum& other);
    bool operator==(const MetricsSum&) const = default;
};

// How much worse the changed may be than the others. Shares are differences, the rest factors.
struct GateThresholds {
    Micros in_time = 1'024'000;  // an answer within this is in time; taken up to the next power of two ms
    double max_late_increase = 0.02, max_failure_increase = 0.01, max_rejection_increase = 0.02;
    double max_dispatch_time_ratio = 2, max_memory_ratio = 1.5;
    std::uint64_t min_requests = 200;  // requests that a verdict needs, on each side
    bool operator==(const GateThresholds&) const = default;
};

struct Plan {
    std::string name, subject = "program";  // what: program, settings or fleet; a word for people
    std::string from, to;                   // versions, as members say that they run them
    std::vector<std::string> members;       // in order
    std::vector<std::size_t> waves;         // how many in each; they add up to all
    Micros soak = 60'000'000, wave_timeout = 900'000'000;  // patience: for one wave to be changed
    GateThresholds gate;
    // Members up to and with this wave.
    std::size_t members_through(std::size_t wave) const;
    bool operator==(const Plan&) const = default;
};
// What a proxy runs, by its own word; start 0: not known.
struct RunningVersion {
    std::uint64_t start = 0;
    std::string version;
    bool operator==(const RunningVersion&) const = default;
};
// Of a plan's TOML text; `all`: every proxy there is, for a plan without a list of its own. Throws
// ConfigError naming line and column.
Plan parse_plan(const std::string& text, const std::string& file, const std::vector<std::string>& all);

enum class ReleaseStage : std::uint8_t { changing, soaking, rolling_back, halted, done, rolled_back };
const char* name_of(ReleaseStage stage);

struct Release {
    std::uint64_t number = 0, steps = 0;  // steps: taken so far, the fence of the next
    Plan plan;
    ReleaseStage stage = ReleaseStage::changing,
                 halted_stage = ReleaseStage::changing;  // held: what was halted
    std::size_t wave = 0;
    Micros since = 0;                    // in this stage, the leader's clock
    std::string reason, by;              // of the last step; by whom
    std::optional<MetricsSum> baseline;  // those not changed, at the last gate passed
    // What members said that they run when they gave a turn back: fresher than what goes round in the group.
    std::map<std::string, RunningVersion> reported_versions;
    std::vector<std::string> skipped_members;  // of the plan; lost when an operator let it go on all the same
    bool is_finished() const { return stage == ReleaseStage::done || stage == ReleaseStage::rolled_back; }
    bool grants_leases() const {
        return stage == ReleaseStage::changing || stage == ReleaseStage::rolling_back;
    }
    // What a member is to run that has its turn now.
    const std::string& target_version() const {
        return (stage == ReleaseStage::halted ? halted_stage : stage) == ReleaseStage::rolling_back
                   ? plan.from
                   : plan.to;
    }
    bool contains(const std::string& member) const;
    // Empty: it is `member`'s turn by stage and wave; else why not.
    std::string lease_rejection(const std::string& member) const;
    bool operator==(const Release&) const = default;
};

// What operators say.
enum class ReleaseAction : std::uint8_t { start, halt, resume, roll_back };
const char* name_of(ReleaseAction verb);
struct ReleaseCommand {
    ReleaseAction action = ReleaseAction::halt;
    std::string requested_by;
    Micros now = 0;
    Plan plan;                              // start
    std::vector<std::string> live_members;  // start, resume: members that the leader sees as well
};
// What the leader proposes.
struct ReleaseStep {
    std::uint64_t release = 0, expected_steps = 0;  // behind: the count of steps that it was made by
    ReleaseStage to = ReleaseStage::halted;
    std::size_t wave = 0;
    Micros now = 0;
    std::string reason;
    std::optional<MetricsSum> baseline;
};

// The releases of the state that the log drives.
class Releases {
  public:
    // Empty: done; else why not.
    std::string apply(const ReleaseCommand& order);
    bool apply(const ReleaseStep& step);  // false: it came too late, and nothing was changed
    // A member gave its turn back.
    void on_lease_returned(std::uint64_t release, const std::string& member, const RunningVersion& runs);
    const Release* active() const { return active_ ? &*active_ : nullptr; }
    const std::vector<Release>& past() const { return past_; }
    bool operator==(const Releases&) const = default;

  private:
    friend class State;
    std::string start(const ReleaseCommand& order);
    void enter(ReleaseStage stage, Micros now, const std::string& reason, const std::string& by);

    std::optional<Release> active_;
    std::vector<Release> past_;  // the newest last
    std::uint64_t last_ = 0;
};

std::string encode(const ReleaseCommand& order);
ReleaseCommand decode_release_command(std::string_view command);  // throws std::runtime_error
std::string encode(const ReleaseStep& step);
std::string encode(const MemberReport& report);
MemberReport decode_member_report(std::string_view bytes);  // throws std::runtime_error

}  // namespace sumackeel::rollout
