// Retry budget: attempt timeouts, and whether and when a failed attempt is retried.
#pragma once

#include "routing/origin_throttle.h"
#include "routing/request.h"
#include "routing/route_plan.h"

namespace sumackeel::routing {

constexpr double kTimeoutMultiple = 4;  // an attempt is overdue after this multiple of its expected time

enum class RetryKind { give_up, now, later };

struct RetryDecision {
    RetryKind kind = RetryKind::give_up;
    Micros at = 0;  // time of the retry for RetryKind::later
};

class RetryBudget {
  public:
    RetryBudget(DecisionContext& context, const OriginThrottle& origin_throttle)
        : context_(context), origin_throttle_(origin_throttle) {}

    // Adds a fraction of a retry to the budget for each request.
    void record_request();

    // Sets the request's deadline and the latest time to send an attempt that can still meet it.
    void set_deadlines(Request& request) const;

    bool attempts_left(const Request& request) const {
        return static_cast<int>(request.attempts.size()) < context_.settings.max_attempts;
    }

    // Timeout in microseconds for the attempt last added to the request. Allows for load while leaving time
    // for another attempt; all remaining time if no other attempt could follow.
    Micros timeout(const Request& request, const RoutePlan& plan) const;

    // Decides after a failed attempt with no other in flight; a retry is deducted from the budget.
    RetryDecision decide(Request& request, const AttemptFinished& result);

  private:
    static constexpr double kMaxRetryBudget = 20;

    DecisionContext& context_;
    const OriginThrottle& origin_throttle_;
    double retries_ = kMaxRetryBudget;
};

}  // namespace sumackeel::routing
