#include "routing/origin_throttle.h"

#include <algorithm>

#include "routing/latency_prediction.h"

namespace sumackeel::routing {
namespace {

constexpr double kSlowdownGain = 0.25;       // weight of the latest sample
constexpr double kCongestedSlowdown = 1.3;   // the origin counts as congested above this
constexpr double kMaxSingleSlowdown = 4;     // upper bound of a single sample
constexpr double kMaxFirstByteSamples = 64;  // samples averaged for the typical time through a parent
constexpr double kMaxFillsWaiting = 64;      // of all routers together at a congested origin

}  // namespace

double OriginThrottle::slowdown() const {
    return context_.decayed(slowdown_, 1, kLatenessTimeConstant);
}

bool OriginThrottle::is_congested() const {
    return slowdown() > kCongestedSlowdown;
}

bool OriginThrottle::is_turn() const {
    const double burst_tolerance = std::max(0.0, kUncongestedOriginWait * slowdown() - turn_interval());
    return context_.now >= next_turn_at_ - static_cast<Micros>(burst_tolerance);
}

// Microseconds between fills of this router. Shorter than one origin wait if its share allows concurrent
// fills.
double OriginThrottle::turn_interval() const {
    return kUncongestedOriginWait * slowdown() * std::max(1, context_.settings.instance_count) /
           kMaxFillsWaiting;
}

void OriginThrottle::take_turn() {
    const auto interval = static_cast<Micros>(turn_interval());
    const Micros from = is_congested() ? std::max(context_.now, next_turn_at_) : context_.now;
    next_turn_at_ = from + interval / 2 + context_.jitter(interval);
}

void OriginThrottle::record(const InFlightAttempt& attempt, const AttemptFinished& result) {
    if (!attempt.source || attempt.source == attempt.cache) return;
    Target& source = *attempt.source;
    const bool answered =
        result.cache_status == CacheStatus::filled_by_origin && result.time_to_first_byte > 0;
    // A timed out fill is attributed to the origin only if its source responded to others meanwhile.
    const bool waited = attempt.may_fill && result.status == AttemptStatus::timed_out &&
                        source.last_response_at > attempt.sent_at;
    const double wait = static_cast<double>(answered ? result.time_to_first_byte : result.elapsed);
    const double sample = std::min(wait / source.typical_first_byte_time, kMaxSingleSlowdown);
    if (answered || (waited && sample > slowdown()))
        slowdown_ = {slowdown() + kSlowdownGain * (sample - slowdown()), context_.now};
    if (!answered) return;
    // Bounded, so that brief congestion does not change the typical time, but lasting changes eventually do.
    source.first_byte_samples = std::min(source.first_byte_samples + 1, kMaxFirstByteSamples);
    const double max_sample = std::max(kCongestedSlowdown, kMaxSingleSlowdown / source.first_byte_samples);
    source.typical_first_byte_time +=
        (std::min(sample, max_sample) - 1) * source.typical_first_byte_time / source.first_byte_samples;
}

}  // namespace sumackeel::routing
