// Attempts: sends attempts as planned and reports their results to the modules that track endpoints.
#pragma once

#include <string>
#include <unordered_map>

#include "routing/fill_coalescing.h"
#include "routing/outlier_detection.h"
#include "routing/retry_budget.h"

namespace sumackeel::routing {

class Attempts {
  public:
    Attempts(DecisionContext& context, EndpointTable& endpoints, SlowStart& slow_start,
             CircuitBreaker& breaker, const PurgeLog& purges, const RetryBudget& retries,
             OriginThrottle& origin_throttle, OutlierDetection& outliers, LoadEstimate& load,
             LatencyPrediction& latency);
    ~Attempts() = default;
    Attempts(const Attempts&) = delete;
    Attempts& operator=(const Attempts&) = delete;

    // Emits the action for the plan and records the attempt. `copy` is null for requests that are not
    // cacheable.
    void send(Request& request, const RoutePlan& plan, const CachedCopy* copy);

    // Processes the end of an attempt; its request may already be finished.
    void finish(const AttemptFinished& result);

    // Excludes a stall of this process from the elapsed time of attempts in flight.
    void skip_stall(Micros duration);

  private:
    InFlightAttempt& begin(Request& request, const RoutePlan& plan);
    Forward forward(const Request& request, const RoutePlan& plan) const;
    void set_cache_control(Forward& action, const Request& request, const RoutePlan& plan,
                           const CachedCopy& copy) const;
    void reserve_origin_turn(const Forward& action, const RoutePlan& plan, InFlightAttempt& attempt);

    DecisionContext& context_;
    EndpointTable& endpoints_;
    SlowStart& slow_start_;
    CircuitBreaker& breaker_;
    const PurgeLog& purges_;
    const RetryBudget& retries_;
    OriginThrottle& origin_throttle_;
    OutlierDetection& outliers_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
    std::unordered_map<std::string, InFlightAttempt> in_flight_;  // including attempts of finished requests
};

}  // namespace sumackeel::routing
