// State of this member that the parts of the membership protocol share: options, clock, random numbers, its
// own record, its health and its counters. Internal to src/cluster. Owned by Membership.
#pragma once

#include <cstdint>
#include <random>

#include "cluster/membership_metrics.h"
#include "cluster/messages.h"
#include "cluster/options.h"

namespace sumackeel::cluster {

struct LocalState {
    const Options options;
    MemberRecord self;
    std::mt19937_64 random;
    Micros now = 0;
    // When the latest pause of this process ended; 0: none. A member is declared dead only if it was pinged
    // after that time.
    Micros resumed_at = 0;
    int health = 0;  // Lifeguard's local health score: 0, healthy, to kWorstHealth
    MembershipMetrics metrics;

    // A timeout of this member's own pings, extended while its local health is degraded.
    Micros stretched(Micros span) const { return span * (1 + health); }
    // Up to a tenth less than `span`, so that members that start together do not stay synchronized.
    Micros jittered(Micros span);
    void degrade_health();
    void improve_health();
};

}  // namespace sumackeel::cluster
