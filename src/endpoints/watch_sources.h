// Several change logs in order of preference: which to follow, when to call them, which to trust. Takes
// events and times, and returns steps; the sockets are in src/discovery.
//
// A call that waits for its answer, or whose stream fell silent, is kept until another of that source is
// answered (pending_calls.h). The call that is answered last is the one that is followed; all others of its
// source are closed. An answer begins with the first byte of the event stream, not with its head. Each call
// asks for all events behind what was known when it was made, so none is lost between two calls.
//
// The first `follow` usable sources are followed; while fewer are usable, the next one in order is connected.
// A source is proven once it has sent an event as new as the newest one known when it was connected; only a
// proven source can confirm that a list is current. So a source that is alive but lags behind is never taken
// for current.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/pending_calls.h"
#include "base/time.h"

namespace sumackeel::endpoints {

using base::CallId;
using base::Micros;
using base::PendingCalls;
using base::ResponseTimeout;

struct WatchOptions {
    Micros first_wait = 100'000;    // before reconnecting after a failure; doubled with each further one
    Micros longest_wait = 100'000;  // upper bound of the doubled wait
    double jitter = 0;  // 0 to 1: each wait is multiplied by a random factor from (1 - jitter) to 1
    // Without a byte of the event stream for this time, another call is made beside the one that waits.
    Micros response_timeout = 1'000'000;
    Micros longest_response_timeout = 2'000'000;  // upper bound where answers take longer or are missing
    Micros silence_timeout = 2'500'000;  // without data; a working source sends a comment each second
    Micros stable_after = 10'000'000;    // a connection that lasts this long resets the failure count
    int follow = 1;                      // number of sources followed at a time, at least 1
    Micros max_lag = 2'000'000;          // allowed delay of one source behind another
    bool require_proof = false;          // false: proven by its first byte, which a single source needs
    // A source that was asked for events from the newest known one on, and does not send that one within this
    // time, lags behind or has begun its numbers anew. If it is the only one, it has nothing to lag behind;
    // otherwise it is asked for all that it has. A source whose response took longer has that much longer, up
    // to `longest_response_timeout`.
    Micros short_answer_after = 500'000;
};

class WatchSources {
  public:
    enum class State {
        resting,    // no call is open
        calling,    // the newest call is not connected, and none is answered
        asked,      // connected, and none is answered
        following,  // a call is answered
        silent      // it has sent nothing for `silence_timeout`: its events count, but prove nothing any more
    };
    struct Health {
        State state = State::resting;
        bool proven = false;
        bool asked_for_all = false;              // on its current connection
        bool regressed = false;                  // sent a lower number than before on the same connection
        int failures = 0;                        // in a row
        std::int64_t highest = 0;                // number that it ever sent
        std::int64_t highest_on_connection = 0;  // the highest number on the current connection
        Micros since = 0;                        // in the current state
        Micros last_byte_at = 0;
        Micros retry_at = 0;         // no call is made before
        Micros response_time = 0;    // of the call that is followed
        std::uint64_t calls = 0;     // made
        std::uint64_t given_up = 0;  // calls closed without an answer to make room for another
        std::string last_fault;      // why its last connection ended
    };
    struct Step {
        enum class Kind {
            call,
            drop,
            restart_numbering  // the only source has begun its numbers anew
        } kind;
        std::size_t source;
        CallId call = 0;          // call, drop: which one
        std::int64_t behind = 0;  // call: events after this number are requested
    };
    enum class EventResult {
        apply,
        duplicate,  // not newer than the newest known
        regressed   // a duplicate below a number of the same connection; reported once per connection
    };

    WatchSources(std::size_t count, WatchOptions options, std::uint64_t seed);

    // `newest`: the number of the newest event known. The steps must be carried out in order.
    std::vector<Step> next_steps(Micros now, std::int64_t newest);
    // Of each source, from its next call on; see PendingCalls. At least kMinPending.
    void limit_pending(std::size_t most) { max_pending_ = most; }
    // When next_steps() may have something to do by time alone.
    std::optional<Micros> next_deadline() const;

    // In the events below `call` is one that was not dropped; others are ignored.
    void on_connected(std::size_t source, CallId call, Micros now);  // the request is written
    // The head of the answer was received, and no byte of the stream: that has `silence_timeout` to begin.
    void on_head(std::size_t source, CallId call, Micros now);
    // Bytes of the stream were received. True: the source is proven, so the list is current.
    bool on_data(std::size_t source, CallId call, Micros now);
    EventResult on_event(std::size_t source, CallId call, std::int64_t sequence, std::int64_t newest,
                         Micros now);
    void on_disconnected(std::size_t source, CallId call, Micros now, std::string reason);
    // Whether next_steps() has calls to drop at once, since another was answered.
    bool has_superseded_calls() const { return !superseded_.empty(); }
    // Calls of the source that wait for an answer, and the age of the oldest.
    std::size_t pending_count(std::size_t source) const { return calls_[source].pending.size(); }
    Micros longest_pending(std::size_t source, Micros now) const {
        return calls_[source].pending.oldest_age(now);
    }
    // Whether a source other than this one is proven.
    bool is_other_proven(std::size_t source) const;
    // Forgets all numbers: those of the events begin anew.
    void restart_numbering() { newest_history_.clear(); }
    // Replaces the list of sources: all of them are called anew without a wait, and no call is open.
    void replace(std::size_t count);
    // Replaces the list of sources. `kept`: for each the index of the same source in the old list, whose
    // calls stay open; nullopt: a new one. The caller closes the calls of all others.
    void replace(const std::vector<std::optional<std::size_t>>& kept);

    const std::vector<Health>& health() const { return health_; }

  private:
    struct Calls {
        PendingCalls pending;
        std::optional<CallId> followed;  // the one that is answered
        ResponseTimeout response_timeout;
        std::optional<Micros> answer_due_at;  // of the newest pending call; nullopt: another may be made
        Micros short_answer_at = 0;           // see WatchOptions::short_answer_after
    };
    Calls no_calls() const;
    void record_newest(std::int64_t sequence, Micros now);
    std::int64_t settled_sequence(Micros now);
    void update_proven(Health& health, Micros now);
    bool is_usable(const Health& health) const;
    bool needs_call(std::size_t source) const;
    // It was asked for the newest known event and has not sent any yet.
    bool awaits_newest(std::size_t source) const;
    void check_deadlines(std::size_t source, Micros now, std::vector<Step>& steps);
    void on_short_answer(std::size_t source, Micros now, std::vector<Step>& steps);
    void call(std::size_t source, std::int64_t newest, Micros now, std::vector<Step>& steps);
    bool follow(std::size_t source, CallId call, Micros now);
    void supersede_pending(std::size_t source, std::vector<Step>& steps);
    void supersede_all(std::size_t source, std::vector<Step>& steps);
    void release(std::size_t source, Micros now, std::vector<Step>& steps);
    std::optional<Micros> next_deadline(std::size_t source) const;
    void record_failure(Health& health, Micros now, std::string reason);

    WatchOptions options_;
    std::mt19937_64 rng_;
    std::vector<Health> health_;
    std::vector<Calls> calls_;      // by source
    std::vector<Step> superseded_;  // calls to be dropped by the next steps
    CallId last_call_ = 0;
    std::size_t max_pending_ = PendingCalls::kMaxPending;
    // Which number became the newest one when, the oldest first, beginning with the settled one.
    std::deque<std::pair<std::int64_t, Micros>> newest_history_;
};

const char* name_of(WatchSources::State state);

}  // namespace sumackeel::endpoints
