// Staged releases: the state machine of a release in the replicated log. Pure: each command contains all
// inputs of its evaluation.
//
// Invariants: at most one release is active; a step applies only directly after the step that it names; a
// halted release changes only by an operator's command; each release ends as done or rolled back.
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

constexpr std::size_t kMaxPastReleases = 16;     // finished releases that are retained
constexpr std::size_t kMaxReasonLength = 1'024;  // bytes

enum class ReleaseStage : std::uint8_t { changing, soaking, rolling_back, halted, done, rolled_back };
// The name shown to operators.
const char* name_of(ReleaseStage stage);

struct Release {
    std::uint64_t number = 0;  // increases with each release
    std::uint64_t steps = 0;   // taken so far; the next step must name this count
    Plan plan;
    ReleaseStage stage = ReleaseStage::changing;
    ReleaseStage halted_stage = ReleaseStage::changing;  // while halted: the stage to resume
    std::size_t wave = 0;                                // index of the current wave, from 0
    Micros since = 0;                                    // start of this stage, by the leader's clock
    std::string reason;                                  // for the last step
    std::string by;                                      // requester of the last step; empty: the leader
    std::optional<MetricsSum> baseline;  // metrics of the unchanged members at the last passed gate
    // Versions reported with the return of an upgrade lease; may be newer than the gossip state.
    std::map<std::string, RunningVersion> reported_versions;
    std::vector<std::string> skipped_members;  // lost members that an operator resumed the release without

    bool is_finished() const { return stage == ReleaseStage::done || stage == ReleaseStage::rolled_back; }
    bool grants_leases() const {
        return stage == ReleaseStage::changing || stage == ReleaseStage::rolling_back;
    }
    // The version that members currently change to.
    const std::string& target_version() const {
        const ReleaseStage effective = stage == ReleaseStage::halted ? halted_stage : stage;
        return effective == ReleaseStage::rolling_back ? plan.from : plan.to;
    }
    // Whether the plan includes the member.
    bool contains(const std::string& member) const;
    // Why `member` may not get an upgrade lease in this stage and wave; empty: it may.
    std::string lease_rejection(const std::string& member) const;
    bool operator==(const Release&) const = default;
};

enum class ReleaseAction : std::uint8_t { start, halt, resume, roll_back };
// The name used in operator commands.
const char* name_of(ReleaseAction action);

// An operator's command.
struct ReleaseCommand {
    ReleaseAction action = ReleaseAction::halt;
    std::string requested_by;
    Micros now = 0;                         // Unix time by the leader's clock
    Plan plan;                              // start only
    std::vector<std::string> live_members;  // start, resume: members that the leader sees alive
};

// A state transition proposed by the leader.
struct ReleaseStep {
    std::uint64_t release = 0;         // release number
    std::uint64_t expected_steps = 0;  // Release::steps at the time of the leader's decision
    ReleaseStage to = ReleaseStage::halted;
    std::size_t wave = 0;
    Micros now = 0;  // Unix time by the leader's clock
    std::string reason;
    std::optional<MetricsSum> baseline;  // replaces Release::baseline if set
};

// The active release and the finished ones.
class Releases {
  public:
    // Returns the reason for a rejection; empty: accepted (also if nothing changes).
    std::string apply(const ReleaseCommand& command);
    // False: the step is out of date, and nothing has changed.
    bool apply(const ReleaseStep& step);
    // Records the version that a member runs after its upgrade lease for release number `release`.
    void on_lease_returned(std::uint64_t release, const std::string& member, const RunningVersion& running);
    // Null if none is active. Valid until the next change.
    const Release* active() const { return active_ ? &*active_ : nullptr; }
    // Oldest first.
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
