// Cache bypass: if the site allows it, a parent or the origin responds while no cache of the zone is
// admitted. No copy is stored, so the bypass ends as soon as a cache is due for a trial attempt.
#pragma once

#include "routing/fill_source.h"

namespace sumackeel::routing {

class CacheBypass {
  public:
    CacheBypass(const DecisionContext& context, const EndpointTable& endpoints,
                const Eligibility& eligibility, const CircuitBreaker& breaker, FillSource& fill_source,
                LatencyPrediction& latency);

    // Returns the plan that bypasses the caches; its `cache` is null if no endpoint can respond in time.
    // Counts against the origin quota.
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
    DecayedMean origin_quota_;  // tokens left in the origin's rate limit, as of `at`
};

}  // namespace sumackeel::routing
