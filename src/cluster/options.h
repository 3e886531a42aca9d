// Settings and bounds of the membership protocol.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace sumackeel::cluster {

using base::Micros;

constexpr std::size_t kMaxMembers = 4'096;
constexpr std::size_t kMaxSuspectors = 8;  // suspicions stored about one member
constexpr int kWorstHealth = 8;            // the local health score ranges from 0, healthy, to this

// Times are microseconds.
struct Options {
    Micros protocol_period = 1'000'000;   // between two pings
    Micros ping_timeout = 400'000;        // for a direct ack; well under the period
    int indirect_pings = 3;               // members asked to ping when no direct ack arrives
    int required_suspectors = 2;          // different suspectors needed to declare a member dead
    double min_suspicion = 4;             // shortest suspicion: this times log10 of the size, in periods
    double suspicion_stretch = 6;         // longest over shortest, with one suspector
    int retransmissions = 4;              // gossip is sent this many times log10 of the size
    Micros forget_after = 3'600'000'000;  // a dead or left member is remembered this long
    Micros exchange_interval = 30'000'000;
    Micros size_settle_time = 60'000'000;  // time in which a falling cluster size would reach zero
    // Off: plain SWIM, the baseline of docs/bench/group.md. No local health, no shortened suspicion, no
    // buddy system, no liveness by received datagrams, no handling of pauses, and one suspector is enough.
    bool lifeguard = true;
};

}  // namespace sumackeel::cluster
