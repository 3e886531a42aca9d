// The record of one endpoint, and of one attempt in flight there. The modules of src/routing keep their
// fields in it so that a candidate is judged from one place in memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/decayed_mean.h"
#include "routing/router.h"

namespace sumackeel::routing {

enum class Role { cache, parent, origin, foreign };  // foreign: a cache of another zone

struct Target;

// An attempt in flight, kept also after its request is over, for prediction and lateness.
struct InFlightAttempt {
    // When a response is due. A target that responded to others after this lost this one response alone; one
    // that did not may hang.
    Micros due_at() const { return sent_at + static_cast<Micros>(expected_time); }

    Target* cache = nullptr;
    Target* source = nullptr;
    Micros sent_at = 0;
    double service_clock_at_start = 0;  // the cache's service clock when the attempt was sent
    double expected_hit_time = 0;       // microseconds of service if the copy is there
    double expected_time = 0;           // microseconds
    double ingress_probability = 0;     // that it occupies the zone's ingress link; 0 for a coalesced request
    bool may_fill = false;              // may wait for a source
    bool origin_trial = false;          // may reach an origin whose breaker is half open
};

enum class BreakerState { closed, open, half_open };  // half open: one trial attempt is in flight

// Outlier state of one target: lateness, failures and its circuit breaker.
struct Health {
    DecayedMean lateness{1, 0};  // observed over expected time
    double failure_rate = 0;
    Micros open_until = 0;
    Micros open_duration = 0;
    BreakerState breaker = BreakerState::closed;
};

// Microseconds to the first byte by way of a parent and an origin that is not crowded.
constexpr double kUncrowdedOriginWait = 160'000;

constexpr std::size_t kNotInZoneTable = static_cast<std::size_t>(-1);

struct Target {
    Endpoint entry;
    std::size_t zone_index = kNotInZoneTable;  // row in the table of the zone's caches
    std::uint64_t hash = 0;                    // of its name
    Role role = Role::foreign;
    Health health;
    std::vector<const InFlightAttempt*> in_flight;
    double fills_in_flight = 0;      // expected number of them that occupy the ingress link
    DecayedMean mean_in_flight;      // attempts of this router
    DecayedMean reported_by_others;  // attempts of other routers, by load report
    double service_clock = 0;  // microseconds of service at full rate that each present transfer has had
    Micros service_clock_at = 0;
    DecayedMean cold_debt;            // work sent in slow start that its part of the budget has not paid off
    Micros last_response_at = 0;      // as a source, too
    int consecutive_unreachable = 0;  // since its last response
    double usual_first_byte = kUncrowdedOriginWait;  // microseconds; of fills from the origin through it
    double first_byte_samples = 1;
    bool awaiting_first_response = false;  // known from an old list only
};

}  // namespace sumackeel::routing
