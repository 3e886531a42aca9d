// Circuit breaker: ejects a target that fails often, and lets single trial attempts decide when it returns.
//
//   closed --failures--> open --a trial is sent--> half open --success--> closed
//                          ^                           |
//                          +---- failure, longer ------+   (or back to open where the trial showed nothing)
#pragma once

#include "routing/endpoint_table.h"

namespace sumackeel::routing {

class CircuitBreaker {
  public:
    CircuitBreaker(DecisionContext& context, EndpointTable& endpoints)
        : context_(context), endpoints_(endpoints) {}

    // Whether the target may get an attempt: its breaker is closed, or a trial is due.
    bool admits(const Target& target) const {
        const Health& health = target.health;
        return health.breaker == BreakerState::closed ||
               (health.breaker == BreakerState::open && context_.now >= health.open_until);
    }

    void on_attempt_sent(Target& target);
    void on_success(Target& target);

    // `weight`: how much of a failure it is; 1 for one that is surely the target's.
    void on_failure(Target& target, double weight);

    // The attempt ended, whatever came of it; a breaker must not wait on for a trial that showed nothing.
    void on_attempt_ended(Target& target);

  private:
    DecisionContext& context_;
    EndpointTable& endpoints_;
};

}  // namespace sumackeel::routing
