// Admission and load shedding: whether a request is worth an attempt, and how it ends without one.
#pragma once

#include "routing/latency_prediction.h"
#include "routing/route_plan.h"

namespace sumackeel::routing {

class Admission {
  public:
    Admission(DecisionContext& context, LoadEstimate& load, LatencyPrediction& latency)
        : context_(context), load_(load), latency_(latency) {}

    // Whether to reject the request rather than carry out the plan. Under overload a late response delays
    // others, which are worth more.
    bool should_shed(const Request& request, const RoutePlan& plan);

    // Emits the request's final answer: rejected with Retry-After where it surely did not run, else failed.
    // At once, as waiting would only hide the failure from the client.
    void refuse(const Request& request);

  private:
    bool may_reject(const Request& request) const;

    DecisionContext& context_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
};

}  // namespace sumackeel::routing
