// Slow start: capacity of an endpoint after its start, and the budget of work it may receive while cold.
//
// All routers together can overload a cold endpoint within one overload window. Each router stays within its
// share of the budget by means of a debt that is paid off over time. In the worst case, the sum of the
// largest debts of all routers and the amount paid off within a window equals the budget. If the share is
// smaller than one request, the routers take turns; the initial debt is random so that their turns do not
// coincide.
#pragma once

#include "routing/target.h"
#include "routing/transfer_time.h"

namespace sumackeel::routing {

class SlowStart {
  public:
    SlowStart(DecisionContext& context, const TransferTimes& transfer_times)
        : context_(context), transfer_times_(transfer_times) {}

    // Fraction of the target's full capacity at time `at`, from its cold fraction to 1.
    double ramp(const Target& target, Micros at) const;

    // Current capacity in transfers at full rate, at least 0.1.
    double capacity(const Target& target) const;

    // Number of routers that share the target's budget, at least 1.
    double sharing_routers(const Target& target) const;

    // Begins slow start at `started_at` with a random debt, so that the routers do not send their first
    // requests at the same time.
    void begin(Target& target, Micros started_at);

    // Whether the target's budget allows one more request of this router.
    bool has_budget(const Target& target) const;

    // Adds a request of the class to the target's debt if it is in slow start.
    void charge(Target& target, int class_index);

  private:
    double budget(const Target& target, Micros at) const;
    double debt(const Target& target) const;

    DecisionContext& context_;
    const TransferTimes& transfer_times_;
};

}  // namespace sumackeel::routing
