#include "routing/fill_source.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "routing/hash.h"

namespace sumackeel::routing {
namespace {

constexpr double kRegionStepWeight = 0.4;  // weight factor of a parent for each region of distance

}  // namespace

FillSource::FillSource(const DecisionContext& context, const EndpointTable& endpoints,
                       const SlowStart& slow_start, const Eligibility& eligibility,
                       const CircuitBreaker& breaker, const FillCoalescing& fills,
                       const OriginThrottle& origin_throttle, LoadEstimate& load, LatencyPrediction& latency)
    : context_(context),
      endpoints_(endpoints),
      slow_start_(slow_start),
      eligibility_(eligibility),
      breaker_(breaker),
      fills_(fills),
      origin_throttle_(origin_throttle),
      load_(load),
      latency_(latency) {}

Target* FillSource::choose(const Request& request, const CachedCopy* copy, Target& cache,
                           FillExpectation fill) {
    Target* const origin = endpoints_.origin();
    const bool origin_ready = endpoints_.is_origin_ready();
    // Uncacheable requests go directly to the origin: a parent has no copy to serve, and a failure there
    // could not be retried if the request must not be repeated.
    if (origin_ready && !is_cacheable(context_.settings, request)) return origin;
    if (Target* sibling = sibling_with_copy(request, copy, cache)) return sibling;
    if (Target* parent = best_parent(request, fill, Health::admitted_only)) return parent;
    // An uncongested origin, on this router's turn, is preferred to a parent with an open breaker.
    if (origin_ready && fill == FillExpectation::likely && !origin_throttle_.is_congested() &&
        origin_throttle_.is_turn() && breaker_.admits(*origin))
        return origin;
    if (Target* parent = best_parent(request, fill, Health::any)) return parent;
    return origin_ready ? origin : &cache;
}

Target* FillSource::best_parent(const Request& request, FillExpectation fill, Health health) {
    Target* best = nullptr;
    double best_score = 0;
    const bool admitted_only = health == Health::admitted_only;
    const std::uint64_t key = hash_of(request.arrival.object);
    for (Target* parent : endpoints_.parents()) {
        if (admitted_only && (request.was_tried_at(*parent) || !breaker_.admits(*parent))) continue;
        if (!slow_start_.has_budget(*parent)) continue;
        const double ramp = slow_start_.ramp(*parent, context_.now);
        const double capacity_factor = fill == FillExpectation::likely ? ramp : ramp * ramp;
        const double slowdown_factor = latency_.slowdown(*parent);
        const double weight = parent->entry.weight * capacity_factor *
                              std::pow(kRegionStepWeight, region_distance(*parent)) /
                              (slowdown_factor * slowdown_factor);
        // If no parent is admitted, prefer low failure rates: a parent that rejects some requests is not
        // down.
        const double reliability = admitted_only ? 1 : std::pow(1 - parent->health.failure_rate, 4);
        const double score = rendezvous(key, parent->hash, weight * reliability);
        if (best && !(score > best_score)) continue;
        best = parent;
        best_score = score;
    }
    return best;
}

// A fill from another cache of the zone does not use the ingress link.
Target* FillSource::sibling_with_copy(const Request& request, const CachedCopy* copy, const Target& cache) {
    Target* holder = copy ? fills_.proven_holder(*copy, request) : nullptr;
    const bool is_usable =
        holder && holder != &cache && context_.settings.sibling_fill != SiblingFill::none &&
        fills_.was_served_recently(*copy) && class_of(context_.settings, request).freshness_lifetime == 0;
    if (!is_usable || !eligibility_.can_serve(*holder, request) || request.was_tried_at(*holder) ||
        !breaker_.admits(*holder))
        return nullptr;
    return load_.load(*holder, 1) < kOverload ? holder : nullptr;
}

// Distance between the regions of this router and the parent; regions are arranged in a ring.
double FillSource::region_distance(const Target& parent) const {
    const Settings& settings = context_.settings;
    const int own_region = value_at(settings.region_by_zone, settings.own_zone, -1);
    const int parent_region = value_at(settings.region_by_zone, parent.entry.zone, -1);
    if (own_region < 0 || parent_region < 0) return 0;
    const int regions = *std::max_element(settings.region_by_zone.begin(), settings.region_by_zone.end()) + 1;
    return std::min(std::abs(own_region - parent_region), regions - std::abs(own_region - parent_region));
}

}  // namespace sumackeel::routing
