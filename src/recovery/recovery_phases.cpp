#include "recovery/recovery_phases.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace sumackeel::recovery {

namespace {

constexpr std::array<const char*, 5> kPhaseNames{"reading", "asking", "settling", "priming", "serving"};

}  // namespace

const char* name_of(Phase phase) {
    return kPhaseNames[static_cast<std::size_t>(phase)];
}

bool parse_phase(const std::string& name, Phase& phase) {
    const auto found = std::find(kPhaseNames.begin(), kPhaseNames.end(), name);
    if (found == kPhaseNames.end()) return false;
    phase = static_cast<Phase>(found - kPhaseNames.begin());
    return true;
}

RecoveryPhases::RecoveryPhases(const PhaseOptions& options, Micros now)
    : options_(options), since_(now), last_tick_at_(now) {}

// --- Events ---

void RecoveryPhases::on_state_read(Micros now, std::size_t members_before) {
    members_before_ = std::max<std::size_t>(1, members_before);
    if (phase_ == Phase::reading) enter(Phase::querying, now, "files read");
}

void RecoveryPhases::on_report(Micros now, const MemberReport& report) {
    const bool serves = report.phase == Phase::serving;
    if (report.purges_confirmed && serves) purges_confirmed_ = true;
    if (report.serving_fleet) found_serving_fleet_ = true;
    if (!report.serving_fleet && !serves && recovering_members_.size() < kMaxReports)
        recovering_members_.insert(report.from);
    advance(now);
}

void RecoveryPhases::on_member_count(Micros now, std::size_t members_back) {
    members_back_ = std::max<std::size_t>(1, members_back);
    members_before_ = std::max(members_before_, members_back_);
    advance(now);
}

void RecoveryPhases::on_endpoints_confirmed(Micros now) {
    endpoints_confirmed_ = true;
    purges_confirmed_ = true;
    advance(now);
}

void RecoveryPhases::on_leader_known(Micros now, bool known) {
    leader_known_ = known;
    advance(now);
}

void RecoveryPhases::advance_to(Micros now, Phase phase, const std::string& by) {
    by_ = by;
    enter(phase, now, "by hand of " + by);
}

void RecoveryPhases::tick(Micros now) {
    const Micros gap = now - last_tick_at_;
    last_tick_at_ = now;
    if (gap > options_.pause_threshold && phase_ == Phase::serving) {
        ++pauses_;
        endpoints_confirmed_ = false;
        purges_confirmed_ = false;
        was_paused_ = true;
        enter(Phase::querying, now, "paused for " + std::to_string(gap / 1'000) + " ms");
    }
    advance(now);
}

// --- Transitions ---

void RecoveryPhases::enter(Phase phase, Micros now, std::string reason) {
    phase_ = phase;
    since_ = now;
    reason_ = std::move(reason);
    if (phase == Phase::querying) {
        recovering_members_.clear();
        found_serving_fleet_ = false;
    }
    if (phase == Phase::settling) whole_cluster_was_down_ = true;
    if (phase == Phase::priming) last_rejected_at_ = now;
    if (phase >= Phase::priming) was_paused_ = false;
}

// At most one transition per event.
void RecoveryPhases::advance(Micros now) {
    switch (phase_) {
        case Phase::reading:
            if (is_late(now)) enter(Phase::querying, now, "went on without its files");
            break;
        case Phase::querying:
            advance_from_querying(now);
            break;
        case Phase::settling:
            advance_from_settling(now);
            break;
        case Phase::priming:
            advance_from_priming(now);
            break;
        case Phase::serving:
            break;
    }
}

void RecoveryPhases::advance_from_querying(Micros now) {
    if (found_serving_fleet_) return enter(Phase::serving, now, "the fleet lives");
    // All other previous members are recovering too, so no member can be serving.
    if (recovering_members_.size() + 1 >= members_before_ && members_before_ > 1)
        return enter(Phase::settling, now, "all are on the ladder");
    if (is_late(now)) enter(Phase::settling, now, "nobody serves");
}

void RecoveryPhases::advance_from_settling(Micros now) {
    if (found_serving_fleet_) return enter(Phase::serving, now, "the fleet lives");
    const std::string missing = waits_for();
    if (missing.empty()) return enter(Phase::priming, now, "the list and the bans are known");
    if (is_late(now)) enter(Phase::priming, now, "went on without " + missing);
}

void RecoveryPhases::advance_from_priming(Micros now) {
    const bool late = is_late(now);
    if (late || now - last_rejected_at_ >= kQuietPeriod)
        enter(Phase::serving, now, late ? "primed" : "nothing was turned away");
}

// --- State ---

Micros RecoveryPhases::deadline() const {
    switch (phase_) {
        case Phase::reading:
            return since_ + kReadTimeout;
        case Phase::querying:
            return since_ + options_.query_timeout;
        case Phase::settling:
            return since_ + options_.settle_timeout;
        case Phase::priming:
            return since_ + options_.prime_timeout;
        case Phase::serving:
            break;
    }
    return std::numeric_limits<Micros>::max();
}

std::string RecoveryPhases::waits_for() const {
    switch (phase_) {
        case Phase::reading:
            return "its own files";
        case Phase::querying:
            return "an answer of a member that serves";
        case Phase::settling: {
            std::string missing;
            if (!endpoints_confirmed_) missing = "the list of pop caches";
            if (options_.wait_for_leader && !leader_known_)
                missing += std::string(missing.empty() ? "" : ", ") + "a leader of the agreed log";
            return missing;
        }
        case Phase::priming:
            return "the budget's end, or nothing turned away";
        case Phase::serving:
            break;
    }
    return {};
}

// The majority condition also covers a pause of this process alone: while it does not reach the others, it
// must not report that the cluster serves.
bool RecoveryPhases::serving_fleet(std::size_t members_back) const {
    return phase_ == Phase::serving && 2 * members_back > members_before_;
}

}  // namespace sumackeel::recovery
