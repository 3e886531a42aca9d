#include "routing/fill_coalescing.h"

#include <algorithm>
#include <utility>

#include "routing/retry_budget.h"

namespace sumackeel::routing {
namespace {

// Time without a request after which a record is removed.
constexpr Micros kCopyRecordLifetime = 60 * kSecond;
constexpr Micros kRecentlyServed = 4 * kSecond;
constexpr Micros kLikelyHeld = 8 * kSecond;  // a copy unused for longer may have been evicted
// Fraction of the freshness lifetime after which caches revalidate in the background.
constexpr double kRevalidateFrom = 0.8;
constexpr double kWaitFraction = 0.4;  // fraction of the latency objective that a request may wait for a fill

}  // namespace

void FillCoalescing::record_request(const Request& request) {
    CachedCopy& copy = copies_.touch(request.key);
    copy.request_rate = {recent_requests(copy) + 1, context_.now};
    ++copy.request_count;
}

double FillCoalescing::recent_requests(const CachedCopy& copy) const {
    return context_.decayed(copy.request_rate, 0, kRequestRateTimeConstant);
}

bool FillCoalescing::can_share(const CachedCopy& copy, const Request& request) const {
    return !copy.leader.empty() && context_.now < copy.fill_overdue_at &&
           copy.fill_started_at > purges_.purged_at(request) &&
           copy.fill_started_at > copy.fill_cache->entry.started_at &&
           eligibility_.can_serve(*copy.fill_cache, request);
}

bool FillCoalescing::may_coalesce(const CachedCopy& copy, const Request& request) const {
    return context_.settings.coalescing_allowed &&
           (copy.leader.empty() || copy.fill_started_at > purges_.purged_at(request));
}

void FillCoalescing::enqueue(Request& request, CachedCopy& copy) {
    request.waiting_for_fill = true;
    copy.waiters.push_back(request.arrival.id);
    const double max_wait = kWaitFraction * static_cast<double>(request.objective_at - request.arrived_at);
    const Micros until = std::min(context_.now + static_cast<Micros>(max_wait), request.last_useful_send);
    context_.emit(SetTimer{until, request.serial});
}

void FillCoalescing::share(const Request& request, CachedCopy& copy) {
    if (has_room_to_wait(copy)) copy.waiters.push_back(request.arrival.id);
}

void FillCoalescing::lead(const Request& request, CachedCopy& copy, const RoutePlan& plan) {
    copy.leader = request.arrival.id;
    copy.waiters.clear();
    copy.fill_cache = plan.cache;
    copy.fill_started_at = context_.now;
    copy.fill_overdue_at = context_.now + static_cast<Micros>(kTimeoutMultiple * plan.expected_time);
}

std::list<std::string> FillCoalescing::end_fill(const std::string& key, const std::string& leader) {
    CachedCopy* copy = copies_.find(key);
    if (!copy || copy->leader != leader) return {};
    copy->leader.clear();
    return std::exchange(copy->waiters, {});
}

void FillCoalescing::set_leader(const std::string& key, const std::string& leader) {
    if (CachedCopy* copy = copies_.find(key)) copy->leader = leader;
}

void FillCoalescing::restore_waiters(const std::string& key, const std::string& leader,
                                     std::list<std::string> waiters) {
    CachedCopy* copy = copies_.find(key);
    if (copy && copy->leader == leader) copy->waiters = std::move(waiters);
}

void FillCoalescing::record_served(const Request& request, const Attempt& attempt) {
    CachedCopy* copy = copies_.find(request.key);
    if (!copy || attempt.cache->role != Role::cache) return;
    copy->holder = attempt.cache;
    const ClassSettings& class_settings = class_of(context_.settings, request);
    const double revalidated_after = kRevalidateFrom * static_cast<double>(class_settings.freshness_lifetime);
    if (!attempt.accepts_stale && static_cast<double>(context_.now - copy->fresh_since) > revalidated_after)
        copy->fresh_since = attempt.sent_at;
    copy->holder_since = attempt.sent_at;
    copy->last_served_at = context_.now;
}

Target* FillCoalescing::proven_holder(const CachedCopy& copy, const Request& request) const {
    const bool proven = copy.holder && copy.holder_since > std::max(purges_.purged_at(request),
                                                                    copy.holder->entry.started_at);
    return proven ? copy.holder : nullptr;
}

bool FillCoalescing::is_likely_held(const CachedCopy& copy, const Target& cache,
                                    const Request& request) const {
    return context_.now - copy.last_served_at < kLikelyHeld && proven_holder(copy, request) == &cache;
}

bool FillCoalescing::was_served_recently(const CachedCopy& copy) const {
    return context_.now - copy.last_served_at < kRecentlyServed;
}

void FillCoalescing::sweep() {
    copies_.sweep(
        [&](const CachedCopy& copy) { return context_.now - copy.request_rate.at > kCopyRecordLifetime; });
}

}  // namespace sumackeel::routing
