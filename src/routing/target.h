// State of one endpoint and of an attempt in flight to it. All modules of src/routing store their
// per-endpoint fields here, so that evaluating a candidate touches a single memory region.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/decayed_mean.h"
#include "routing/router.h"

namespace sumackeel::routing {

enum class Role { cache, parent, origin, other_zone };  // other_zone: a cache of another zone

struct Target;

// An attempt in flight. Kept after its request has finished, for latency prediction and lateness.
struct InFlightAttempt {
    // When a response is due. If the target has responded to others after this time, only this response was
    // lost; otherwise the target may hang.
    Micros due_at() const { return sent_at + static_cast<Micros>(expected_time); }

    Target* cache = nullptr;
    Target* source = nullptr;
    Micros sent_at = 0;
    double service_clock_at_start = 0;  // the cache's service clock when the attempt was sent
    double expected_hit_time = 0;       // microseconds of service for a hit
    double expected_time = 0;           // microseconds
    double ingress_probability = 0;     // of occupying the zone's ingress link; 0 for a coalesced request
    bool may_fill = false;              // may wait for a source
    bool origin_trial = false;          // may reach an origin whose breaker is half open
};

enum class BreakerState { closed, open, half_open };  // half_open: one trial attempt is in flight

// Outlier detection state of one target: lateness, failure rate and circuit breaker.
struct Health {
    DecayedMean lateness{1, 0};  // observed over expected time
    double failure_rate = 0;
    Micros open_until = 0;
    Micros open_duration = 0;
    BreakerState breaker = BreakerState::closed;
};

// Microseconds to first byte through a parent from an uncongested origin.
constexpr double kUncongestedOriginWait = 160'000;

constexpr std::size_t kNotInZoneTable = static_cast<std::size_t>(-1);

struct Target {
    Endpoint entry;
    std::size_t zone_index = kNotInZoneTable;  // index in the zone table
    std::uint64_t hash = 0;                    // of the endpoint's name
    Role role = Role::other_zone;
    Health health;
    std::vector<const InFlightAttempt*> in_flight;
    double fills_in_flight = 0;  // expected number of attempts in flight that occupy the ingress link
    DecayedMean mean_in_flight;  // attempts of this router
    DecayedMean others_reported_in_flight;  // attempts of other routers, from load reports
    double service_clock = 0;  // microseconds of service at full rate received by each present transfer
    Micros service_clock_at = 0;
    DecayedMean cold_debt;            // work sent in slow start that is not yet paid off by the budget share
    Micros last_response_at = 0;      // including responses as a source
    int consecutive_unreachable = 0;  // since the last response
    // Microseconds, for origin fills through this parent.
    double typical_first_byte_time = kUncongestedOriginWait;
    double first_byte_samples = 1;
    bool awaiting_first_response = false;  // known only from an old list
};

}  // namespace sumackeel::routing
