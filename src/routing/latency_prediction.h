// Latency prediction: how long a response will take, from the request's size, the load and the lateness of
// the endpoints on its way.
#pragma once

#include "routing/load_estimate.h"
#include "routing/request.h"

namespace sumackeel::routing {

constexpr double kBaseLatency = 30.0 * kMillisecond;  // connection, network and small waits of any response
constexpr double kFillDelay =
    80.0 * kMillisecond;                           // first byte from a parent that may have to ask the origin
constexpr double kLatenessMemory = 6.0 * kSecond;  // time constant; without it a late target is never retried
constexpr double kObjectiveMargin = 1.15;  // requests still to arrive slow a transfer by about this factor

enum class FillKind { full, revalidation };  // a revalidation asks the source but moves few bytes

class LatencyPrediction {
  public:
    LatencyPrediction(const DecisionContext& context, LoadEstimate& load) : context_(context), load_(load) {}

    // Microseconds until the response is complete; `source` is null where no fill is expected.
    double predict(const Request& request, const Target& cache, const Target* source, FillKind kind);

    // Factor by which the target is slower than expected, with the attempts still in flight there.
    double slowdown(const Target& target);

    // The same by finished attempts alone.
    double observed_lateness(const Target& target) const;

    // Time the attempt has taken over the time expected: of a fill by the clock, of a hit by its service.
    double elapsed_ratio(const Target& target, const InFlightAttempt& attempt);

    // Learns from a finished attempt.
    void record_lateness(Target& target, double ratio);

    // Fraction of hits among requests for which there was no proof of a copy.
    double unproven_hit_ratio() const { return unproven_hit_ratio_; }
    void record_unproven(bool hit);

  private:
    const DecisionContext& context_;
    LoadEstimate& load_;
    double unproven_hit_ratio_ = 0;
};

}  // namespace sumackeel::routing
