// The administrative state: which pop caches the operators banned, whether this proxy drains, and whether it
// is ready. A value: events in, results out. No clock, no file, no socket: the daemon feeds it and carries
// out what it says.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sumackeel::admin {

// More than any site lists (a fleet has 200 pop caches at most); beyond it a ban is refused, never dropped.
constexpr std::size_t kMaxBans = 4096;
// A pop cache's id is a host name: letters, digits and `-._`, as service discovery writes them.
constexpr std::size_t kMaxIdLength = 253;

// The phase of this process, as readiness checks see it.
enum class ProcessPhase {
    starting,       // not able to serve yet: the servers do not listen, or the hand-over was not read
    serving,        // ready: new connections are accepted
    draining,       // not ready: clients' connections are closed until the drain ends
    shutting_down,  // not ready, for good
};
const char* name_of(ProcessPhase phase);

enum class ChangeResult {
    accepted,
    unknown,   // an id never listed, or one that is no id at all
    rejected,  // not in this phase, or the table of bans is full
};

struct DecodedState;

class State {
  public:
    // Events; none throws.
    void on_started();  // from starting to serving
    ChangeResult start_drain();
    ChangeResult stop_drain();
    void on_shutdown();
    // `listed`: service discovery or the configuration ever named this id. A ban holds whatever they say
    // later.
    ChangeResult ban(std::string_view id, bool listed);
    ChangeResult unban(std::string_view id, bool listed);

    ProcessPhase phase() const { return phase_; }
    bool is_ready() const { return phase_ == ProcessPhase::serving; }
    // Clients' connections are to be closed: busy ones after their last response, idle ones at once.
    bool is_draining_clients() const {
        return phase_ == ProcessPhase::draining || phase_ == ProcessPhase::shutting_down;
    }
    bool is_banned(const std::string& id) const { return bans_.contains(id); }
    const std::set<std::string>& bans() const { return bans_; }

    // The hand-over form of processes of earlier versions: bans and the drain (docs/design/service-days.md
    // has it byte by byte).
    std::string encode() const;
    // Takes over the bans and the drain of another state.
    void adopt(const State& old);
    // Takes over what differs between two states of other processes.
    void apply_difference(const State& before, const State& after);
    bool drain_requested() const { return drain_requested_; }

    bool operator==(const State&) const = default;

  private:
    friend DecodedState decode_state(std::string_view text);

    ProcessPhase phase_ = ProcessPhase::starting;
    bool drain_requested_ = false;  // by the last drain call
    std::set<std::string> bans_;
};

struct DecodedState {
    std::optional<State> state;  // none: `error` says why
    std::string error;
};
constexpr int kStateVersion = 1;
DecodedState decode_state(std::string_view text);

bool is_valid_id(std::string_view id);

}  // namespace sumackeel::admin
