// Origin throttle: bounds the fills that wait at an origin which is slower than usual.
//
// Far more than an origin can do stops it for everybody, and each fill that times out there is asked for once
// more. So while the origin is crowded, the fills that all routers have waiting there are bounded: as many
// are sent as are answered, and each router takes its turn. Other requests get what parents have cached.
#pragma once

#include "routing/circuit_breaker.h"

namespace sumackeel::routing {

class OriginThrottle {
  public:
    OriginThrottle(DecisionContext& context, const EndpointTable& endpoints, const CircuitBreaker& breaker)
        : context_(context), endpoints_(endpoints), breaker_(breaker) {}

    // An origin is known, and a fill may not go to it now.
    bool is_blocked() const {
        const Target* origin = endpoints_.origin();
        return origin && (!breaker_.admits(*origin) || (is_crowded() && !is_turn()));
    }

    bool is_crowded() const;

    // Whether this router's next fill may go, as far as the spacing is concerned.
    bool is_turn() const;

    // A fill that may reach the origin is sent.
    void take_turn();

    // Learns from a finished attempt how long the origin takes.
    void record(const InFlightAttempt& attempt, const AttemptFinished& result);

  private:
    double slowdown() const;
    double turn_interval() const;

    DecisionContext& context_;
    const EndpointTable& endpoints_;
    const CircuitBreaker& breaker_;
    // Recent first bytes over what is usual through the same parent; parents are not equally far from the
    // origin.
    DecayedMean slowdown_{1, 0};
    Micros next_turn_at_ = 0;
};

}  // namespace sumackeel::routing
