// Counters of the membership protocol.
#pragma once

#include <cstdint>

namespace sumackeel::cluster {

// Counts since the start of the process.
struct MembershipMetrics {
    std::uint64_t pings = 0;           // direct pings of its own
    std::uint64_t failed_pings = 0;    // that no ack came for, neither directly nor through others
    std::uint64_t indirect_pings = 0;  // pings for which others were asked to try
    std::uint64_t refutations = 0;     // suspicions of this member that it answered by a newer record
    std::uint64_t pauses = 0;          // pauses of this process
    std::uint64_t deaths = 0;
    std::uint64_t revivals = 0;
    std::uint64_t merged_states = 0;
    std::uint64_t rejected = 0;  // records and suspicions that had no room or named an unknown member
};

}  // namespace sumackeel::cluster
