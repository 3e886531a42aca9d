// What the leader observes of a release, and the step that follows from it. Pure: reports and member states
// in, a step out. The leader alone keeps it: a new leader begins with nothing and measures the soak anew.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/release.h"

namespace sumackeel::rollout {

// One proxy as the cluster's membership shows it to the leader.
struct MemberStatus {
    std::string name;
    std::string version;
    std::uint64_t start = 0;  // as RunningVersion::start
    bool alive = false;
    bool gone = false;     // dead, or left
    bool leased = false;   // holds a lease of any kind
    bool serving = false;  // alive, and neither leased nor draining
};

class ReleaseWatch {
  public:
    // A member's own report; the newest of each is kept while a release is active.
    void on_report(const MemberReport& report, Micros now);
    // A lease that is out, also one that ends before the next call of next_step(). `start`: of its holder
    // when it got the lease.
    void on_lease(const std::string& member, std::uint64_t start) { lease_starts_[member] = start; }
    // The step that is due, if any. `members`: all proxies. `now`: monotonic.
    std::optional<ReleaseStep> next_step(const Release& release, const std::vector<MemberStatus>& members,
                                         Micros now);
    // Sums of the current soak, for status pages: of the wave, and of the unchanged members.
    const MetricsSum& changed() const { return changed_; }
    const MetricsSum& others() const { return unchanged_; }

  private:
    struct Observation {
        MemberReport first;  // of the process that runs now, since this stage began
        MemberReport last;
        Micros reported_at = 0;
    };
    // Members of the plan that are not as the stage wants them.
    struct Deviations {
        std::vector<std::string> lost;
        std::vector<std::string> unchanged;  // there, but not serving with the target version
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
    std::map<std::string, std::uint64_t> starts_;        // the newest known start of each member
    std::map<std::string, std::uint64_t> lease_starts_;  // the start of the last lease's holder
    MetricsSum changed_;
    MetricsSum unchanged_;
    std::map<std::string, MetricsSum> by_changed_member_;
};

}  // namespace sumackeel::rollout
