#include "routing/cache_selection.h"

#include <algorithm>
#include <cmath>

#include "routing/hash.h"

namespace sumackeel::routing {
namespace {

constexpr double kHotObjectLoad = 0.25;  // of one cache's capacity; from here on an object has two homes
constexpr double kMoveGain = 0.7;  // another cache than the home must be this much faster: it costs a fill

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
    const ClassSettings& service = class_of(context_.settings, request);
    const bool stale_will_do = holder && service.stale_grace > 0 && !request.attempts.empty();
    CacheRanking ranking = rank(request, stale_will_do ? holder : nullptr);
    if (ranking.empty()) return {};
    Target* preferred = nullptr;
    if (shared)
        preferred = copy->fill_cache;
    else if (stale_will_do || (holder && fills_.was_served_recently(*copy)))
        preferred = holder;
    const bool preferred_usable = ranking.contains(preferred);
    const std::size_t homes = copy ? home_count(*copy, request, *ranking.at(0)) : ranking.size();
    // Leaving a fill under way for another cache would begin it twice, so it is left only when overdue.
    if (shared && preferred_usable) return plan_at(request, copy, *preferred);
    if (homes == 1 && preferred_usable) ranking.move_to_front(preferred);
    const double limit = static_cast<double>(request.objective_at - context_.now) / kObjectiveMargin;
    RoutePlan best;
    for (std::size_t i = 0; i < ranking.size(); ++i) {
        const RoutePlan plan = plan_at(request, copy, *ranking.at(i));
        // A slow fill is slow at every cache, and moving on for it would fill the object once more and crowd
        // the ingress link. So past the homes a cache also has to be faster without the fill.
        const bool better = i < homes ? plan.expected_time < best.expected_time
                                      : plan.expected_time < kMoveGain * best.expected_time &&
                                            plan.expected_hit_time < best.expected_hit_time;
        if (!best.cache || better) best = plan;
        if (i + 1 >= homes && best.expected_hit_time <= limit) break;
    }
    return best;
}

// Caches by hash that serve the object: more than one while it is requested often.
std::size_t CacheSelection::home_count(const CachedCopy& copy, const Request& request,
                                       const Target& home) const {
    // The requests of other routers are taken as this one's less one standard error. Multiplied in full, a
    // chance second request would look like a rush, and the zone would fill the object twice.
    const double own = fills_.recent_requests(copy);
    const double all = own + (slow_start_.sharers(home) - 1) * std::max(0.0, own - std::sqrt(own));
    const double load =
        all * request.transfer_time / (FillCoalescing::kRequestRateMemory * slow_start_.capacity(home));
    if (load > 2 * kHotObjectLoad) return 3;
    return load > kHotObjectLoad ? 2 : 1;
}

// `stale_holder` may be tried again: its stale copy can answer where a fill there could not.
CacheRanking CacheSelection::rank(const Request& request, const Target* stale_holder) {
    CacheRanking ranking;
    const std::vector<ZoneCache>& caches = endpoints_.zone_caches();
    const std::uint64_t key = hash_of(request.arrival.object.empty() ? request.arrival.id : request.key);
    const bool first_attempt = request.attempts.empty();
    // Never all are ejected: with none admitted and untried, the others are taken.
    for (const bool strict : {true, false}) {
        for (const ZoneCache& cache : caches) {
            Target& target = *cache.target;
            // A warm cache with its breaker closed needs no check for a first attempt.
            if (!first_attempt || !cache.warm || cache.breaker_open) {
                const bool again = request.was_tried_at(target) && &target != stale_holder;
                if (strict && (again || !breaker_.admits(target))) continue;
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
    const ClassSettings& service = class_of(context_.settings, request);
    RoutePlan plan;
    plan.cache = &cache;
    const bool held = copy && fills_.is_likely_held(*copy, cache, request);
    const Micros lifetime = service.freshness_lifetime;
    plan.revalidation = held && lifetime > 0 && context_.now - copy->fresh_since >= lifetime;
    plan.fill = !held || plan.revalidation;
    plan.source = fill_source_.choose(request, copy, cache,
                                      plan.fill ? FillExpectation::likely : FillExpectation::unlikely);
    plan.load = load_.load(cache, 1);
    const FillKind kind = plan.revalidation ? FillKind::revalidation : FillKind::full;
    plan.expected_hit_time = latency_.predict(request, cache, nullptr, kind);
    // What this router never asked for is most often cached all the same, for the other routers' sake. Taken
    // as a fill it would count on the ingress link, and be rejected for a source that it never needs.
    const bool unproven = plan.fill && !plan.revalidation && purges_.purged_at(request) == 0;
    plan.fill_probability = plan.fill ? 1 : 0;
    if (unproven)
        plan.fill_probability = 1 - latency_.unproven_hit_ratio() * slow_start_.ramp(cache, context_.now);
    plan.expected_time =
        plan.fill ? latency_.predict(request, cache, plan.source, kind) : plan.expected_hit_time;
    // Stale-if-error: only after a failed attempt, or where a fresh copy is unlikely in time.
    if (copy && service.stale_grace > 0 && plan.source != &cache) {
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
