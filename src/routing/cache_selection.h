// Cache selection: ranks the zone's caches for a request by weighted rendezvous hashing. Selects the home
// cache (the first in the ranking) if it can respond in time, otherwise the next one that can, otherwise the
// fastest.
#pragma once

#include <cstddef>

#include "routing/cache_ranking.h"
#include "routing/fill_source.h"

namespace sumackeel::routing {

class CacheSelection {
  public:
    CacheSelection(const DecisionContext& context, EndpointTable& endpoints, const SlowStart& slow_start,
                   const Eligibility& eligibility, const CircuitBreaker& breaker, const PurgeLog& purges,
                   const FillCoalescing& fills, FillSource& fill_source, LoadEstimate& load,
                   LatencyPrediction& latency);

    // Returns the plan for the next attempt; its `cache` is null if no cache may be used. `copy` is null for
    // requests that are not cacheable. `shared`: a fill that the request can share is in progress.
    RoutePlan choose(const Request& request, const CachedCopy* copy, bool shared);

  private:
    CacheRanking rank(const Request& request, const Target* stale_holder);
    std::size_t home_count(const CachedCopy& copy, const Request& request, const Target& home) const;
    RoutePlan plan_at(const Request& request, const CachedCopy* copy, Target& cache);

    const DecisionContext& context_;
    EndpointTable& endpoints_;
    const SlowStart& slow_start_;
    const Eligibility& eligibility_;
    const CircuitBreaker& breaker_;
    const PurgeLog& purges_;
    const FillCoalescing& fills_;
    FillSource& fill_source_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
};

}  // namespace sumackeel::routing
