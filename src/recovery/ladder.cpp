#include "recovery/ladder.h"

#include <array>
#include <limits>

namespace sumackeel::recovery {

namespace {

constexpr std::array<const char*, 5> kNames{"reading", "asking", "settling", "priming", "serving"};

}  // namespace

const char* name_of(Stage stage) {
    return kNames[static_cast<std::size_t>(stage)];
}

bool stage_named(const std::string& name, Stage& stage) {
    for (std::size_t i = 0; i < kNames.size(); ++i) {
        if (name != kNames[i]) continue;
        stage = static_cast<Stage>(i);
        return true;
    }
    return false;
}

Ladder::Ladder(const Options& options, Micros now) : options_(options), since_(now), ticked_(now) {}

void Ladder::enter(Stage stage, Micros now, std::string reason) {
    stage_ = stage, since_ = now, reason_ = std::move(reason);
    if (stage == Stage::asking) recovering_.clear(), living_ = false;
    if (stage == Stage::priming) turned_away_ = now;
    if (stage >= Stage::priming) paused_ = false;
}

Micros Ladder::latest() const {
    switch (stage_) {
        case Stage::reading:
            return since_ + kReadWithin;
        case Stage::asking:
            return since_ + options_.ask;
        case Stage::settling:
            return since_ + options_.settle;
        case Stage::priming:
            return since_ + options_.prime;
        case Stage::serving:
            break;
    }
    return std::numeric_limits<Micros>::max();
}

std::string Ladder::waits_for() const {
    switch (stage_) {
        case Stage::reading:
            return "its own files";
        case Stage::asking:
            return "an answer of a member that serves";
        case Stage::settling: {
            std::string text;
            const auto add = [&](bool wanted, const std::string& what) {
                if (wanted) text += (text.empty() ? "" : ", ") + what;
            };

            add(!listed_, "the list of pop caches");
            add(options_.elects && !led_, "a leader of the agreed log");
            return text;
        }
        case Stage::priming:
            return "the budget's end, or nothing turned away";
        case Stage::serving:
            break;
    }
    return {};
}

// A pause of one's own is the whole fleet's absence too: it is living only with most of it there.
bool Ladder::living(std::size_t back) const {
    return stage_ == Stage::serving && most(back);
}

void Ladder::read(Micros now, std::size_t before) {
    before_ = std::max<std::size_t>(1, before);
    if (stage_ == Stage::reading) enter(Stage::asking, now, "files read");
}

void Ladder::answered(Micros now, const Heard& heard) {
    if (heard.sure && heard.stage == Stage::serving) sure_ = true;
    living_ = living_ || heard.living;
    if (!heard.living && heard.stage != Stage::serving && recovering_.size() < kMostHeard)
        recovering_.insert(heard.from);
    look(now);
}

void Ladder::counted(Micros now, std::size_t back) {
    back_ = std::max<std::size_t>(1, back);
    before_ = std::max(before_, back_);
    look(now);
}

void Ladder::listed(Micros now) {
    listed_ = sure_ = true;
    look(now);
}

void Ladder::led(Micros now, bool leader) {
    led_ = leader;
    look(now);
}

void Ladder::go(Micros now, Stage stage, const std::string& by) {
    by_ = by;
    enter(stage, now, "by hand of " + by);
}

void Ladder::tick(Micros now) {
    const Micros silent = now - ticked_;
    ticked_ = now;
    if (silent > options_.pause && stage_ == Stage::serving) {
        ++pauses_;
        listed_ = sure_ = false;
        paused_ = true;
        enter(Stage::asking, now, "paused for " + std::to_string(silent / 1'000) + " ms");
    }
    look(now);
}

void Ladder::look(Micros now) {
    const bool late = now >= latest();
    switch (stage_) {
        case Stage::reading:
            if (late) enter(Stage::asking, now, "went on without its files");
            break;
        case Stage::asking:
            if (living_) return enter(Stage::serving, now, "the fleet lives");
            // All others that were there are on the ladder too: nobody is left who could say more.
            if (recovering_.size() + 1 >= before_ && before_ > 1)
                return enter(Stage::settling, now, "all are on the ladder");
            if (late) enter(Stage::settling, now, "nobody serves");
            break;
        case Stage::settling:
            if (living_) return enter(Stage::serving, now, "the fleet lives");
            if (waits_for().empty()) return enter(Stage::priming, now, "the list and the bans are known");
            if (late) enter(Stage::priming, now, "went on without " + waits_for());
            break;
        case Stage::priming:
            if (late || now - turned_away_ >= kCalm)
                enter(Stage::serving, now, late ? "primed" : "nothing was turned away");
            break;
        case Stage::serving:
            break;
    }
}

}  // namespace sumackeel::recovery
