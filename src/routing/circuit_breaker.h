// Circuit breaker: ejects a target that fails often; single trial attempts decide when it is readmitted.
//
//   closed --failures--> open --a trial is sent--> half open --success--> closed
//                          ^                           |
//                          +---- failure, longer ------+   (or open again if the trial was inconclusive)
#pragma once

#include "routing/endpoint_table.h"

namespace sumackeel::routing {

class CircuitBreaker {
  public:
    CircuitBreaker(DecisionContext& context, EndpointTable& endpoints)
        : context_(context), endpoints_(endpoints) {}

    // Whether the target may receive an attempt: its breaker is closed, or a trial is due.
    bool admits(const Target& target) const {
        const Health& health = target.health;
        return health.breaker == BreakerState::closed ||
               (health.breaker == BreakerState::open && context_.now >= health.open_until);
    }

    void on_attempt_sent(Target& target);
    void on_success(Target& target);

    // `weight` is the degree to which the failure is attributed to the target; 1: certainly.
    void on_failure(Target& target, double weight);

    // Called when any attempt ends. Reopens a half-open breaker, which must not wait for an inconclusive
    // trial.
    void on_attempt_ended(Target& target);

  private:
    DecisionContext& context_;
    EndpointTable& endpoints_;
};

}  // namespace sumackeel::routing
