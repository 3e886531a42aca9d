// Staged releases: the state machine that a plan drives in the replicated log. Pure: all that a command is
// judged by is in the command.
//
// Invariants: one release is active at a time; a step counts only directly behind the one that it names; a
// halted release takes no step but an operator's command; each release ends as done or rolled back.
//
//     changing -> soaking -> changing (next wave) -> ... -> done
//     changing, soaking, rolling_back -> halted -> the stage before (resume)
//     changing, soaking, halted -> rolling_back -> rolled_back
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/member.h"
#include "rollout/member_metrics.h"
#include "rollout/release_plan.h"

namespace sumackeel::rollout {

constexpr std::size_t kMaxPastReleases = 16;     // finished releases that are kept
constexpr std::size_t kMaxReasonLength = 1'024;  // bytes

enum class ReleaseStage : std::uint8_t { changing, soaking, rolling_back, halted, done, rolled_back };
// The name that operators read.
const char* name_of(ReleaseStage stage);

struct Release {
    std::uint64_t number = 0;  // grows with each release
    std::uint64_t steps = 0;   // taken so far; the next step has to name this count
    Plan plan;
    ReleaseStage stage = ReleaseStage::changing;
    ReleaseStage halted_stage = ReleaseStage::changing;  // while halted: the stage to resume
    std::size_t wave = 0;                                // the current one, from 0
    Micros since = 0;                                    // start of this stage, by the leader's clock
    std::string reason;                                  // of the last step
    std::string by;                                      // who took the last step; empty: the leader
    std::optional<MetricsSum> baseline;                  // the unchanged members at the last passed gate
    // What members reported when they returned an upgrade lease: newer than what gossip may still say.
    std::map<std::string, RunningVersion> reported_versions;
    std::vector<std::string> skipped_members;  // lost when an operator resumed the release without them

    bool is_finished() const { return stage == ReleaseStage::done || stage == ReleaseStage::rolled_back; }
    bool grants_leases() const {
        return stage == ReleaseStage::changing || stage == ReleaseStage::rolling_back;
    }
    // The version that a member changes to now.
    const std::string& target_version() const {
        const ReleaseStage effective = stage == ReleaseStage::halted ? halted_stage : stage;
        return effective == ReleaseStage::rolling_back ? plan.from : plan.to;
    }
    // Whether the plan names the member.
    bool contains(const std::string& member) const;
    // Why `member` gets no upgrade lease in this stage and wave; empty: it may have one.
    std::string lease_rejection(const std::string& member) const;
    bool operator==(const Release&) const = default;
};

enum class ReleaseAction : std::uint8_t { start, halt, resume, roll_back };
// The name that operators use.
const char* name_of(ReleaseAction action);

// An operator's command.
struct ReleaseCommand {
    ReleaseAction action = ReleaseAction::halt;
    std::string requested_by;
    Micros now = 0;                         // Unix time by the leader's clock
    Plan plan;                              // of a start
    std::vector<std::string> live_members;  // start, resume: those that the leader sees alive
};

// A transition that the leader proposes.
struct ReleaseStep {
    std::uint64_t release = 0;         // its number
    std::uint64_t expected_steps = 0;  // Release::steps that the leader judged by
    ReleaseStage to = ReleaseStage::halted;
    std::size_t wave = 0;
    Micros now = 0;  // Unix time by the leader's clock
    std::string reason;
    std::optional<MetricsSum> baseline;  // replaces the release's
};

// The active release and the finished ones.
class Releases {
  public:
    // Empty: accepted (also when it changes nothing); else why not.
    std::string apply(const ReleaseCommand& command);
    // False: the step came too late, and nothing has changed.
    bool apply(const ReleaseStep& step);
    // Records what a member runs after its upgrade lease of release number `release`.
    void on_lease_returned(std::uint64_t release, const std::string& member, const RunningVersion& running);
    // Null: none is active. Valid until the next change.
    const Release* active() const { return active_ ? &*active_ : nullptr; }
    // The newest last.
    const std::vector<Release>& past() const { return past_; }
    bool operator==(const Releases&) const = default;

  private:
    friend class State;  // encodes and decodes all fields

    std::string on_start(const ReleaseCommand& command);
    std::string on_halt(const ReleaseCommand& command);
    std::string on_resume(const ReleaseCommand& command);
    std::string on_roll_back(const ReleaseCommand& command);
    void enter(ReleaseStage stage, Micros now, const std::string& reason, const std::string& by);

    std::optional<Release> active_;
    std::vector<Release> past_;
    std::uint64_t last_number_ = 0;
};

}  // namespace sumackeel::rollout
