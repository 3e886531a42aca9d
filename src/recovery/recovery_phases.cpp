#include "recovery/recovery_phases.h"

#include <array>
#include <limits>

namespace sumackeel::recovery {

namespace {

constexpr std::array<const char*, 5> kNames{"reading", "asking", "settling", "priming", "serving"};

}  // namespace

const char* name_of(Phase stage) {
    return kNames[static_cast<std::size_t>(stage)];
}

bool phase_named(const std::string& name, Phase& stage) {
    for (std::size_t i = 0; i < kNames.size(); ++i) {
        if (name != kNames[i]) continue;
        stage = static_cast<Phase>(i);
        return true;
    }
    return false;
}

RecoveryPhases::RecoveryPhases(const PhaseOptions& options, Micros now)
    : options_(options), since_(now), ticked_(now) {}

void RecoveryPhases::enter(Phase stage, Micros now, std::string reason) {
    phase_ = stage, since_ = now, reason_ = std::move(reason);
    if (stage == Phase::asking) recovering_.clear(), living_ = false;
    if (stage == Phase::priming) turned_away_ = now;
    if (stage >= Phase::priming) paused_ = false;
}

Micros RecoveryPhases::deadline() const {
    switch (phase_) {
        case Phase::reading:
            return since_ + kReadTimeout;
        case Phase::asking:
            return since_ + options_.ask;
        case Phase::settling:
            return since_ + options_.settle;
        case Phase::priming:
            return since_ + options_.prime;
        case Phase::serving:
            break;
    }
    return std::numeric_limits<Micros>::max();
}

std::string RecoveryPhases::waits_for() const {
    switch (phase_) {
        case Phase::reading:
            return "its own files";
        case Phase::asking:
            return "an answer of a member that serves";
        case Phase::settling: {
            std::string text;
            const auto add = [&](bool wanted, const std::string& what) {
                if (wanted) text += (text.empty() ? "" : ", ") + what;
            };

            add(!listed_, "the list of pop caches");
            add(options_.elects && !led_, "a leader of the agreed log");
            return text;
        }
        case Phase::priming:
            return "the budget's end, or nothing turned away";
        case Phase::serving:
            break;
    }
    return {};
}

// A pause of one's own is the whole fleet's absence too: it is living only with most of it there.
bool RecoveryPhases::serving_fleet(std::size_t back) const {
    return phase_ == Phase::serving && most(back);
}

void RecoveryPhases::on_state_read(Micros now, std::size_t before) {
    before_ = std::max<std::size_t>(1, before);
    if (phase_ == Phase::reading) enter(Phase::asking, now, "files read");
}

void RecoveryPhases::on_report(Micros now, const MemberReport& heard) {
    if (heard.purges_confirmed && heard.phase == Phase::serving) sure_ = true;
    living_ = living_ || heard.serving_fleet;
    if (!heard.serving_fleet && heard.phase != Phase::serving && recovering_.size() < kMaxReports)
        recovering_.insert(heard.from);
    look(now);
}

void RecoveryPhases::on_member_count(Micros now, std::size_t back) {
    back_ = std::max<std::size_t>(1, back);
    before_ = std::max(before_, back_);
    look(now);
}

void RecoveryPhases::on_endpoints_confirmed(Micros now) {
    listed_ = sure_ = true;
    look(now);
}

void RecoveryPhases::on_leader_known(Micros now, bool leader) {
    led_ = leader;
    look(now);
}

void RecoveryPhases::advance_to(Micros now, Phase stage, const std::string& by) {
    by_ = by;
    enter(stage, now, "by hand of " + by);
}

void RecoveryPhases::tick(Micros now) {
    const Micros silent = now - ticked_;
    ticked_ = now;
    if (silent > options_.pause && phase_ == Phase::serving) {
        ++pauses_;
        listed_ = sure_ = false;
        paused_ = true;
        enter(Phase::asking, now, "paused for " + std::to_string(silent / 1'000) + " ms");
    }
    look(now);
}

void RecoveryPhases::look(Micros now) {
    const bool late = now >= deadline();
    switch (phase_) {
        case Phase::reading:
            if (late) enter(Phase::asking, now, "went on without its files");
            break;
        case Phase::asking:
            if (living_) return enter(Phase::serving, now, "the fleet lives");
            // All others that were there are on the ladder too: nobody is left who could say more.
            if (recovering_.size() + 1 >= before_ && before_ > 1)
                return enter(Phase::settling, now, "all are on the ladder");
            if (late) enter(Phase::settling, now, "nobody serves");
            break;
        case Phase::settling:
            if (living_) return enter(Phase::serving, now, "the fleet lives");
            if (waits_for().empty()) return enter(Phase::priming, now, "the list and the bans are known");
            if (late) enter(Phase::priming, now, "went on without " + waits_for());
            break;
        case Phase::priming:
            if (late || now - turned_away_ >= kQuietPeriod)
                enter(Phase::serving, now, late ? "primed" : "nothing was turned away");
            break;
        case Phase::serving:
            break;
    }
}

}  // namespace sumackeel::recovery
