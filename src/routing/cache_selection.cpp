#include "routing/cache_selection.h"

#include <algorithm>
#include <cmath>

#include "routing/hash.h"

namespace sumackeel::routing {
namespace {

// Fraction of a cache's capacity above which an object gets two homes.
constexpr double kHotObjectLoad = 0.25;
// A cache other than the home must be faster by this factor, since it costs a fill.
constexpr double kMoveTimeFactor = 0.7;

}  // namespace

CacheSelection::CacheSelection(const DecisionContext& context, EndpointTable& endpoints,
                               const SlowStart& slow_start, const Eligibility& eligibility,
                               const CircuitBreaker& breaker, const PurgeLog& purges,
                               const FillCoalescing& fills, FillSource& fill_source, LoadEstimate& load,
                               LatencyPrediction& latency)
    : context_(context),
      endpoints_(endpoints),
      slow_start_(slow_start),
      eligibility_(eligibility),
      breaker_(breaker),
      purges_(purges),
      fills_(fills),
      fill_source_(fill_source),
      load_(load),
      latency_(latency) {}

RoutePlan CacheSelection::choose(const Request& request, const CachedCopy* copy, bool shared) {
    Target* holder = copy ? fills_.proven_holder(*copy, request) : nullptr;
    const ClassSettings& class_settings = class_of(context_.settings, request);
    const bool accept_stale = holder && class_settings.stale_grace > 0 && !request.attempts.empty();
    CacheRanking ranking = rank(request, accept_stale ? holder : nullptr);
    if (ranking.empty()) return {};
    Target* preferred = nullptr;
    if (shared)
        preferred = copy->fill_cache;
    else if (accept_stale || (holder && fills_.was_served_recently(*copy)))
        preferred = holder;
    const bool preferred_usable = ranking.contains(preferred);
    const std::size_t homes = copy ? home_count(*copy, request, *ranking.at(0)) : ranking.size();
    // Moving to another cache would start a second fill, so a fill is only abandoned once it is overdue.
    if (shared && preferred_usable) return plan_at(request, copy, *preferred);
    if (homes == 1 && preferred_usable) ranking.move_to_front(preferred);
    const double limit = static_cast<double>(request.objective_at - context_.now) / kObjectiveMargin;
    RoutePlan best;
    for (std::size_t i = 0; i < ranking.size(); ++i) {
        const RoutePlan plan = plan_at(request, copy, *ranking.at(i));
        // A slow fill is slow at every cache, and moving would fill the object again and load the ingress
        // link. So a cache that is not a home must also be faster without the fill.
        const bool better = i < homes ? plan.expected_time < best.expected_time
                                      : plan.expected_time < kMoveTimeFactor * best.expected_time &&
                                            plan.expected_hit_time < best.expected_hit_time;
        if (!best.cache || better) best = plan;
        if (i + 1 >= homes && best.expected_hit_time <= limit) break;
    }
    return best;
}

// Number of caches that serve the object; more than one while it is requested often.
std::size_t CacheSelection::home_count(const CachedCopy& copy, const Request& request,
                                       const Target& home) const {
    // The request count of each other router is estimated as this router's count less one standard error.
    // Extrapolated in full, a coincidental second request would look like high demand, and the zone would
    // fill the object twice.
    const double own_requests = fills_.recent_requests(copy);
    const double all_requests = own_requests + (slow_start_.sharing_routers(home) - 1) *
                                                   std::max(0.0, own_requests - std::sqrt(own_requests));
    const double load = all_requests * request.transfer_time /
                        (FillCoalescing::kRequestRateTimeConstant * slow_start_.capacity(home));
    if (load > 2 * kHotObjectLoad) return 3;
    return load > kHotObjectLoad ? 2 : 1;
}

// `stale_holder` may be tried again: it can serve its stale copy even if a fill there failed.
CacheRanking CacheSelection::rank(const Request& request, const Target* stale_holder) {
    CacheRanking ranking;
    const std::vector<ZoneCache>& caches = endpoints_.zone_caches();
    const std::uint64_t key = hash_of(request.arrival.object.empty() ? request.arrival.id : request.key);
    const bool first_attempt = request.attempts.empty();
    // If no untried cache is admitted, ejected and already tried caches are used instead of none.
    for (const bool admitted_only : {true, false}) {
        for (const ZoneCache& cache : caches) {
            Target& target = *cache.target;
            // For a first attempt, a warm cache with a closed breaker needs no checks.
            if (!first_attempt || !cache.warm || cache.breaker_open) {
                const bool already_tried = request.was_tried_at(target) && &target != stale_holder;
                if (admitted_only && (already_tried || !breaker_.admits(target))) continue;
                if (!eligibility_.can_serve(target, request)) continue;
            }
            const double weight =
                cache.warm ? cache.weight : cache.weight * slow_start_.ramp(target, context_.now);
            ranking.add(rendezvous(key, cache.hash, weight), &target);
        }
        if (!ranking.empty()) break;
    }
    return ranking;
}

RoutePlan CacheSelection::plan_at(const Request& request, const CachedCopy* copy, Target& cache) {
    const ClassSettings& class_settings = class_of(context_.settings, request);
    RoutePlan plan;
    plan.cache = &cache;
    const bool likely_held = copy && fills_.is_likely_held(*copy, cache, request);
    const Micros lifetime = class_settings.freshness_lifetime;
    plan.revalidation = likely_held && lifetime > 0 && context_.now - copy->fresh_since >= lifetime;
    plan.fill = !likely_held || plan.revalidation;
    plan.source = fill_source_.choose(request, copy, cache,
                                      plan.fill ? FillExpectation::likely : FillExpectation::unlikely);
    plan.load = load_.load(cache, 1);
    const FillKind kind = plan.revalidation ? FillKind::revalidation : FillKind::full;
    plan.expected_hit_time = latency_.predict(request, cache, nullptr, kind);
    // Objects that this router has not requested before are usually cached already because of other routers.
    // Counted as certain fills, they would load the ingress estimate and be rejected because of a source that
    // they do not need.
    const bool unproven = plan.fill && !plan.revalidation && purges_.purged_at(request) == 0;
    plan.fill_probability = plan.fill ? 1 : 0;
    if (unproven)
        plan.fill_probability = 1 - latency_.unproven_hit_ratio() * slow_start_.ramp(cache, context_.now);
    plan.expected_time =
        plan.fill ? latency_.predict(request, cache, plan.source, kind) : plan.expected_hit_time;
    // Stale-if-error: accepted after a failed attempt, or if a fresh copy is unlikely to arrive in time.
    if (copy && class_settings.stale_grace > 0 && plan.source != &cache) {
        const auto with_margin = static_cast<Micros>(kObjectiveMargin * plan.expected_time);
        plan.has_stale_copy = fills_.proven_holder(*copy, request) == &cache;
        plan.accepts_stale = !request.attempts.empty() || context_.now + with_margin > request.objective_at;
    }
    if (plan.accepts_stale && plan.has_stale_copy) {
        plan.fill = false;
        plan.fill_probability = 0;
        plan.expected_time = plan.expected_hit_time;
    }
    return plan;
}

}  // namespace sumackeel::routing
