// Service metrics reported by members, and their sums for the gate of a release. Plain values.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "rollout/member.h"

namespace sumackeel::rollout {

// Bucket i counts responses that took up to 2^i ms.
constexpr std::size_t kLatencyBuckets = 16;

// Counters of one process since its start.
struct MemberMetrics {
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;                                        // includes deadlines exceeded
    std::array<std::uint64_t, kLatencyBuckets> latency_histogram{};  // of served requests
    std::uint64_t dispatch_time_us = 0;  // sum over requests, from arrival to first attempt
    std::uint64_t dispatched = 0;        // requests in that sum
    std::uint64_t memory_kb = 0;         // current resident set size

    std::uint64_t requests() const { return served + rejected + failed; }
    bool operator==(const MemberMetrics&) const = default;
};

// A member's report to the leader.
struct MemberReport {
    std::string member;
    std::string version;
    std::uint64_t start = 0;  // see RunningVersion::start
    MemberMetrics metrics;
};

// Metrics summed over members and a period.
struct MetricsSum {
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0;  // served within GateThresholds::in_time
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t dispatch_time_us = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t memory_kb = 0;
    std::uint64_t members = 0;

    MetricsSum& operator+=(const MetricsSum& other);
    bool operator==(const MetricsSum&) const = default;
};

}  // namespace sumackeel::rollout
