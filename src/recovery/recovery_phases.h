// State machine of one proxy's recovery from a power loss (docs/design/recovery.md). Pure; times are
// microseconds of a steady clock.
//
// Guarantees: each phase ends by its deadline, regardless of which events arrive; no phase waits for a member
// that is itself recovering; clients are accepted from `priming` on.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"

namespace sumackeel::recovery {

using base::Micros;

// Persisted state and commands use the names returned by name_of().
enum class Phase : std::uint8_t {
    reading,   // the persisted state is being read
    querying,  // polling other members: does the cluster serve?
    settling,  // the cluster does not serve: waiting for the endpoint list and a leader of the replicated log
    priming,   // caches are cold: fills are limited by a budget
    serving,
};
const char* name_of(Phase phase);
// Returns false and leaves `phase` unchanged if there is no such phase.
bool parse_phase(const std::string& name, Phase& phase);

struct PhaseOptions {
    Micros query_timeout = 2'000'000, settle_timeout = 5'000'000, prime_timeout = 60'000'000;
    Micros pause_threshold = 5'000'000;  // a longer gap between ticks means that this process was paused
    bool wait_for_leader = false;        // there is a replicated log, so `settling` waits for its leader
};

// The recovery reply of another member.
struct MemberReport {
    std::string from;
    Phase phase = Phase::reading;
    bool serving_fleet = false;     // it serves and reaches a majority of the previous members
    bool purges_confirmed = false;  // its endpoint list was confirmed recently: its reply has all purges
};

constexpr std::size_t kMaxReports = 4'096;
constexpr Micros kReadTimeout = 2'000'000;
constexpr Micros kQuietPeriod = 3'000'000;  // `priming` ends after this long without a rejected request

class RecoveryPhases {
  public:
    RecoveryPhases(const PhaseOptions& options, Micros now);

    // --- Events ---

    // The persisted state was read. `members_before`: the previous number of members, including this one.
    void on_state_read(Micros now, std::size_t members_before);
    void on_report(Micros now, const MemberReport& report);
    // `members_back`: the number of reachable members, including this one.
    void on_member_count(Micros now, std::size_t members_back);
    // Service discovery confirmed the endpoint list.
    void on_endpoints_confirmed(Micros now);
    void on_leader_known(Micros now, bool known);
    void on_rejected(Micros now) { last_rejected_at_ = now; }
    // Operator command; `by` is recorded.
    void advance_to(Micros now, Phase phase, const std::string& by);
    // Must be called at least every 0.5 s: a gap above pause_threshold counts as a pause of this process.
    void tick(Micros now);

    // --- State ---

    Phase phase() const { return phase_; }
    Micros since() const { return since_; }
    Micros deadline() const;        // of this phase; the maximum value while serving
    std::string waits_for() const;  // text for operators; empty: nothing
    bool ready() const { return phase_ >= Phase::priming || was_paused_; }
    bool purges_confirmed() const { return purges_confirmed_; }
    // Whether a member of a serving cluster has replied since `querying` was last entered.
    bool found_serving_fleet() const { return found_serving_fleet_; }
    // Whether `settling` was entered because no member of a serving cluster replied: all lost power.
    bool whole_cluster_was_down() const { return whole_cluster_was_down_; }
    // Reported to others: this member serves, and `members_back` is a majority of the previous members.
    bool serving_fleet(std::size_t members_back) const;
    std::size_t members_before() const { return members_before_; }
    std::size_t members_back() const { return members_back_; }
    // The reason for the last transition, for operators.
    const std::string& reason() const { return reason_; }
    const std::string& by() const { return by_; }  // requester of the last operator command; empty: none
    std::uint64_t pauses() const { return pauses_; }

  private:
    void enter(Phase phase, Micros now, std::string reason);
    void advance(Micros now);
    void advance_from_querying(Micros now);
    void advance_from_settling(Micros now);
    void advance_from_priming(Micros now);
    bool is_late(Micros now) const { return now >= deadline(); }

    PhaseOptions options_;
    Phase phase_ = Phase::reading;
    Micros since_ = 0;
    Micros last_tick_at_ = 0;
    Micros last_rejected_at_ = 0;
    std::size_t members_before_ = 1;
    std::size_t members_back_ = 1;
    std::set<std::string> recovering_members_;  // members that replied with a phase before `serving`
    bool purges_confirmed_ = false;
    bool endpoints_confirmed_ = false;
    bool leader_known_ = false;
    bool found_serving_fleet_ = false;
    bool was_paused_ = false;
    bool whole_cluster_was_down_ = false;
    std::string reason_ = "started";
    std::string by_;
    std::uint64_t pauses_ = 0;
};

}  // namespace sumackeel::recovery
