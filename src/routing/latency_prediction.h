// Latency prediction: estimates response times from the request's size and from the load and lateness of the
// endpoints on its path.
#pragma once

#include "routing/load_estimate.h"
#include "routing/request.h"

namespace sumackeel::routing {

constexpr double kBaseLatency = 30.0 * kMillisecond;  // connection, network and small delays of any response
// Time to first byte from a parent that may have to fetch from the origin.
constexpr double kFillDelay = 80.0 * kMillisecond;
constexpr double kLatenessTimeConstant = 6.0 * kSecond;  // without decay a late target would never be retried
constexpr double kObjectiveMargin = 1.15;  // later requests slow a transfer by about this factor

enum class FillKind { full, revalidation };  // a revalidation contacts the source but transfers few bytes

class LatencyPrediction {
  public:
    LatencyPrediction(const DecisionContext& context, LoadEstimate& load) : context_(context), load_(load) {}

    // Microseconds until the response is complete; `source` is null if no fill is expected.
    double predict(const Request& request, const Target& cache, const Target* source, FillKind kind);

    // Factor by which the target is slower than expected, including its attempts still in flight.
    double slowdown(const Target& target);

    // Like slowdown(), from finished attempts only.
    double observed_lateness(const Target& target) const;

    // Elapsed over expected time of the attempt: wall time for a possible fill, service time for a hit.
    double elapsed_ratio(const Target& target, const InFlightAttempt& attempt);

    // Updates the target's lateness from a finished attempt.
    void record_lateness(Target& target, double ratio);

    // Hit ratio of requests to caches that were not proven to hold a copy.
    double unproven_hit_ratio() const { return unproven_hit_ratio_; }
    void record_unproven(bool hit);

  private:
    const DecisionContext& context_;
    LoadEstimate& load_;
    double unproven_hit_ratio_ = 0;
};

}  // namespace sumackeel::routing
