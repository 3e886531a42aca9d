// Cache bypass: where the site allows it, a parent or the origin answers while no cache of the zone is
// admitted. No copy is kept, so a bypass ends as soon as one cache takes its trial.
#pragma once

#include "routing/fill_source.h"

namespace sumackeel::routing {

class CacheBypass {
  public:
    CacheBypass(const DecisionContext& context, const EndpointTable& endpoints,
                const Eligibility& eligibility, const CircuitBreaker& breaker, FillSource& fill_source,
                LatencyPrediction& latency);

    // The plan without a cache; its cache is null where there is none in time. Counts against the origin's
    // quota.
    RoutePlan choose(const Request& request);

  private:
    RoutePlan origin_only(const Request& request);
    bool take_origin_quota();

    const DecisionContext& context_;
    const EndpointTable& endpoints_;
    const Eligibility& eligibility_;
    const CircuitBreaker& breaker_;
    FillSource& fill_source_;
    LatencyPrediction& latency_;
    DecayedMean origin_quota_;  // requests that may still go to the origin, as of `at`
};

}  // namespace sumackeel::routing
