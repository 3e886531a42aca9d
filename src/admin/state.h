// The operators' board: which pop caches they took out, whether this proxy drains, and whether it is ready.
// A value: events in, verdicts out. No clock, no file, no socket: the daemon feeds it, carries out what it
// says and keeps its hand-over form (below) in a file across an upgrade.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sumackeel::admin {

// More than any site lists (a fleet has 200 pop caches at most); beyond it a ban is refused, never dropped.
constexpr std::size_t kMaxBans = 4096;
// A pop cache's id is a host name: letters, digits and `-._`, as the change log writes them.
constexpr std::size_t kMaxIdLength = 253;

// The life of this process as the front that asks for readiness sees it.
enum class ProcessPhase {
    starting,       // not able to serve yet: the fronts do not listen, or the hand-over file was not read
    serving,        // ready: new connections are welcome
    draining,       // told to drain: no, and clients are sent away until the drain ends
    shutting_down,  // told to end (SIGTERM): no, for good
};
const char* name_of(ProcessPhase phase);

enum class ChangeResult {
    accepted,
    unknown,   // an id never listed, or one that is no id at all
    rejected,  // it does not fit the phase, or the table of bans is full
};

struct DecodedState;

class State {
  public:
    // Events. Each one is told once it happened; none throws.
    void on_started();  // starting to serving
    ChangeResult start_drain();
    ChangeResult stop_drain();
    void on_shutdown();
    // `listed`: the change log or the configuration ever named this id. A ban holds whatever they say later.
    ChangeResult ban(std::string_view id, bool listed);
    ChangeResult unban(std::string_view id, bool listed);

    ProcessPhase phase() const { return phase_; }
    bool is_ready() const { return phase_ == ProcessPhase::serving; }
    // Clients are to be sent away: kept connections close after their last answer, idle ones at once.
    bool is_draining_clients() const {
        return phase_ == ProcessPhase::draining || phase_ == ProcessPhase::shutting_down;
    }
    bool is_banned(const std::string& id) const { return bans_.contains(id); }
    const std::set<std::string>& bans() const { return bans_; }

    // What crosses an upgrade: the bans and whether a drain was on. Text, one item a line, with a version
    // first and a checksum last (docs/design/service-days.md has it byte by byte).
    std::string encode() const;
    // Bans and a drain from a hand-over text, on a board that is able. Nothing else changes.
    void adopt(const State& old);
    // What the process before this one was told after that: the difference between two of its forms.
    void apply_difference(const State& before, const State& after);
    bool drain_requested() const { return drain_requested_; }

    bool operator==(const State&) const = default;

  private:
    friend DecodedState decode_state(std::string_view text);

    ProcessPhase phase_ = ProcessPhase::starting;
    bool drain_requested_ = false;  // as said by the last drain call, for the hand-over
    std::set<std::string> bans_;
};

struct DecodedState {
    std::optional<State> state;  // none: `fault` says why
    std::string error;
};
constexpr int kStateVersion = 1;
DecodedState decode_state(std::string_view text);

bool is_valid_id(std::string_view id);

}  // namespace sumackeel::admin
