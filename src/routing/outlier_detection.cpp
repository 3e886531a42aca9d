#include "routing/outlier_detection.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kHitTimeFactor = 1.3;  // without a cache status, slower responses count as fills
// Ratio to the expected time above which a failure counts as an abandoned wait.
constexpr double kSlowFailureRatio = 1.5;
constexpr double kUnreachableWeight = 1.6;  // of a source that a cache reports as unreachable
constexpr double kFailureRatePrior = 0.05;
// A cache's own rejection takes only a trip within the zone.
constexpr Micros kQuickRejection = 8 * kMillisecond;

bool is_fill(CacheStatus status) {
    return status == CacheStatus::filled || status == CacheStatus::filled_by_origin;
}

bool is_source_failure(CacheStatus status) {
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
    Observation observation{.attempt = attempt, .result = result, .cache = cache};
    observation.source = attempt.source == &cache ? nullptr : attempt.source;
    observation.elapsed_hit_ratio =
        (load_.service_clock(cache) - attempt.service_clock_at_start) / attempt.expected_hit_time;
    const bool no_status = context_.settings.cache_status_detail == CacheStatusDetail::none;
    observation.hit = result.cache_status == CacheStatus::hit || result.cache_status == CacheStatus::stale ||
                      (no_status && observation.elapsed_hit_ratio < kHitTimeFactor);
    observation.fill =
        observation.source && (is_fill(result.cache_status) || (attempt.may_fill && !observation.hit));
    observation.elapsed_ratio = latency_.elapsed_ratio(cache, attempt);
    return observation;
}

void OutlierDetection::record_result(const InFlightAttempt& attempt, const AttemptFinished& result) {
    const Observation observation = observe(attempt, result);
    switch (result.status) {
        case AttemptStatus::served:
            record_served(observation);
            break;
        case AttemptStatus::overloaded:
            record_overloaded(observation);
            break;
        case AttemptStatus::timed_out:
            if (observation.elapsed_ratio <= kSlowFailureRatio) break;
            [[fallthrough]];
        case AttemptStatus::error:
        case AttemptStatus::connection_reset:
        case AttemptStatus::connect_failed:
            record_failed(observation, result.cache_status, observation.fill, observation.elapsed_ratio,
                          attempt.due_at());
            break;
        case AttemptStatus::cancelled:
        case AttemptStatus::not_sent:
        case AttemptStatus::not_found:
        case AttemptStatus::withheld:
            break;
    }
    breaker_.on_attempt_ended(observation.cache);
    if (observation.source) breaker_.on_attempt_ended(*observation.source);
}

void OutlierDetection::record_served(const Observation& observation) {
    const bool no_status = context_.settings.cache_status_detail == CacheStatusDetail::none;
    if (no_status && observation.attempt.ingress_probability > 0) latency_.record_unproven(observation.hit);
    breaker_.on_success(observation.cache);
    if (observation.fill) {
        breaker_.on_success(*observation.source);
        const double cache_lateness = std::max(1.0, latency_.observed_lateness(observation.cache));
        latency_.record_lateness(*observation.source, observation.elapsed_ratio / cache_lateness);
    }
    if (!observation.fill || observation.elapsed_ratio < latency_.observed_lateness(observation.cache))
        latency_.record_lateness(
            observation.cache, observation.fill ? observation.elapsed_ratio : observation.elapsed_hit_ratio);
}

// A cache without capacity rejects at once, so a slower rejection came from the source. An expected hit may
// have been a fill, so the elapsed time decides, not the expectation.
void OutlierDetection::record_overloaded(const Observation& observation) {
    const bool unknown = observation.result.cache_status == CacheStatus::unknown;
    const bool quick = observation.result.elapsed <= kQuickRejection && unknown;
    if (!observation.source || quick) return breaker_.on_failure(observation.cache, 1);
    const CacheStatus status = unknown ? CacheStatus::source_rejected : observation.result.cache_status;
    record_failed(observation, status, true, 0, 0);
}

void OutlierDetection::record_failed(const Observation& observation, CacheStatus cache_status, bool fill,
                                     double elapsed_ratio, Micros due_at) {
    Target& cache = observation.cache;
    Target* const source = observation.source;
    Target* const origin = endpoints_.origin();
    if (fill && cache_status == CacheStatus::origin_failed && origin) return breaker_.on_failure(*origin, 1);
    const bool unknown = cache_status == CacheStatus::unknown;
    const bool abandoned = unknown && elapsed_ratio > kSlowFailureRatio;
    double source_weight = fill && (is_source_failure(cache_status) || abandoned) ? 1 : 0;
    if (fill && unknown && elapsed_ratio <= kSlowFailureRatio)
        source_weight = (source->health.failure_rate + kFailureRatePrior) /
                        (source->health.failure_rate + cache.health.failure_rate + 2 * kFailureRatePrior);
    if (source_weight > 0) {
        const bool unreachable = cache_status == CacheStatus::source_unreachable;
        breaker_.on_failure(*source, unreachable ? kUnreachableWeight : source_weight);
    }
    if (source_weight < 1) breaker_.on_failure(cache, 1 - source_weight);
    Target& late_target = fill ? *source : cache;
    if (elapsed_ratio > kSlowFailureRatio && late_target.last_response_at <= due_at)
        latency_.record_lateness(late_target, elapsed_ratio);
}

}  // namespace sumackeel::routing
