// Outlier detection: attributes the result of a finished attempt to its cache or its source, and updates
// their breakers and lateness.
//
// Attributing a source's failure to the cache would eject one healthy cache after another. The cache status
// decides. Without one, a fill that failed after a long wait is attributed to the source, and a quick failure
// is divided between the two in proportion to their failure rates.
#pragma once

#include "routing/circuit_breaker.h"
#include "routing/latency_prediction.h"

namespace sumackeel::routing {

class OutlierDetection {
  public:
    OutlierDetection(const DecisionContext& context, EndpointTable& endpoints, CircuitBreaker& breaker,
                     LoadEstimate& load, LatencyPrediction& latency)
        : context_(context), endpoints_(endpoints), breaker_(breaker), load_(load), latency_(latency) {}

    // Records which of the attempt's endpoints responded and which were unreachable.
    void record_reachability(const InFlightAttempt& attempt, const AttemptFinished& result);

    // Updates lateness and failure rates. The attempt must already be removed from the load estimate.
    void record_result(const InFlightAttempt& attempt, const AttemptFinished& result);

  private:
    // Evaluation of a finished attempt.
    struct Observation {
        const InFlightAttempt& attempt;
        const AttemptFinished& result;
        Target& cache;
        Target* source = nullptr;  // null: the cache itself
        bool hit = false;
        bool fill = false;
        double elapsed_ratio = 0;      // elapsed over expected time
        double elapsed_hit_ratio = 0;  // elapsed over expected time of a hit
    };

    Observation observe(const InFlightAttempt& attempt, const AttemptFinished& result);
    void record_served(const Observation& observation);
    void record_overloaded(const Observation& observation);
    void record_failed(const Observation& observation, CacheStatus cache_status, bool fill,
                       double elapsed_ratio, Micros due_at);

    const DecisionContext& context_;
    EndpointTable& endpoints_;
    CircuitBreaker& breaker_;
    LoadEstimate& load_;
    LatencyPrediction& latency_;
};

}  // namespace sumackeel::routing
