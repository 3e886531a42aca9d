// Which connections may be evicted for others: how long they have to have been in their state. Pure; times
// are in microseconds.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace sumackeel::net {

using base::Micros;

// How long a connection has to have been in its state before it may be evicted for another. A client sends
// its request as soon as it is connected, so young connections are kept: a flood of new ones can't evict
// legitimate ones among them.
//
// Where a server bounds the time in its accept queue, the age shrinks with the length of that queue, so that
// all of it is accepted within the bound.
class EvictionAge {
  public:
    // `accept_queue_timeout`: 0: the time in the accept queue is not bounded, and the age is always kMaxAge.
    explicit EvictionAge(Micros accept_queue_timeout) : accept_queue_timeout_(accept_queue_timeout) {}

    static constexpr Micros kMaxAge = 100'000;  // us
    static constexpr Micros kMinAge = 1'000;    // us; what timers can tell apart

    // `waiting`: connections in the accept queue now; `max_connections`: that may be open at once. The
    // longest queue since it was last empty counts: by its present length the age would grow as the queue
    // shrinks, and the last in it would wait longest.
    Micros min_age(int waiting, int max_connections) {
        if (accept_queue_timeout_ == 0) return kMaxAge;
        longest_queue_ = std::max({longest_queue_, waiting, 1});
        return std::clamp(accept_queue_timeout_ * max_connections / longest_queue_, kMinAge, kMaxAge);
    }
    void on_queue_empty() { longest_queue_ = 0; }

  private:
    Micros accept_queue_timeout_;
    int longest_queue_ = 0;
};

}  // namespace sumackeel::net
