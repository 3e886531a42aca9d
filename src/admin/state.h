// The administrative state: the pop caches banned by operators, and whether this proxy is draining and ready.
// A value type: takes events and returns results, without clock, file or socket access. The daemon passes
// events in and applies the resulting state.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sumackeel::admin {

// Above the size of any site (a fleet has at most 200 pop caches). Further bans are rejected; existing bans
// are never dropped.
constexpr std::size_t kMaxBans = 4096;
// A pop cache id is a host name of letters, digits and `-._`, as used by service discovery.
constexpr std::size_t kMaxIdLength = 253;

// The phase of this process, as reported to readiness checks.
enum class ProcessPhase {
    starting,       // not ready: the servers do not listen yet, or the handover record was not read yet
    serving,        // ready: new connections are accepted
    draining,       // not ready: clients' connections are closed until the drain ends
    shutting_down,  // not ready, permanently
};
const char* name_of(ProcessPhase phase);

enum class ChangeResult {
    accepted,
    unknown,   // an id that was never listed, or an invalid id
    rejected,  // not allowed in this phase, or the ban limit is reached
};

struct DecodedState;

class State {
  public:
    // Events. They do not throw.
    void on_started();  // from starting to serving
    ChangeResult start_drain();
    ChangeResult stop_drain();
    void on_shutdown();
    // `is_listed`: whether service discovery or the configuration has ever contained this id. A ban stays
    // when they no longer do.
    ChangeResult ban(std::string_view id, bool is_listed);
    ChangeResult unban(std::string_view id, bool is_listed);

    ProcessPhase phase() const { return phase_; }
    bool is_ready() const { return phase_ == ProcessPhase::serving; }
    // Whether client connections are to be closed: busy ones after their last response, idle ones now.
    bool is_draining_clients() const {
        return phase_ == ProcessPhase::draining || phase_ == ProcessPhase::shutting_down;
    }
    bool is_banned(const std::string& id) const { return bans_.contains(id); }
    const std::set<std::string>& bans() const { return bans_; }

    // The handover format of earlier program versions: bans and the drain. It is described in
    // docs/design/service-days.md.
    std::string encode() const;
    // Adds the bans and the drain of another state.
    void adopt(const State& old);
    // Applies the changes between two states of another process.
    void apply_difference(const State& before, const State& after);
    bool drain_requested() const { return drain_requested_; }

    bool operator==(const State&) const = default;

  private:
    friend DecodedState decode_state(std::string_view text);

    ProcessPhase phase_ = ProcessPhase::starting;
    bool drain_requested_ = false;  // according to the last drain call
    std::set<std::string> bans_;
};

struct DecodedState {
    std::optional<State> state;  // empty: see `error`
    std::string error;
};
constexpr int kStateVersion = 1;
DecodedState decode_state(std::string_view text);

bool is_valid_id(std::string_view id);

}  // namespace sumackeel::admin
