// Admission control and load shedding: decides whether to send an attempt, and ends requests that get none.
#pragma once

#include "routing/latency_prediction.h"
#include "routing/route_plan.h"

namespace sumackeel::routing {

class Admission {
  public:
    Admission(DecisionContext& context, LoadEstimate& load, LatencyPrediction& latency)
        : context_(context), load_(load), latency_(latency) {}

    // Whether to reject the request instead of executing the plan. Under overload, a response that would be
    // late anyway delays more valuable ones.
    bool should_shed(const Request& request, const RoutePlan& plan);

    // Emits the final response: a rejection with Retry-After if the request was certainly not executed or may
    // safely be repeated, otherwise a failure. Sent immediately, since a delay would only hide the failure
    // from the client.
    void refuse(const Request& request);

  private:
    bool may_reject(const Request& request) const;

    DecisionContext& context_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
};

}  // namespace sumackeel::routing
