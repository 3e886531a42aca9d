#include "routing/admission.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kMinFillProbability = 0.5;  // below this, a request is not rejected because of a slow fill
// Ratio of fills to ingress link capacity that counts as overload. With few routers in the zone the count
// consists mostly of this router's own fills, many of which have already passed the link.
constexpr double kIngressOverloadFewRouters = 4;
constexpr int kFewRouters = 3;

}  // namespace

bool Admission::should_shed(const Request& request, const RoutePlan& plan) {
    if (!may_reject(request)) return false;
    const bool stale_copy = plan.accepts_stale && plan.has_stale_copy;
    const double expected_time = stale_copy ? plan.expected_hit_time : plan.expected_time;
    const double time_left = static_cast<double>(request.objective_at - context_.now);
    // The load of a cache can grow during a transfer, so a margin is applied; a slow fill needs none.
    if (plan.load > kOverload && kObjectiveMargin * expected_time > time_left) return true;
    const bool needs_fill = plan.fill_probability > kMinFillProbability && !stale_copy && plan.source;
    if (!needs_fill || expected_time <= time_left) return false;
    const double routers = context_.routers_in_zone(context_.settings.own_zone);
    const double ingress_limit = routers > kFewRouters ? kOverload : kIngressOverloadFewRouters;
    return latency_.slowdown(*plan.source) > kOverload || 1 / load_.ingress_share(1) > ingress_limit;
}

// A rejection invites a repeat, so it requires that nothing was executed or that a repeat is harmless.
bool Admission::may_reject(const Request& request) const {
    const ClassSettings& class_settings = class_of(context_.settings, request);
    if (class_settings.retry_safety == RetrySafety::idempotent) return true;
    if (class_settings.retry_safety == RetrySafety::with_idempotency_key &&
        class_settings.idempotency_scope == IdempotencyScope::all)
        return true;
    return std::ranges::none_of(request.attempts, &Attempt::may_have_run);
}

void Admission::refuse(const Request& request) {
    const Settings& settings = context_.settings;
    const Micros half_max_retry_after = settings.retry_after_allowed ? settings.max_retry_after / 2 : 0;
    if (may_reject(request))
        context_.emit(
            Reject{request.arrival.id, half_max_retry_after + context_.jitter(half_max_retry_after)});
    else
        context_.emit(Fail{request.arrival.id});
}

}  // namespace sumackeel::routing
