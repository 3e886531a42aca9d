#include "routing/outlier_detection.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kHitTimeFactor = 1.3;      // without a cache status, responses that took longer were fills
constexpr double kSlowFailure = 1.5;        // a failure so far over the expected time is an abandoned wait
constexpr double kUnreachableWeight = 1.6;  // of a source that a cache reports as unreachable
constexpr double kFailureRatePrior = 0.05;
constexpr Micros kQuickRejection = 8 * kMillisecond;  // a cache's own rejection takes one way within the zone

bool is_fill(CacheStatus status) {
    return status == CacheStatus::filled || status == CacheStatus::filled_by_origin;
}

bool blames_source(CacheStatus status) {
    return status == CacheStatus::source_unreachable || status == CacheStatus::source_rejected ||
           status == CacheStatus::origin_failed;
}

}  // namespace

void OutlierDetection::record_reachability(const InFlightAttempt& attempt, const AttemptFinished& result) {
    Target& cache = *attempt.cache;
    switch (result.status) {
        case AttemptStatus::served:
        case AttemptStatus::overloaded:
        case AttemptStatus::not_found:
            endpoints_.record_response(cache);
            break;
        case AttemptStatus::connect_failed:
        case AttemptStatus::connection_reset:
            ++cache.consecutive_unreachable;
            break;
        default:
            break;
    }
    Target* source = attempt.source;
    if (!source || source == &cache) return;
    if (result.cache_status == CacheStatus::source_unreachable) ++source->consecutive_unreachable;
    if (is_fill(result.cache_status) || result.cache_status == CacheStatus::source_missing)
        endpoints_.record_response(*source);
}

OutlierDetection::Observation OutlierDetection::observe(const InFlightAttempt& attempt,
                                                        const AttemptFinished& result) {
    Target& cache = *attempt.cache;
    Observation seen{.attempt = attempt, .result = result, .cache = cache};
    seen.source = attempt.source == &cache ? nullptr : attempt.source;
    seen.elapsed_hit_ratio =
        (load_.service_clock(cache) - attempt.service_clock_at_start) / attempt.expected_hit_time;
    const bool no_status = context_.settings.cache_status_detail == CacheStatusDetail::none;
    seen.hit = result.cache_status == CacheStatus::hit || result.cache_status == CacheStatus::stale ||
               (no_status && seen.elapsed_hit_ratio < kHitTimeFactor);
    seen.fill = seen.source && (is_fill(result.cache_status) || (attempt.may_fill && !seen.hit));
    seen.elapsed_ratio = latency_.elapsed_ratio(cache, attempt);
    return seen;
}

void OutlierDetection::record_result(const InFlightAttempt& attempt, const AttemptFinished& result) {
    const Observation seen = observe(attempt, result);
    switch (result.status) {
        case AttemptStatus::served:
            record_served(seen);
            break;
        case AttemptStatus::overloaded:
            record_overloaded(seen);
            break;
        case AttemptStatus::timed_out:
            if (seen.elapsed_ratio <= kSlowFailure) break;
            [[fallthrough]];
        case AttemptStatus::error:
        case AttemptStatus::connection_reset:
        case AttemptStatus::connect_failed:
            record_failed(seen, result.cache_status, seen.fill, seen.elapsed_ratio, attempt.due_at());
            break;
        case AttemptStatus::cancelled:
        case AttemptStatus::not_sent:
        case AttemptStatus::not_found:
            break;
    }
    breaker_.on_attempt_ended(seen.cache);
    if (seen.source) breaker_.on_attempt_ended(*seen.source);
}

void OutlierDetection::record_served(const Observation& seen) {
    const bool no_status = context_.settings.cache_status_detail == CacheStatusDetail::none;
    if (no_status && seen.attempt.ingress_probability > 0) latency_.record_unproven(seen.hit);
    breaker_.on_success(seen.cache);
    if (seen.fill) {
        breaker_.on_success(*seen.source);
        const double of_cache = std::max(1.0, latency_.observed_lateness(seen.cache));
        latency_.record_lateness(*seen.source, seen.elapsed_ratio / of_cache);
    }
    if (!seen.fill || seen.elapsed_ratio < latency_.observed_lateness(seen.cache))
        latency_.record_lateness(seen.cache, seen.fill ? seen.elapsed_ratio : seen.elapsed_hit_ratio);
}

// A cache without capacity says so at once; what took longer came from the source. A hit that was expected
// may have been a fill, so the time it took counts, not the expectation.
void OutlierDetection::record_overloaded(const Observation& seen) {
    const bool unknown = seen.result.cache_status == CacheStatus::unknown;
    const bool quick = seen.result.elapsed <= kQuickRejection && unknown;
    if (!seen.source || quick) return breaker_.on_failure(seen.cache, 1);
    const CacheStatus status = unknown ? CacheStatus::source_rejected : seen.result.cache_status;
    record_failed(seen, status, true, 0, 0);
}

void OutlierDetection::record_failed(const Observation& seen, CacheStatus cache_status, bool fill,
                                     double elapsed_ratio, Micros due_at) {
    Target& cache = seen.cache;
    Target* const source = seen.source;
    Target* const origin = endpoints_.origin();
    if (fill && cache_status == CacheStatus::origin_failed && origin) return breaker_.on_failure(*origin, 1);
    const bool unknown = cache_status == CacheStatus::unknown;
    const bool abandoned = unknown && elapsed_ratio > kSlowFailure;
    double source_weight = fill && (blames_source(cache_status) || abandoned) ? 1 : 0;
    if (fill && unknown && elapsed_ratio <= kSlowFailure)
        source_weight = (source->health.failure_rate + kFailureRatePrior) /
                        (source->health.failure_rate + cache.health.failure_rate + 2 * kFailureRatePrior);
    if (source_weight > 0) {
        const bool unreachable = cache_status == CacheStatus::source_unreachable;
        breaker_.on_failure(*source, unreachable ? kUnreachableWeight : source_weight);
    }
    if (source_weight < 1) breaker_.on_failure(cache, 1 - source_weight);
    Target& slow = fill ? *source : cache;
    if (elapsed_ratio > kSlowFailure && slow.last_response_at <= due_at)
        latency_.record_lateness(slow, elapsed_ratio);
}

}  // namespace sumackeel::routing
