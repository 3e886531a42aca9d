// Slow start: how much of its capacity an endpoint has after a start, and how much cold work it may get.
//
// All routers together can push a cold endpoint over within one window. Each keeps to its part of the budget
// by a debt that time pays off; in the worst case what all may owe at once and what a window pays off make up
// the budget. Where a part is less than a request, a router waits for its turn; the first debt is drawn at
// random, or all would have their turns together.
#pragma once

#include "routing/target.h"
#include "routing/transfer_time.h"

namespace sumackeel::routing {

class SlowStart {
  public:
    SlowStart(DecisionContext& context, const TransferTimes& transfer_times)
        : context_(context), transfer_times_(transfer_times) {}

    // Part of its capacity that the target has at `at`, from its cold fraction to 1.
    double ramp(const Target& target, Micros at) const;

    // Capacity now, in transfers at full rate; at least 0.1.
    double capacity(const Target& target) const;

    // Routers that share the target's budget, at least 1.
    double sharers(const Target& target) const;

    // Begins slow start at `since` with a random debt, so that routers don't send their first requests
    // together.
    void begin(Target& target, Micros since);

    // Whether the target's budget has room for one more request of this router.
    bool has_budget(const Target& target) const;

    // Adds a request of the class to the target's debt while it is in slow start.
    void charge(Target& target, int class_index);

  private:
    double budget(const Target& target, Micros at) const;
    double debt(const Target& target) const;

    DecisionContext& context_;
    const TransferTimes& transfer_times_;
};

}  // namespace sumackeel::routing
