// Several change logs in order of preference: which to follow, when to reconnect, which to trust. Takes
// events and times, and returns steps; the sockets are in src/discovery.
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

#include "base/time.h"

namespace sumackeel::endpoints {

using base::Micros;

struct WatchOptions {
    Micros first_wait = 100'000;    // before reconnecting after a failure; doubled with each further one
    Micros longest_wait = 100'000;  // upper bound of the doubled wait
    double jitter = 0;  // 0 to 1: each wait is multiplied by a random factor from (1 - jitter) to 1
    Micros response_timeout = 1'000'000;  // until the first byte of a response
    Micros silence_timeout = 2'500'000;   // without data; a working source sends a comment each second
    Micros stable_after = 10'000'000;     // a connection that lasts this long resets the failure count
    int follow = 1;                       // number of sources followed at a time, at least 1
    Micros max_lag = 2'000'000;           // allowed delay of one source behind another
    bool require_proof = false;           // false: proven by its first byte, which a single source needs
    // A source that was asked for events from the newest known one on, and does not send that one within this
    // time, lags behind or has begun its numbers anew. If it is the only one, it has nothing to lag behind;
    // otherwise it is asked for all that it has.
    Micros short_answer_after = 500'000;
};

class WatchSources {
  public:
    enum class State { resting, calling, asked, following };
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
        Micros retry_at = 0;
        std::string last_fault;  // why its last connection ended
    };
    struct Step {
        enum class Kind {
            call,
            drop,
            restart_numbering  // the only source has begun its numbers anew
        } kind;
        std::size_t source;
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
    // When next_steps() may have something to do by time alone.
    std::optional<Micros> next_deadline() const;

    void on_connected(std::size_t source, Micros now);  // the connection is up and the request is written
    // Response bytes were received. True: the source is proven, so the list is current.
    bool on_data(std::size_t source, Micros now);
    EventResult on_event(std::size_t source, std::int64_t sequence, std::int64_t newest, Micros now);
    void on_disconnected(std::size_t source, Micros now, std::string reason);
    // Whether a source other than this one is proven.
    bool is_other_proven(std::size_t source) const;
    // Forgets all numbers: those of the events begin anew.
    void restart_numbering() { newest_history_.clear(); }
    // Replaces the list of sources: all of them are connected anew without a wait.
    void replace(std::size_t count);

    const std::vector<Health>& health() const { return health_; }

  private:
    void record_newest(std::int64_t sequence, Micros now);
    std::int64_t settled_sequence(Micros now);
    void update_proven(Health& health, Micros now);
    bool is_usable(const Health& health) const;
    // It was asked for the newest known event and has not sent any yet.
    bool awaits_newest(const Health& health) const;
    void on_short_answer(std::size_t source, Micros now, std::vector<Step>& steps);
    void call(std::size_t source, std::int64_t behind, Micros now, std::vector<Step>& steps);
    Micros following_deadline(const Health& health) const;
    void fail(Health& health, Micros now, std::string reason);

    WatchOptions options_;
    std::mt19937_64 rng_;
    std::vector<Health> health_;
    // Which number became the newest one when, the oldest first, beginning with the settled one.
    std::deque<std::pair<std::int64_t, Micros>> newest_history_;
};

const char* name_of(WatchSources::State state);

}  // namespace sumackeel::endpoints
