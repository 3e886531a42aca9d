// The way back of one proxy, as a ladder of stages (docs/design/recovery.md). Pure: times are of a clock that
// only runs on, microseconds.
//
// Promises: each stage ends by its latest moment, whatever comes or does not come; no stage waits for a
// member that is itself on the ladder; from `priming` on clients are welcome.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"

namespace sumackeel::recovery {

using base::Micros;

enum class Phase : std::uint8_t { reading, asking, settling, priming, serving };
const char* name_of(Phase stage);
// False: there is no such stage.
bool phase_named(const std::string& name, Phase& stage);

struct PhaseOptions {
    Micros ask = 2'000'000, settle = 5'000'000, prime = 60'000'000;  // latest: at the end of each stage
    Micros pause = 5'000'000;                                        // own silence that counts as a pause
    bool elects = false;  // there is an agreed log, whose leader is waited for
};

// What another member answered.
struct MemberReport {
    std::string from;
    Phase phase = Phase::reading;
    bool serving_fleet = false;     // it serves, with most of the fleet round it
    bool purges_confirmed = false;  // its list was confirmed lately, so the purges it told are all there are
};

constexpr std::size_t kMaxReports = 4'096;
constexpr Micros kReadTimeout = 2'000'000;
constexpr Micros kQuietPeriod =
    3'000'000;  // of priming: nothing turned away for so long, and the rest is not needed

class RecoveryPhases {
  public:
    RecoveryPhases(const PhaseOptions& options, Micros now);

    // Events, each told when it happened.
    void on_state_read(Micros now,
                       std::size_t before);  // the own files; how many members were there, this one too
    void on_report(Micros now, const MemberReport& heard);
    void on_member_count(Micros now, std::size_t back);  // members that are there, this one too
    void on_endpoints_confirmed(Micros now);             // a change log confirmed the list of pop caches
    void on_leader_known(Micros now, bool leader);
    void on_rejected(Micros now) { turned_away_ = now; }
    // An operator's hand: on to that stage, kept on record.
    void advance_to(Micros now, Phase stage, const std::string& by);
    // Told at least each half second; a longer silence is a pause of this process.
    void tick(Micros now);

    Phase phase() const { return phase_; }
    Micros since() const { return since_; }
    Micros deadline() const;        // when this stage ends by time; the far future while serving
    std::string waits_for() const;  // in words; empty: nothing
    bool ready() const { return phase_ >= Phase::priming || paused_; }
    bool purges_confirmed() const { return sure_; }  // purges are surely known
    bool found_serving_fleet() const {
        return living_;
    }  // a member of a living fleet has answered since the last `asking`
    bool serving_fleet(std::size_t back) const;  // as it tells others
    std::size_t members_before() const { return before_; }
    std::size_t members_back() const { return back_; }
    // Why it is where it is: the last step in words.
    const std::string& reason() const { return reason_; }
    const std::string& by() const { return by_; }  // the last operator's hand; empty: none
    std::uint64_t pauses() const { return pauses_; }

  private:
    void enter(Phase stage, Micros now, std::string reason);
    void look(Micros now);
    bool most(std::size_t back) const { return 2 * back > before_; }

    PhaseOptions options_;
    Phase phase_ = Phase::reading;
    Micros since_ = 0, ticked_ = 0, turned_away_ = 0;
    std::size_t before_ = 1, back_ = 1;
    std::set<std::string> recovering_;  // answered, and is on the ladder
    bool sure_ = false, listed_ = false, led_ = false, living_ = false, paused_ = false;
    std::string reason_ = "started", by_;
    std::uint64_t pauses_ = 0;
};

}  // namespace sumackeel::recovery
