#include "rollout/gate.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace sumackeel::rollout {

namespace {

// Significance threshold in standard deviations; high because a soak runs the comparison a few hundred times.
constexpr double kSignificance = 4;
constexpr std::uint64_t kMinRequestsToFail = 30;  // in each group
constexpr std::uint64_t kMinBadRequests = 5;      // with fewer, the normal approximation is not valid
// Smaller differences are ignored.
constexpr double kDispatchTimeToleranceUs = 1'000;
constexpr double kMemoryToleranceKb = 16'384;

// A subset of a number of requests.
struct Share {
    std::uint64_t count = 0;
    std::uint64_t requests = 0;
};

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double ratio(const Share& share) {
    return ratio(share.count, share.requests);
}

// Whether the changed share exceeds the unchanged one by more than `allowed` and significantly.
bool is_worse(const Share& changed, const Share& unchanged, double allowed) {
    if (changed.count < kMinBadRequests || unchanged.requests == 0) return false;
    const double pooled = ratio(changed.count + unchanged.count, changed.requests + unchanged.requests);
    const double deviation = std::sqrt(
        pooled * (1 - pooled) *
        (1.0 / static_cast<double>(changed.requests) + 1.0 / static_cast<double>(unchanged.requests)));
    return ratio(changed) - ratio(unchanged) > allowed + kSignificance * deviation;
}

std::string percent(const Share& share) {
    return fmt::format("{:.1f}%", 100 * ratio(share));
}

GateResult failed(std::string reason) {
    return {GateOutcome::failed, std::move(reason)};
}

Share late(const MetricsSum& sum) {
    return {sum.requests - sum.failed - sum.rejected - sum.in_time, sum.requests};
}

GateResult compare_shares(const MetricsSum& changed, const MetricsSum& unchanged,
                          const GateThresholds& thresholds) {
    struct Comparison {
        const char* name;
        Share changed, unchanged;
        double allowed;
    };
    const Comparison comparisons[] = {
        {"failed",
         {changed.failed, changed.requests},
         {unchanged.failed, unchanged.requests},
         thresholds.max_failure_increase},
        {"refused",
         {changed.rejected, changed.requests},
         {unchanged.rejected, unchanged.requests},
         thresholds.max_rejection_increase},
        {"late", late(changed), late(unchanged), thresholds.max_late_increase},
    };
    for (const Comparison& comparison : comparisons)
        if (is_worse(comparison.changed, comparison.unchanged, comparison.allowed))
            return failed(fmt::format("{} {}, {} of the others", percent(comparison.changed), comparison.name,
                                      percent(comparison.unchanged)));
    return {};
}

GateResult compare_dispatch_time(const MetricsSum& changed, const MetricsSum& unchanged,
                                 const GateThresholds& thresholds) {
    const double time = ratio(changed.dispatch_time_us, changed.dispatched);
    const double other_time = ratio(unchanged.dispatch_time_us, unchanged.dispatched);
    if (time > other_time * thresholds.max_dispatch_time_ratio + kDispatchTimeToleranceUs)
        return failed(fmt::format("own time {:.0f} us, {:.0f} of the others", time, other_time));
    return {};
}

GateResult compare_memory(const MetricsSum& changed, const MetricsSum& unchanged,
                          const GateThresholds& thresholds) {
    constexpr double kKibPerMib = 1'024;
    const double memory = ratio(changed.memory_kb, changed.members);
    const double other_memory = ratio(unchanged.memory_kb, unchanged.members);
    if (memory > other_memory * thresholds.max_memory_ratio + kMemoryToleranceKb)
        return failed(fmt::format("{:.0f} MiB resident, {:.0f} of the others", memory / kKibPerMib,
                                  other_memory / kKibPerMib));
    return {};
}

GateResult compare(const MetricsSum& changed, const MetricsSum& unchanged, const GateThresholds& thresholds,
                   bool soak_complete) {
    GateResult result = compare_shares(changed, unchanged, thresholds);
    if (result.outcome != GateOutcome::failed && soak_complete)
        result = compare_dispatch_time(changed, unchanged, thresholds);
    if (result.outcome != GateOutcome::failed) result = compare_memory(changed, unchanged, thresholds);
    return result;
}

}  // namespace

GateResult evaluate_gate(const MetricsSum& changed, const MetricsSum& unchanged,
                         const GateThresholds& thresholds, bool soak_complete) {
    const std::uint64_t min_to_fail = std::min(thresholds.min_requests, kMinRequestsToFail);
    if (changed.requests >= min_to_fail && unchanged.requests >= min_to_fail) {
        GateResult result = compare(changed, unchanged, thresholds, soak_complete);
        if (result.outcome == GateOutcome::failed) return result;
    }
    if (!soak_complete) return {};
    if (changed.requests < thresholds.min_requests)
        return failed(fmt::format("a gate without data: {} requests of the {} wanted", changed.requests,
                                  thresholds.min_requests));
    if (unchanged.requests < thresholds.min_requests)
        return failed(fmt::format("nobody to compare with: {} requests of the {} wanted", unchanged.requests,
                                  thresholds.min_requests));
    return {GateOutcome::passed, {}};
}

}  // namespace sumackeel::rollout
