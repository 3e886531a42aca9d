// Several change logs in order: which to follow, when to call one again, which to believe. Events and times
// in, steps out; the sockets are elsewhere (src/discovery).
//
// The first `follow` good sources in order are followed; one further down is called while fewer are good. A
// source is proven once it has told an event as new as the newest known when it was called; only a proven one
// can say that a list is still current. One that is alive and silent because it lags behind is so never taken
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
    Micros first_wait = 100'000;    // before a source that failed is called again; doubled with each failure,
    Micros longest_wait = 100'000;  // up to this
    double jitter = 0;              // each wait is drawn from (1 - jitter) to 1 times its length; 0 to 1
    Micros connect_in = 1'000'000;  // until the first byte of an answer
    Micros silence = 2'500'000;     // a comment comes each second
    Micros steady_after = 10'000'000;  // a connection that lived this long ends a row of failures
    int follow = 1;                    // sources followed at a time, at least 1
    Micros lag = 2'000'000;            // sources of the same events may be this far apart
    bool prove = false;  // false: a source is taken as proven with its first byte, as the only one must be
};

class WatchSources {
  public:
    enum class State { resting, calling, asked, following };
    struct Health {
        State state = State::resting;
        bool proven = false;
        bool regressed = false;    // told a number lower than one it had told on the same connection
        int failures = 0;          // in a row
        std::int64_t highest = 0;  // number told by it, ever
        std::int64_t on_this = 0;  // the highest on the present connection
        Micros since = 0;          // of the present state
        Micros last_byte_at = 0;   // the last byte
        Micros rest_until = 0;
        std::string last_fault;  // why its last connection ended
    };
    struct Step {
        enum class Kind { call, drop } kind;
        std::size_t source;
        std::int64_t behind = 0;  // call: the number to ask from
    };
    // What to do with an event.
    enum class EventResult {
        apply,
        duplicate,  // not newer than the newest known
        regressed   // the same, and the source told a higher number on this connection before: once each
    };

    WatchSources(std::size_t count, WatchOptions options, std::uint64_t seed);

    // `newest`: the number of the newest event known. Steps are to be carried out in order.
    std::vector<Step> next_steps(Micros now, std::int64_t newest);
    // When next() may have something to do by time alone.
    std::optional<Micros> next_deadline() const;

    void on_connected(std::size_t source, Micros now);  // the connection is up and the request is written
    // Bytes of an answer came. True: the source is proven, so the list is current.
    bool on_data(std::size_t source, Micros now);
    EventResult on_event(std::size_t source, std::int64_t seq, std::int64_t newest, Micros now);
    void on_disconnected(std::size_t source, Micros now, std::string why);
    // The list of sources is another one from now on: all are called afresh and at once.
    void replace(std::size_t count);

    const std::vector<Health>& health() const { return health_; }

  private:
    void known(std::int64_t seq, Micros now);
    std::int64_t settled(Micros now);
    void weigh(Health& health, Micros now);
    bool good(const Health& health) const;
    void fail(Health& health, Micros now, std::string why);

    WatchOptions set_;
    std::mt19937_64 rng_;
    std::vector<Health> health_;
    // What became the newest number when, the oldest first; from the one that has settled on.
    std::deque<std::pair<std::int64_t, Micros>> newest_;
};

const char* name_of(WatchSources::State state);

}  // namespace sumackeel::endpoints
