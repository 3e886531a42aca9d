// Fill source: selects where a cache that lacks a copy fetches it. In order of preference: a sibling proven
// to hold a copy, a parent by hash with nearer regions preferred, the origin.
#pragma once

#include "routing/fill_coalescing.h"
#include "routing/latency_prediction.h"
#include "routing/origin_throttle.h"

namespace sumackeel::routing {

enum class FillExpectation { likely, unlikely };

class FillSource {
  public:
    FillSource(const DecisionContext& context, const EndpointTable& endpoints, const SlowStart& slow_start,
               const Eligibility& eligibility, const CircuitBreaker& breaker, const FillCoalescing& fills,
               const OriginThrottle& origin_throttle, LoadEstimate& load, LatencyPrediction& latency);

    // The source for `cache`, or `cache` itself if there is none. `copy` may be null.
    Target* choose(const Request& request, const CachedCopy* copy, Target& cache, FillExpectation fill);

  private:
    enum class Health { admitted_only, any };

    Target* sibling_with_copy(const Request& request, const CachedCopy* copy, const Target& cache);
    Target* best_parent(const Request& request, FillExpectation fill, Health health);
    double region_distance(const Target& parent) const;

    const DecisionContext& context_;
    const EndpointTable& endpoints_;
    const SlowStart& slow_start_;
    const Eligibility& eligibility_;
    const CircuitBreaker& breaker_;
    const FillCoalescing& fills_;
    const OriginThrottle& origin_throttle_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
};

}  // namespace sumackeel::routing
