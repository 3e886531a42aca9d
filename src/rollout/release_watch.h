// The leader's observations of a release, from which it derives the next step. Pure: takes reports and member
// states and returns a step. Not replicated: a new leader starts empty and restarts the soak.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/release.h"

namespace sumackeel::rollout {

// One proxy, as seen in the leader's view of the cluster membership.
struct MemberStatus {
    std::string name;
    std::string version;
    std::uint64_t start = 0;  // see RunningVersion::start
    bool alive = false;
    bool gone = false;     // dead or left
    bool leased = false;   // holds a lease of any kind
    bool serving = false;  // alive, and neither leased nor draining
};

class ReleaseWatch {
  public:
    // Records a member's report; the newest report of each member is kept while a release is active.
    void on_report(const MemberReport& report, Micros now);
    // Records a granted lease, including one that ends before the next call of next_step(). `start`: the
    // start number of the holder at the time of the grant.
    void on_lease(const std::string& member, std::uint64_t start) { lease_starts_[member] = start; }
    // Returns the step that is due, if any. `members`: all proxies. `now`: monotonic time.
    std::optional<ReleaseStep> next_step(const Release& release, const std::vector<MemberStatus>& members,
                                         Micros now);
    // Sums over the current soak, for status pages: of the current wave, and of the unchanged members.
    const MetricsSum& changed() const { return changed_; }
    const MetricsSum& others() const { return unchanged_; }

  private:
    struct Observation {
        MemberReport first;  // of the current process, since this stage began
        MemberReport last;
        Micros reported_at = 0;
    };
    // Members of the plan that are not in the state that the stage requires.
    struct Deviations {
        std::vector<std::string> lost;
        std::vector<std::string> unchanged;  // present, but not serving with the target version
    };

    void begin_stage(const Release& release, Micros now);
    std::string find_unexpected_restart(const Release& release, const std::vector<MemberStatus>& members);
    void sum_metrics(const Release& release, const std::vector<MemberStatus>& members);
    std::string find_silent_member(const Release& release, Micros now) const;
    static Deviations find_deviations(const Release& release, const std::vector<MemberStatus>& members);

    std::optional<ReleaseStep> on_rolling_back(const Release& release, const Deviations& deviations,
                                               Micros now) const;
    std::optional<ReleaseStep> on_changing(const Release& release, const Deviations& deviations,
                                           Micros now) const;
    std::optional<ReleaseStep> on_soaking(const Release& release, const std::vector<MemberStatus>& members,
                                          Micros now);

    std::uint64_t release_number_ = 0;
    std::uint64_t release_steps_ = 0;
    Micros stage_began_ = 0;
    Micros last_call_ = 0;
    std::map<std::string, Observation> observations_;
    std::map<std::string, std::uint64_t> starts_;        // the highest known start number of each member
    std::map<std::string, std::uint64_t> lease_starts_;  // the start number of the last lease's holder
    MetricsSum changed_;
    MetricsSum unchanged_;
    std::map<std::string, MetricsSum> by_changed_member_;
};

}  // namespace sumackeel::rollout
