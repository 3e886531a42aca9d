// The phases of one proxy's recovery from a power loss, as a state machine (docs/design/recovery.md). Pure:
// times are of a steady clock, in microseconds.
//
// Guarantees: each phase ends by its deadline, whatever arrives or does not; no phase waits for a member that
// is itself recovering; from `priming` on clients are accepted.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"

namespace sumackeel::recovery {

using base::Micros;

// The names on disk and in commands are those of name_of().
enum class Phase : std::uint8_t {
    reading,   // the persisted state is being read
    querying,  // other members are asked whether the cluster serves
    settling,  // none serves: waits for the endpoint list and a leader of the replicated log
    priming,   // caches are cold: fills are admitted within a budget
    serving,
};
const char* name_of(Phase phase);
// False, and `phase` as it was: there is no such phase.
bool phase_named(const std::string& name, Phase& phase);

struct PhaseOptions {
    Micros query = 2'000'000, settle = 5'000'000, prime = 60'000'000;  // how long each phase may take
    Micros pause = 5'000'000;  // without a tick for longer, this process was paused
    bool elects = false;       // there is a replicated log, whose leader is waited for
};

// What another member replied.
struct MemberReport {
    std::string from;
    Phase phase = Phase::reading;
    bool serving_fleet = false;     // it serves, and reaches most of the members that were there before
    bool purges_confirmed = false;  // its endpoint list was confirmed lately, so it has sent all purges
};

constexpr std::size_t kMaxReports = 4'096;
constexpr Micros kReadTimeout = 2'000'000;
constexpr Micros kQuietPeriod = 3'000'000;  // nothing rejected for so long ends `priming`

class RecoveryPhases {
  public:
    RecoveryPhases(const PhaseOptions& options, Micros now);

    // --- Events, each given when it happens ---

    // The persisted state was read; how many members there were, this one included.
    void on_state_read(Micros now, std::size_t members_before);
    void on_report(Micros now, const MemberReport& report);
    // How many members are reachable, this one included.
    void on_member_count(Micros now, std::size_t members_back);
    // Service discovery confirmed the endpoint list.
    void on_endpoints_confirmed(Micros now);
    void on_leader_known(Micros now, bool known);
    void on_rejected(Micros now) { last_rejected_at_ = now; }
    // By an operator's command; `by` is kept on record.
    void advance_to(Micros now, Phase phase, const std::string& by);
    // At least every half second: a longer gap is taken for a pause of this process.
    void tick(Micros now);

    // --- State ---

    Phase phase() const { return phase_; }
    Micros since() const { return since_; }
    Micros deadline() const;        // of this phase; the far future while serving
    std::string waits_for() const;  // in words, for operators; empty: nothing
    bool ready() const { return phase_ >= Phase::priming || was_paused_; }
    bool purges_confirmed() const { return purges_confirmed_; }
    // A member of a serving cluster has replied since the last `querying` began.
    bool found_serving_fleet() const { return found_serving_fleet_; }
    // No member of a serving cluster replied when this process asked: the power was lost everywhere.
    bool whole_cluster_was_down() const { return whole_cluster_was_down_; }
    // What this member reports: it serves, and `members_back` is most of those before.
    bool serving_fleet(std::size_t members_back) const;
    std::size_t members_before() const { return members_before_; }
    std::size_t members_back() const { return members_back_; }
    // Of the last transition, for operators.
    const std::string& reason() const { return reason_; }
    const std::string& by() const { return by_; }  // of the last operator's command; empty: none
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
    std::set<std::string> recovering_members_;  // they replied that they are recovering
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
