// Outlier detection: what a finished attempt says of its cache and of its source, for the breaker and for the
// lateness of each.
//
// Blaming a cache for its source's failure would eject healthy caches one after another. The cache status
// decides; without one, a fill that failed only after a wait was abandoned by its source, and a quick failure
// is put down to the more suspect of the two.
#pragma once

#include "routing/circuit_breaker.h"
#include "routing/latency_prediction.h"

namespace sumackeel::routing {

class OutlierDetection {
  public:
    OutlierDetection(const DecisionContext& context, EndpointTable& endpoints, CircuitBreaker& breaker,
                     LoadEstimate& load, LatencyPrediction& latency)
        : context_(context), endpoints_(endpoints), breaker_(breaker), load_(load), latency_(latency) {}

    // Records which of the attempt's endpoints responded and which could not be reached.
    void record_reachability(const InFlightAttempt& attempt, const AttemptFinished& result);

    // Learns lateness and failures; the attempt has already been taken out of the load.
    void record_result(const InFlightAttempt& attempt, const AttemptFinished& result);

  private:
    // The attempt, seen after its end.
    struct Observation {
        const InFlightAttempt& attempt;
        const AttemptFinished& result;
        Target& cache;
        Target* source = nullptr;  // null: the cache itself
        bool hit = false;
        bool fill = false;
        double elapsed_ratio = 0;      // over the expected time
        double elapsed_hit_ratio = 0;  // over the time of a hit
    };

    Observation observe(const InFlightAttempt& attempt, const AttemptFinished& result);
    void record_served(const Observation& seen);
    void record_overloaded(const Observation& seen);
    void record_failed(const Observation& seen, CacheStatus cache_status, bool fill, double elapsed_ratio,
                       Micros due_at);

    const DecisionContext& context_;
    EndpointTable& endpoints_;
    CircuitBreaker& breaker_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
};

}  // namespace sumackeel::routing
