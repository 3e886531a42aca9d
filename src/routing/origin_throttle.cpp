#include "routing/origin_throttle.h"

#include <algorithm>

#include "routing/latency_prediction.h"

namespace sumackeel::routing {
namespace {

constexpr double kSlowdownGain = 0.25;    // weight of the newest first byte
constexpr double kCrowdedSlowdown = 1.3;  // from here on the origin is taken for crowded
constexpr double kMaxSingleSlowdown = 4;  // one first byte counts up to this
constexpr double kMaxUsualSamples = 64;   // first bytes that make up what is usual through a parent
constexpr double kMaxFillsWaiting = 64;   // of all routers together at a crowded origin

}  // namespace

double OriginThrottle::slowdown() const {
    return context_.faded(slowdown_, 1, kLatenessMemory);
}

bool OriginThrottle::is_crowded() const {
    return slowdown() > kCrowdedSlowdown;
}

bool OriginThrottle::is_turn() const {
    const double ahead = std::max(0.0, kUncrowdedOriginWait * slowdown() - turn_interval());
    return context_.now >= next_turn_at_ - static_cast<Micros>(ahead);
}

// Microseconds between two fills of this router; shorter than one wait where its part is several at once.
double OriginThrottle::turn_interval() const {
    return kUncrowdedOriginWait * slowdown() * std::max(1, context_.settings.instance_count) /
           kMaxFillsWaiting;
}

void OriginThrottle::take_turn() {
    const auto interval = static_cast<Micros>(turn_interval());
    const Micros from = is_crowded() ? std::max(context_.now, next_turn_at_) : context_.now;
    next_turn_at_ = from + interval / 2 + context_.jitter(interval);
}

void OriginThrottle::record(const InFlightAttempt& attempt, const AttemptFinished& result) {
    if (!attempt.source || attempt.source == attempt.cache) return;
    Target& source = *attempt.source;
    const bool answered =
        result.cache_status == CacheStatus::filled_by_origin && result.time_to_first_byte > 0;
    // A fill that timed out waited for the origin only if its source answered others meanwhile.
    const bool waited = attempt.may_fill && result.status == AttemptStatus::timed_out &&
                        source.last_response_at > attempt.sent_at;
    const double wait = static_cast<double>(answered ? result.time_to_first_byte : result.elapsed);
    const double slow = std::min(wait / source.usual_first_byte, kMaxSingleSlowdown);
    if (answered || (waited && slow > slowdown()))
        slowdown_ = {slowdown() + kSlowdownGain * (slow - slowdown()), context_.now};
    if (!answered) return;
    // A short crowd does not become the usual; what lasts does in the end.
    source.first_byte_samples = std::min(source.first_byte_samples + 1, kMaxUsualSamples);
    const double max_slow = std::max(kCrowdedSlowdown, kMaxSingleSlowdown / source.first_byte_samples);
    source.usual_first_byte +=
        (std::min(slow, max_slow) - 1) * source.usual_first_byte / source.first_byte_samples;
}

}  // namespace sumackeel::routing
