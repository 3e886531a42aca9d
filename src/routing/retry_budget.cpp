#include "routing/retry_budget.h"

#include <algorithm>
#include <cstddef>

#include "routing/latency_prediction.h"

namespace sumackeel::routing {
namespace {

constexpr double kRetriesPerRequest = 0.25;
// For small objects, connection and source take longer than the transfer.
constexpr Micros kMinTimeout = 250 * kMillisecond;
// The last attempt ends this long before the client gives up.
constexpr Micros kDeadlineMargin = 12 * kMillisecond;
constexpr Micros kMinUsefulTime = 20 * kMillisecond;  // a shorter attempt can't succeed
// Before the second retry; doubles with each retry, with jitter.
constexpr Micros kFirstBackoff = 15 * kMillisecond;
constexpr std::size_t kMaxBackoffDoublings = 4;

}  // namespace

void RetryBudget::record_request() {
    retries_ = std::min(kMaxRetryBudget, retries_ + kRetriesPerRequest);
}

void RetryBudget::set_deadlines(Request& request) const {
    const RequestReceived& arrival = request.arrival;
    request.deadline = context_.now + std::min(arrival.time_left, arrival.shutdown_in);
    // An estimated size must not cause a request to be given up early.
    const auto transfer = static_cast<Micros>(arrival.size_kb > 0 ? request.transfer_time : 0);
    request.last_useful_send = request.deadline - kDeadlineMargin - std::max(kMinUsefulTime, transfer);
}

Micros RetryBudget::timeout(const Request& request, const RoutePlan& plan) const {
    const Micros time_left = request.deadline - context_.now - kDeadlineMargin;
    const bool is_last = !attempts_left(request) || retries_ < 1 ||
                         class_of(context_.settings, request).retry_safety == RetrySafety::not_idempotent;
    const auto attempt_timeout =
        std::max(kMinTimeout, static_cast<Micros>(kTimeoutMultiple * plan.expected_time));
    const auto next_attempt_time = static_cast<Micros>(request.transfer_time + kBaseLatency + kFillDelay);
    return is_last || attempt_timeout + next_attempt_time > time_left ? time_left : attempt_timeout;
}

RetryDecision RetryBudget::decide(Request& request, const AttemptFinished& result) {
    constexpr RetryDecision kGiveUp{};
    if (result.status == AttemptStatus::not_sent) return kGiveUp;
    // Errors at more than one cache are caused by the request itself. Further retries would use up the retry
    // budget and eject healthy caches.
    if (result.status == AttemptStatus::error && result.cache_status == CacheStatus::unknown &&
        ++request.errors > 1)
        return kGiveUp;
    const bool not_found = result.status == AttemptStatus::not_found;
    // The parents tried so far lack the object, and the origin may not be contacted.
    if (not_found && origin_throttle_.is_blocked() && request.attempts.size() > 1) return kGiveUp;
    const bool uses_budget = !not_found && result.status != AttemptStatus::withheld;
    if (uses_budget && retries_ < 1) return kGiveUp;
    if (uses_budget) retries_ -= 1;
    const std::size_t attempts = request.attempts.size();
    if (attempts < 2) return {RetryKind::now};
    const Micros backoff = kFirstBackoff << std::min(attempts - 2, kMaxBackoffDoublings);
    const Micros at = context_.now + backoff / 2 + context_.jitter(backoff / 2);
    // Waiting past the deadline would leave the request without a response.
    if (at >= request.last_useful_send) return kGiveUp;
    return {RetryKind::later, at};
}

}  // namespace sumackeel::routing
