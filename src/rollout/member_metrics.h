// What members measure of their own service, and sums of it for a release's gate. Plain values.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "rollout/member.h"

namespace sumackeel::rollout {

// Bucket i counts responses that took up to 2^i ms.
constexpr std::size_t kLatencyBuckets = 16;

// What one process did since its start.
struct MemberMetrics {
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;                                        // includes deadlines exceeded
    std::array<std::uint64_t, kLatencyBuckets> latency_histogram{};  // of requests served
    std::uint64_t dispatch_time_us = 0;  // from a request's arrival to its first attempt, summed
    std::uint64_t dispatched = 0;        // requests in that sum
    std::uint64_t memory_kb = 0;         // resident, now

    std::uint64_t requests() const { return served + rejected + failed; }
    bool operator==(const MemberMetrics&) const = default;
};

// What a member reports of itself to the leader.
struct MemberReport {
    std::string member;
    std::string version;
    std::uint64_t start = 0;  // as RunningVersion::start
    MemberMetrics metrics;
};

// Metrics added up over members and a span of time.
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
