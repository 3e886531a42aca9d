// Origin throttle: limits the fills that wait at an origin that is slower than usual.
//
// An overloaded origin may stop serving altogether, and each fill that times out is requested again. So while
// the origin is congested, the number of fills that all routers together have waiting there is limited: fills
// are sent at the rate at which they are served, and the routers take turns. Other requests get what the
// parents have cached.
#pragma once

#include "routing/circuit_breaker.h"

namespace sumackeel::routing {

class OriginThrottle {
  public:
    OriginThrottle(DecisionContext& context, const EndpointTable& endpoints, const CircuitBreaker& breaker)
        : context_(context), endpoints_(endpoints), breaker_(breaker) {}

    // Whether an origin is known but no fill may be sent to it now.
    bool is_blocked() const {
        const Target* origin = endpoints_.origin();
        return origin && (!breaker_.admits(*origin) || (is_congested() && !is_turn()));
    }

    bool is_congested() const;

    // Whether the interval since this router's previous fill allows the next one.
    bool is_turn() const;

    // Records that a fill is sent that may reach the origin.
    void take_turn();

    // Updates the origin's slowdown from a finished attempt.
    void record(const InFlightAttempt& attempt, const AttemptFinished& result);

  private:
    double slowdown() const;
    double turn_interval() const;

    DecisionContext& context_;
    const EndpointTable& endpoints_;
    const CircuitBreaker& breaker_;
    // Recent over typical time to first byte through the same parent, since parents differ in their distance
    // to the origin.
    DecayedMean slowdown_{1, 0};
    Micros next_turn_at_ = 0;
};

}  // namespace sumackeel::routing
