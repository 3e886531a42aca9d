#include "routing/admission.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kLikelyFill = 0.5;  // requests less likely to need a fill are not rejected for its sake
// Fills over what the ingress link fits, from which on they count as overload. With few routers in the zone
// most fills are known one by one, and many of them are past the link already.
constexpr double kIngressOverloadFewRouters = 4;
constexpr int kFewRouters = 3;

}  // namespace

bool Admission::should_shed(const Request& request, const RoutePlan& plan) {
    if (!may_reject(request)) return false;
    const bool stale_copy = plan.accepts_stale && plan.has_stale_copy;
    const double expected_time = stale_copy ? plan.expected_hit_time : plan.expected_time;
    const double left = static_cast<double>(request.objective_at - context_.now);
    // Load at a cache grows while a transfer runs, so it is met with a margin; a slow fill need not be.
    if (plan.load > kOverload && kObjectiveMargin * expected_time > left) return true;
    const bool needs_fill = plan.fill_probability > kLikelyFill && !stale_copy && plan.source;
    if (!needs_fill || expected_time <= left) return false;
    const double routers = context_.routers_in_zone(context_.settings.own_zone);
    const double ingress_limit = routers > kFewRouters ? kOverload : kIngressOverloadFewRouters;
    return latency_.slowdown(*plan.source) > kOverload || 1 / load_.ingress_share(1) > ingress_limit;
}

// A client may be told that nothing ran only where that is so, or where a repeat is harmless.
bool Admission::may_reject(const Request& request) const {
    const ClassSettings& service = class_of(context_.settings, request);
    if (service.retry_safety == RetrySafety::idempotent) return true;
    if (service.retry_safety == RetrySafety::with_idempotency_key &&
        service.idempotency_scope == IdempotencyScope::all)
        return true;
    return std::ranges::none_of(request.attempts, &Attempt::may_have_run);
}

void Admission::refuse(const Request& request) {
    const Settings& settings = context_.settings;
    const Micros half = settings.retry_after_allowed ? settings.max_retry_after / 2 : 0;
    if (may_reject(request))
        context_.emit(Reject{request.arrival.id, half + context_.jitter(half)});
    else
        context_.emit(Fail{request.arrival.id});
}

}  // namespace sumackeel::routing
