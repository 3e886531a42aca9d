#include "routing/load_estimate.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kLoadTimeConstant = 5.0 * kSecond;    // of the means, in microseconds
constexpr double kReportTimeConstant = 1.5 * kSecond;  // with which a report decays to the means
// Weight of a cache's own history: it counts as much as the zone's mean when this times the expected mean
// is 1.
constexpr double kHistoryWeight = 6;
constexpr double kMinLoad = 0.01;

}  // namespace

double LoadEstimate::load(const Target& target, double additional) {
    // A fill that waits for a congested ingress link uses almost none of the cache's egress. Counting it
    // fully would cause hits to be rejected.
    const double fills = target.fills_in_flight * ingress_share(0);
    const double hits = static_cast<double>(target.in_flight.size()) - target.fills_in_flight;
    return (hits + fills + others_in_flight(target) + additional) / slow_start_.capacity(target);
}

// Transfers of the other routers at the target. A router sees few requests per second: extrapolating from its
// current attempts would reject requests at an idle cache, and ignoring the others would overload a full one.
// So a load report is used while it is recent, and otherwise this router's mean in the zone, scaled by the
// target's weight and this router's history there.
double LoadEstimate::others_in_flight(const Target& target) {
    const double sharing_routers = slow_start_.sharing_routers(target);
    if (target.role != Role::cache || sharing_routers <= 1) return 0;
    const double capacity = slow_start_.capacity(target);
    const double zone_capacity = endpoints_.zone_capacity();
    const double all_in_flight = context_.decayed(mean_in_flight_, in_flight_, kLoadTimeConstant);
    const double fills = context_.decayed(mean_fills_, fills_in_flight_, kLoadTimeConstant);
    const double expected_mean = all_in_flight * capacity / std::max(zone_capacity, capacity);
    const double mean_at_target =
        context_.decayed(target.mean_in_flight, target.in_flight.size(), kLoadTimeConstant);
    const double mean_per_router =
        expected_mean * (1 + kHistoryWeight * mean_at_target) / (1 + kHistoryWeight * expected_mean);
    const double others = context_.decayed(target.others_reported_in_flight,
                                           (sharing_routers - 1) * mean_per_router, kReportTimeConstant);
    return others * (1 - (all_in_flight > 0 ? fills / all_in_flight : 0) * (1 - ingress_share(0)));
}

// Capacity of the zone's ingress link, in transfers at full rate; 0: unknown.
double LoadEstimate::ingress_capacity() const {
    const Settings& settings = context_.settings;
    return value_at(settings.ingress_kb_per_s_by_zone, std::max(0, settings.own_zone), 0.0) /
           std::max(1.0, settings.transfer_rate_kb_per_s);
}

double LoadEstimate::ingress_share(double additional) const {
    if (ingress_capacity() <= 0) return 1;
    const double mean_of_others = (context_.routers_in_zone(context_.settings.own_zone) - 1) *
                                  context_.decayed(mean_fills_, fills_in_flight_, kLoadTimeConstant);
    const double others = context_.decayed(reported_fills_, mean_of_others, kReportTimeConstant);
    return std::min(1.0, ingress_capacity() / std::max(1.0, fills_in_flight_ + others + additional));
}

double LoadEstimate::service_clock(const Target& target) {
    const double rate = std::min(1.0, 1 / std::max(kMinLoad, load(target, 0)));
    return target.service_clock + rate * static_cast<double>(context_.now - target.service_clock_at);
}

// Updates a time-weighted mean with the value held since the last update.
void LoadEstimate::advance_mean(DecayedMean& mean, double current_value) const {
    mean = {context_.decayed(mean, current_value, kLoadTimeConstant), context_.now};
}

void LoadEstimate::advance_to_now(Target& target) {
    advance_mean(target.mean_in_flight, static_cast<double>(target.in_flight.size()));
    advance_mean(mean_in_flight_, in_flight_);
    advance_mean(mean_fills_, fills_in_flight_);
    target.service_clock = service_clock(target);
    target.service_clock_at = context_.now;
}

void LoadEstimate::add(const InFlightAttempt& attempt) {
    Target& cache = *attempt.cache;
    cache.in_flight.push_back(&attempt);
    in_flight_ += 1;
    cache.fills_in_flight += attempt.ingress_probability;
    fills_in_flight_ += attempt.ingress_probability;
}

void LoadEstimate::remove(const InFlightAttempt& attempt) {
    Target& cache = *attempt.cache;
    std::erase(cache.in_flight, &attempt);
    in_flight_ -= 1;
    cache.fills_in_flight -= attempt.ingress_probability;
    fills_in_flight_ -= attempt.ingress_probability;
}

void LoadEstimate::record_report(Target& cache, const LoadReport& report) {
    if (cache.role != Role::cache || slow_start_.sharing_routers(cache) <= 1) return;
    // Only the other routers' part is used: this router's own attempts are known exactly and the report is
    // late.
    if (report.in_flight >= 0) {
        const double others = report.in_flight - static_cast<double>(cache.in_flight.size());
        cache.others_reported_in_flight = {std::max(0.0, others), context_.now};
    }
    if (report.ingress_utilization >= 0) {
        const double others = report.ingress_utilization * ingress_capacity() - fills_in_flight_;
        reported_fills_ = {std::max(0.0, others), context_.now};
    }
}

}  // namespace sumackeel::routing
