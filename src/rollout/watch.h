// What the leader sees of a release, and the step that follows from it. Pure: reports and looks in, a step
// out. Kept by the leader alone: a new one begins with nothing and measures the soak anew.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/release.h"

namespace sumackeel::rollout {

// One member as the group shows it to the leader.
struct MemberNow {
    std::string name, version;
    std::uint64_t start = 0;
    bool there = false;    // alive
    bool lost = false;     // dead, or left
    bool leased = false;   // by lease, whoever asked for it
    bool serving = false;  // there, and neither leased nor draining
};

enum class Gated : std::uint8_t { wait, good, bad };
struct Verdict {
    Gated how = Gated::wait;
    std::string reason;
};
// `over`: the soak is done.
Verdict judge(const Sum& changed, const Sum& others, const Gate& gate, bool over);

class Watch {
  public:
    // Of a member itself; kept while a release is under way, the newest of each.
    void heard(const Report& report, Micros now);
    // A lease that is out, also one that ends before the next look; `start`: of its holder when it got it.
    void leased(const std::string& member, std::uint64_t start) { turns_[member] = start; }
    // The step that is due, if any. `members`: all proxies.
    std::optional<Step> look(const Release& release, const std::vector<MemberNow>& members, Micros now);
    // Of the soak under way, for those who look.
    const Sum& changed() const { return changed_; }
    const Sum& others() const { return others_; }

  private:
    struct Heard {
        Report first, last;  // first: of the process that runs now, when the stage began
        Micros at = 0;
    };
    void begin(const Release& release, Micros now);
    std::string crash(const Release& release, const std::vector<MemberNow>& members);
    void add_up(const Release& release, const std::vector<MemberNow>& members);

    std::uint64_t number_ = 0, steps_ = 0;
    Micros began_ = 0, looked_ = 0;
    std::map<std::string, Heard> heard_;
    std::map<std::string, std::uint64_t> starts_;
    std::map<std::string, std::uint64_t> turns_;  // the start of the last turn's holder
    Sum changed_, others_;
    std::map<std::string, Sum> alone_;  // of the wave's members, each
};

}  // namespace sumackeel::rollout
