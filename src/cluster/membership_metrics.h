// Counters of the membership protocol.
#pragma once

#include <cstdint>

namespace sumackeel::cluster {

// Counts since the start of the process.
struct MembershipMetrics {
    std::uint64_t pings = 0;           // own direct pings
    std::uint64_t failed_pings = 0;    // without an ack, direct or through a relay
    std::uint64_t indirect_pings = 0;  // pings for which relays were asked
    std::uint64_t refutations = 0;     // suspicions of this member that it refuted by a newer record
    std::uint64_t pauses = 0;          // pauses of this process
    std::uint64_t deaths = 0;
    std::uint64_t revivals = 0;
    std::uint64_t merged_states = 0;
    std::uint64_t rejected = 0;  // records and suspicions dropped: table full or member unknown
};

}  // namespace sumackeel::cluster
