// The operators' board: which pop caches they took out, whether this proxy drains, and whether it is ready.
// A value: events in, verdicts out. No clock, no file, no socket: the daemon feeds it, carries out what it
// says and keeps its hand-over form (below) in a file across an upgrade.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sumackeel::ops {

// More than any site lists (a fleet has 200 pop caches at most); beyond it a ban is refused, never dropped.
constexpr std::size_t kMostBans = 4096;
// A pop cache's id is a host name: letters, digits and `-._`, as the change log writes them.
constexpr std::size_t kLongestId = 253;

// The life of this process as the front that asks for readiness sees it.
enum class Phase {
    starting,  // not able to serve yet: the fronts do not listen, or the hand-over file was not read
    serving,   // ready: new connections are welcome
    draining,  // told to drain: no, and clients are sent away until the drain ends
    ending,    // told to end (SIGTERM): no, for good
};
const char* name_of(Phase phase);

enum class Said {
    yes,
    unknown,  // an id never listed, or one that is no id at all
    refused,  // it does not fit the phase, or the table of bans is full
};

struct Read;

class Board {
  public:
    // Events. Each one is told once it happened; none throws.
    void able();  // starting to serving
    Said drain_start();
    Said drain_stop();
    void end();
    // `listed`: the change log or the configuration ever named this id. A ban holds whatever they say later.
    Said ban(std::string_view id, bool listed);
    Said lift(std::string_view id, bool listed);

    Phase phase() const { return phase_; }
    bool ready() const { return phase_ == Phase::serving; }
    // Clients are to be sent away: kept connections close after their last answer, idle ones at once.
    bool sending_away() const { return phase_ == Phase::draining || phase_ == Phase::ending; }
    bool banned(const std::string& id) const { return bans_.contains(id); }
    const std::set<std::string>& bans() const { return bans_; }

    // What crosses an upgrade: the bans and whether a drain was on. Text, one item a line, with a version
    // first and a checksum last (docs/design/service-days.md has it byte by byte).
    std::string hand_over() const;
    // Bans and a drain from a hand-over text, on a board that is able. Nothing else changes.
    void take_over(const Board& old);
    // What the process before this one was told after that: the difference between two of its forms.
    void follow(const Board& before, const Board& after);
    bool drain_told() const { return drain_told_; }

    bool operator==(const Board&) const = default;

  private:
    friend Read read_hand_over(std::string_view text);

    Phase phase_ = Phase::starting;
    bool drain_told_ = false;  // as said by the last drain call, for the hand-over
    std::set<std::string> bans_;
};

struct Read {
    std::optional<Board> board;  // none: `fault` says why
    std::string fault;
};
constexpr int kHandOverVersion = 1;
Read read_hand_over(std::string_view text);

bool sound_id(std::string_view id);

}  // namespace sumackeel::ops
