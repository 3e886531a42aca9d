// Retry budget: how long an attempt may take, and whether and when a failed one is followed by another.
#pragma once

#include "routing/origin_throttle.h"
#include "routing/request.h"
#include "routing/route_plan.h"

namespace sumackeel::routing {

constexpr double kTimeoutMultiple = 4;  // of the expected time, after which an attempt is overdue

enum class RetryKind { give_up, now, later };

struct RetryDecision {
    RetryKind kind = RetryKind::give_up;
    Micros at = 0;  // of RetryKind::later
};

class RetryBudget {
  public:
    RetryBudget(DecisionContext& context, const OriginThrottle& origin_throttle)
        : context_(context), origin_throttle_(origin_throttle) {}

    // Each request adds a fraction of a retry.
    void record_request();

    // Sets the request's deadline and the last moment at which an attempt can still be complete in time.
    void set_deadlines(Request& request) const;

    bool attempts_left(const Request& request) const {
        return static_cast<int>(request.attempts.size()) < context_.settings.max_attempts;
    }

    // Microseconds for the attempt that was just added to the request: long enough under load, short enough
    // for another attempt; all that is left where none could follow.
    Micros timeout(const Request& request, const RoutePlan& plan) const;

    // After an attempt that failed, with no other in flight; takes a retry out of the budget.
    RetryDecision decide(Request& request, const AttemptFinished& result);

  private:
    static constexpr double kMaxSavedRetries = 20;

    DecisionContext& context_;
    const OriginThrottle& origin_throttle_;
    double retries_ = kMaxSavedRetries;
};

}  // namespace sumackeel::routing
