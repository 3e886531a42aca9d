#include "routing/retry_budget.h"

#include <algorithm>
#include <cstddef>

#include "routing/latency_prediction.h"

namespace sumackeel::routing {
namespace {

constexpr double kRetriesPerRequest = 0.25;
constexpr Micros kMinTimeout = 250 * kMillisecond;  // of small objects connection and source take longer
constexpr Micros kDeadlineMargin =
    12 * kMillisecond;  // the last attempt ends so long before the client gives up
constexpr Micros kMinUsefulTime = 20 * kMillisecond;  // a shorter attempt can't succeed
constexpr Micros kFirstBackoff = 15 * kMillisecond;   // before the second retry; then doubled, with jitter
constexpr std::size_t kMaxBackoffDoublings = 4;

}  // namespace

void RetryBudget::record_request() {
    retries_ = std::min(kMaxSavedRetries, retries_ + kRetriesPerRequest);
}

void RetryBudget::set_deadlines(Request& request) const {
    const RequestReceived& arrival = request.arrival;
    request.deadline = context_.now + std::min(arrival.time_left, arrival.shutdown_in);
    // A size that is only guessed gives no reason to end a request early.
    const auto transfer = static_cast<Micros>(arrival.size_kb > 0 ? request.transfer_time : 0);
    request.last_useful_send = request.deadline - kDeadlineMargin - std::max(kMinUsefulTime, transfer);
}

Micros RetryBudget::timeout(const Request& request, const RoutePlan& plan) const {
    const Micros left = request.deadline - context_.now - kDeadlineMargin;
    const bool last = !attempts_left(request) || retries_ < 1 ||
                      class_of(context_.settings, request).retry_safety == RetrySafety::not_idempotent;
    const auto wait = std::max(kMinTimeout, static_cast<Micros>(kTimeoutMultiple * plan.expected_time));
    const auto another = static_cast<Micros>(request.transfer_time + kBaseLatency + kFillDelay);
    return last || wait + another > left ? left : wait;
}

RetryDecision RetryBudget::decide(Request& request, const AttemptFinished& result) {
    constexpr RetryDecision kGiveUp{};
    if (result.status == AttemptStatus::not_sent) return kGiveUp;
    // An error that a request meets at one cache after another is its own. Tried on, it would use up the
    // retry budget and have the caches ejected.
    if (result.status == AttemptStatus::error && result.cache_status == CacheStatus::unknown &&
        ++request.errors > 1)
        return kGiveUp;
    const bool not_found = result.status == AttemptStatus::not_found;
    // No parent that was asked has it, and the origin may not be asked.
    if (not_found && origin_throttle_.is_blocked() && request.attempts.size() > 1) return kGiveUp;
    if (!not_found && retries_ < 1) return kGiveUp;
    if (!not_found) retries_ -= 1;
    const std::size_t attempts = request.attempts.size();
    if (attempts < 2) return {RetryKind::now};
    const Micros backoff = kFirstBackoff << std::min(attempts - 2, kMaxBackoffDoublings);
    const Micros at = context_.now + backoff / 2 + context_.jitter(backoff / 2);
    // A wait past the deadline would leave the request without an answer.
    if (at >= request.last_useful_send) return kGiveUp;
    return {RetryKind::later, at};
}

}  // namespace sumackeel::routing
