#include "routing/latency_prediction.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kLatenessGain = 0.25;  // weight of the latest response
constexpr double kMinLateness = 0.5;
constexpr double kMaxLateness = 20;  // limits the lasting effect of a single extreme response
constexpr double kHitRatioGain = 0.05;
constexpr double kMaxHitRatio = 0.95;

}  // namespace

double LatencyPrediction::predict(const Request& request, const Target& cache, const Target* source,
                                  FillKind kind) {
    const double cache_slowdown = slowdown(cache);
    // Assumes constant load: new requests replace those that finish.
    double service_time = request.transfer_time * std::max(1.0, load_.load(cache, 1)) * cache_slowdown;
    const double ingress_time = kind == FillKind::revalidation
                                    ? request.transfer_time
                                    : request.transfer_time / load_.ingress_share(1);
    if (source) service_time = (std::max(service_time, ingress_time) + kFillDelay) * slowdown(*source);
    return kBaseLatency + service_time;
}

double LatencyPrediction::slowdown(const Target& target) {
    double value = observed_lateness(target);
    for (const InFlightAttempt* attempt : target.in_flight) {
        // Overdue attempts in flight reveal a hang before any response does.
        if (target.last_response_at <= attempt->due_at())
            value = std::max(value, elapsed_ratio(target, *attempt) / (attempt->may_fill ? 2 : 1));
    }
    return std::clamp(value, kMinLateness, kMaxLateness);
}

double LatencyPrediction::observed_lateness(const Target& target) const {
    return context_.decayed(target.health.lateness, 1, kLatenessTimeConstant);
}

double LatencyPrediction::elapsed_ratio(const Target& target, const InFlightAttempt& attempt) {
    if (attempt.may_fill) return static_cast<double>(context_.now - attempt.sent_at) / attempt.expected_time;
    return (load_.service_clock(target) - attempt.service_clock_at_start) / attempt.expected_time;
}

void LatencyPrediction::record_lateness(Target& target, double ratio) {
    const double previous = observed_lateness(target);
    const double bounded = std::clamp(ratio, kMinLateness, kMaxLateness);
    target.health.lateness = {previous + kLatenessGain * (bounded - previous), context_.now};
}

void LatencyPrediction::record_unproven(bool hit) {
    unproven_hit_ratio_ += kHitRatioGain * ((hit ? kMaxHitRatio : 0) - unproven_hit_ratio_);
}

}  // namespace sumackeel::routing
