#include "routing/cache_bypass.h"

#include <algorithm>

namespace sumackeel::routing {

CacheBypass::CacheBypass(const DecisionContext& context, const EndpointTable& endpoints,
                         const Eligibility& eligibility, const CircuitBreaker& breaker,
                         FillSource& fill_source, LatencyPrediction& latency)
    : context_(context),
      endpoints_(endpoints),
      eligibility_(eligibility),
      breaker_(breaker),
      fill_source_(fill_source),
      latency_(latency) {}

RoutePlan CacheBypass::choose(const Request& request) {
    const Settings& settings = context_.settings;
    Target* const origin = endpoints_.origin();
    if (!settings.cache_bypass_allowed || !origin) return {};
    if (settings.origin_only_requests_per_s > 0 && endpoints_.caches().empty() &&
        endpoints_.parents().empty())
        return origin_only(request);
    if (!is_cacheable(settings, request)) return {};
    Target* parent = fill_source_.choose(request, nullptr, *origin, FillExpectation::likely);
    if (parent->role != Role::parent || !eligibility_.can_serve(*parent, request)) return {};
    // A draining or removed origin must not be used, not even as a source. The parent can still serve what it
    // has cached.
    const bool origin_ready = endpoints_.is_origin_ready();
    RoutePlan plan{.cache = parent, .source = origin_ready ? origin : parent, .fill = origin_ready};
    plan.expected_time = latency_.predict(request, *parent, origin_ready ? origin : nullptr, FillKind::full);
    const bool in_time = context_.now + static_cast<Micros>(plan.expected_time) < request.objective_at;
    return in_time ? plan : RoutePlan{};
}

// While the endpoint list is too old to use, only the origin's address is reliable. The origin cannot serve
// all reads of a zone, so uncacheable requests are sent without limit and reads share a small quota.
RoutePlan CacheBypass::origin_only(const Request& request) {
    Target& origin = *endpoints_.origin();
    if (!breaker_.admits(origin) || !eligibility_.can_serve(origin, request)) return {};
    if (is_cacheable(context_.settings, request) && !take_origin_quota()) return {};
    RoutePlan plan{.cache = &origin, .source = &origin};
    plan.expected_time = latency_.predict(request, origin, nullptr, FillKind::full);
    return plan;
}

bool CacheBypass::take_origin_quota() {
    const double rate = context_.settings.origin_only_requests_per_s;
    const double max_quota = std::max(1.0, rate);
    const double seconds = static_cast<double>(context_.now - origin_quota_.at) / kSecond;
    origin_quota_ = {std::min(max_quota, origin_quota_.value + rate * seconds), context_.now};
    if (origin_quota_.value < 1) return false;
    origin_quota_.value -= 1;
    return true;
}

}  // namespace sumackeel::routing
