// Cache selection: ranks the zone's caches for a request by weighted rendezvous hashing and takes the home by
// hash while it can answer in time, else the next that can, else the soonest.
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

    // The plan for the next attempt; its cache is null where none may be used. `copy` is null for a request
    // that is not cacheable; `shared`: there is a fill under way that the request can share.
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
