#include "routing/attempts.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

// Values of Forward::cache_priority.
constexpr int kPriorityNotACache = 0;
constexpr int kPriorityFirstRequest = 1;
constexpr int kPriorityRepeated = 2;

std::string attempt_key(const std::string& request_id, int attempt) {
    return request_id + '#' + std::to_string(attempt);
}

bool fills_via_parent(const RoutePlan& plan) {
    return plan.fill && plan.source && plan.source->role == Role::parent;
}

}  // namespace

Attempts::Attempts(DecisionContext& context, EndpointTable& endpoints, SlowStart& slow_start,
                   CircuitBreaker& breaker, const PurgeLog& purges, const RetryBudget& retries,
                   OriginThrottle& origin_throttle, OutlierDetection& outliers, LoadEstimate& load,
                   LatencyPrediction& latency)
    : context_(context),
      endpoints_(endpoints),
      slow_start_(slow_start),
      breaker_(breaker),
      purges_(purges),
      retries_(retries),
      origin_throttle_(origin_throttle),
      outliers_(outliers),
      load_(load),
      latency_(latency) {}

void Attempts::send(Request& request, const RoutePlan& plan, const CachedCopy* copy) {
    InFlightAttempt& attempt = begin(request, plan);
    if (request.arrival.object.empty()) {
        const Micros timeout = retries_.timeout(request, plan);
        return context_.emit(Lookup{request.arrival.id, plan.cache->entry.name, timeout});
    }
    Forward action = forward(request, plan);
    if (copy) {
        set_cache_control(action, request, plan, *copy);
        reserve_origin_turn(action, plan, attempt);
    }
    context_.emit(std::move(action));
}

InFlightAttempt& Attempts::begin(Request& request, const RoutePlan& plan) {
    Target& cache = *plan.cache;
    Target* const source = plan.source;
    const int number = static_cast<int>(request.attempts.size());
    request.attempts.push_back(
        {.cache = &cache, .source = source, .sent_at = context_.now, .accepts_stale = plan.accepts_stale});
    load_.advance_to_now(cache);
    InFlightAttempt& attempt = in_flight_[attempt_key(request.arrival.id, number)];
    attempt = {.cache = &cache, .source = source, .sent_at = context_.now};
    attempt.service_clock_at_start = cache.service_clock;
    attempt.expected_hit_time = request.transfer_time + kBaseLatency;
    attempt.expected_time =
        plan.fill ? plan.expected_time / latency_.slowdown(*source) : attempt.expected_hit_time;
    attempt.ingress_probability = plan.shared || plan.revalidation ? 0 : plan.fill_probability;
    attempt.may_fill = plan.fill;
    load_.add(attempt);
    breaker_.on_attempt_sent(cache);
    slow_start_.charge(cache, request.arrival.class_index);
    if (source && source != &cache) {
        slow_start_.charge(*source, request.arrival.class_index);
        breaker_.on_attempt_sent(*source);
    }
    return attempt;
}

Forward Attempts::forward(const Request& request, const RoutePlan& plan) const {
    Forward action{.id = request.arrival.id,
                   .timeout = retries_.timeout(request, plan),
                   .endpoint = plan.cache->entry.name};
    action.source = plan.source ? plan.source->entry.name : plan.cache->entry.name;
    return action;
}

void Attempts::set_cache_control(Forward& action, const Request& request, const RoutePlan& plan,
                                 const CachedCopy& copy) const {
    const bool repeated = copy.request_count > 1;
    action.max_age = purges_.max_age(request, plan.accepts_stale);
    action.coalesce = plan.coalesce;
    // While the origin is unavailable, fills would wait at the parent until they fail and occupy capacity
    // that hits need. With this flag the parent serves what it has cached and reports the rest as missing at
    // once.
    action.source_cached_only = fills_via_parent(plan) && origin_throttle_.is_blocked();
    action.revalidate = class_of(context_.settings, request).freshness_lifetime > 0 && repeated;
    if (plan.cache->role != Role::cache)
        action.cache_priority = kPriorityNotACache;
    else
        action.cache_priority = repeated ? kPriorityRepeated : kPriorityFirstRequest;
}

// For a fill that may reach the origin, takes the throttle's turn and, if due, the breaker's trial attempt.
void Attempts::reserve_origin_turn(const Forward& action, const RoutePlan& plan, InFlightAttempt& attempt) {
    Target* const origin = endpoints_.origin();
    if (!origin) return;
    const bool via_parent = fills_via_parent(plan) && !action.source_cached_only;
    const bool directly = !fills_via_parent(plan) && plan.fill && plan.source == origin;
    if (via_parent || directly) origin_throttle_.take_turn();
    attempt.origin_trial = via_parent && origin->health.breaker != BreakerState::closed;
    if (attempt.origin_trial) breaker_.on_attempt_sent(*origin);
}

void Attempts::finish(const AttemptFinished& result) {
    const auto found = in_flight_.find(attempt_key(result.id, result.attempt));
    if (found == in_flight_.end()) return;
    Target* const origin = endpoints_.origin();
    load_.advance_to_now(*found->second.cache);
    load_.record_report(*found->second.cache, result.load);
    load_.remove(found->second);
    const InFlightAttempt attempt = found->second;
    in_flight_.erase(found);
    if (result.cache_status == CacheStatus::filled_by_origin && origin) breaker_.on_success(*origin);
    origin_throttle_.record(attempt, result);
    outliers_.record_reachability(attempt, result);
    outliers_.record_result(attempt, result);
    if (attempt.origin_trial) breaker_.on_attempt_ended(*origin);
}

void Attempts::skip_stall(Micros duration) {
    for (auto& [key, attempt] : in_flight_)
        attempt.sent_at = std::min(context_.now, attempt.sent_at + duration);
}

}  // namespace sumackeel::routing
