// The calls to one server that wait for their answer.
//
// A call may be answered late, and its connection may be dead without a sign. So a call is kept while none is
// answered, and others are made beside it. Of a bounded number one makes room for the next, never the oldest,
// and the others stay spread over all ages. So an answer is received however long it takes,
// also where some calls are never answered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace sumackeel::base {

// Identifies a call, unique among those of one caller.
using CallId = std::uint64_t;

class PendingCalls {
  public:
    static constexpr std::size_t kMaxPending = 5;
    static constexpr std::size_t kMinPending = 2;  // where sockets are short

    struct Call {
        CallId id;
        Micros begun_at;
        bool asks_for_all = false;  // for all that the server has
    };

    // Adds a call. Returns those that are given up, so that no more than `most` (at least 2) are pending.
    std::vector<CallId> add(Call call, std::size_t most);
    // Removes a call; nullopt: it is not pending.
    std::optional<Call> take(CallId id);
    // Removes a call and all that were made before it, the oldest first; none: it is not pending.
    std::vector<Call> take_through(CallId id);
    // Removes all.
    std::vector<Call> take_all();
    bool contains(CallId id) const;
    bool empty() const { return calls_.empty(); }
    std::size_t size() const { return calls_.size(); }
    // Whether this is the call that was added last.
    bool is_newest(CallId id) const { return !calls_.empty() && calls_.back().id == id; }
    // Time since the oldest call began; 0: there is none.
    Micros oldest_age(Micros now) const { return calls_.empty() ? 0 : now - calls_.front().begun_at; }

  private:
    using Calls = std::vector<Call>;
    Calls::const_iterator find(CallId id) const;
    std::size_t most_crowded(Micros now) const;

    Calls calls_;  // the oldest first
};

// How long a call waits for its answer before another is made beside it. Follows what was seen, as a
// retransmission timer does: grows with each call that is not answered in time, and is set anew by each
// answer.
class ResponseTimeout {
  public:
    ResponseTimeout(Micros shortest, Micros longest)
        : shortest_(shortest), longest_(longest), current_(shortest) {}
    Micros current() const { return current_; }
    void on_overdue();
    void on_answer(Micros response_time);

  private:
    Micros shortest_, longest_, current_;
};

}  // namespace sumackeel::base
