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
struct MemberStatus {
    std::string name, version;
    std::uint64_t start = 0;
    bool alive = false;    // alive
    bool gone = false;     // dead, or left
    bool leased = false;   // by lease, whoever asked for it
    bool serving = false;  // there, and neither leased nor draining
};

enum class GateVerdict : std::uint8_t { wait, pass, fail };
struct GateResult {
    GateVerdict verdict = GateVerdict::wait;
    std::string reason;
};
// `over`: the soak is done.
GateResult evaluate_gate(const MetricsSum& changed, const MetricsSum& others, const GateThresholds& gate,
                         bool over);

class ReleaseWatch {
  public:
    // Of a member itself; kept while a release is under way, the newest of each.
    void on_report(const MemberReport& report, Micros now);
    // A lease that is out, also one that ends before the next look; `start`: of its holder when it got it.
    void on_lease(const std::string& member, std::uint64_t start) { turns_[member] = start; }
    // The step that is due, if any. `members`: all proxies.
    std::optional<ReleaseStep> next_step(const Release& release, const std::vector<MemberStatus>& members,
                                         Micros now);
    // Of the soak under way, for those who look.
    const MetricsSum& changed() const { return changed_; }
    const MetricsSum& others() const { return others_; }

  private:
    struct Heard {
        MemberReport first, last;  // first: of the process that runs now, when the stage began
        Micros at = 0;
    };
    void begin(const Release& release, Micros now);
    std::string crash(const Release& release, const std::vector<MemberStatus>& members);
    void add_up(const Release& release, const std::vector<MemberStatus>& members);

    std::uint64_t number_ = 0, steps_ = 0;
    Micros began_ = 0, looked_ = 0;
    std::map<std::string, Heard> heard_;
    std::map<std::string, std::uint64_t> starts_;
    std::map<std::string, std::uint64_t> turns_;  // the start of the last turn's holder
    MetricsSum changed_, others_;
    std::map<std::string, MetricsSum> alone_;  // of the wave's members, each
};

}  // namespace sumackeel::rollout
