#include "routing/load_estimate.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kLoadMemory = 5.0 * kSecond;    // time constant of the means, in microseconds
constexpr double kReportMemory = 1.5 * kSecond;  // time constant at which a report gives way to the means
// Transfers within the memory at which a cache's own history counts as much as the zone's mean.
constexpr double kHistorySamples = 6;
constexpr double kMinLoad = 0.01;

}  // namespace

double LoadEstimate::load(const Target& target, double additional) {
    // A fill that waits for a crowded ingress link takes next to nothing of the cache's egress; counted in
    // full, it would have hits rejected.
    const double fills = target.fills_in_flight * ingress_share(0);
    const double hits = static_cast<double>(target.in_flight.size()) - target.fills_in_flight;
    return (hits + fills + others_in_flight(target) + additional) / slow_start_.capacity(target);
}

// Transfers of the other routers there. A router sees a few requests a second: taking its own present ones as
// everybody's, it would reject at an idle cache; taking none, it would trust a full one. So: a report while
// it is recent; else this router's mean in the zone, by weight and by what it had at this cache.
double LoadEstimate::others_in_flight(const Target& target) {
    const double sharers = slow_start_.sharers(target);
    if (target.role != Role::cache || sharers <= 1) return 0;
    const double capacity = slow_start_.capacity(target);
    const double zone = endpoints_.zone_capacity();
    const double all_in_flight = context_.faded(mean_in_flight_, in_flight_, kLoadMemory);
    const double fills = context_.faded(mean_fills_, fills_in_flight_, kLoadMemory);
    const double usual = all_in_flight * capacity / std::max(zone, capacity);
    const double seen = context_.faded(target.mean_in_flight, target.in_flight.size(), kLoadMemory);
    const double each = usual * (1 + kHistorySamples * seen) / (1 + kHistorySamples * usual);
    const double others = context_.faded(target.reported_by_others, (sharers - 1) * each, kReportMemory);
    return others * (1 - (all_in_flight > 0 ? fills / all_in_flight : 0) * (1 - ingress_share(0)));
}

// Transfers at full rate that fit the zone's ingress link; 0: not known.
double LoadEstimate::ingress_capacity() const {
    const Settings& settings = context_.settings;
    return value_at(settings.ingress_kb_per_s_by_zone, std::max(0, settings.own_zone), 0.0) /
           std::max(1.0, settings.transfer_rate_kb_per_s);
}

double LoadEstimate::ingress_share(double additional) const {
    if (ingress_capacity() <= 0) return 1;
    const double mean_of_others = (context_.routers_in_zone(context_.settings.own_zone) - 1) *
                                  context_.faded(mean_fills_, fills_in_flight_, kLoadMemory);
    const double others = context_.faded(reported_fills_, mean_of_others, kReportMemory);
    return std::min(1.0, ingress_capacity() / std::max(1.0, fills_in_flight_ + others + additional));
}

double LoadEstimate::service_clock(const Target& target) {
    const double rate = std::min(1.0, 1 / std::max(kMinLoad, load(target, 0)));
    return target.service_clock + rate * static_cast<double>(context_.now - target.service_clock_at);
}

// A mean takes in for how long the present number stood.
void LoadEstimate::settle_mean(DecayedMean& mean, double present) const {
    mean = {context_.faded(mean, present, kLoadMemory), context_.now};
}

void LoadEstimate::settle(Target& target) {
    settle_mean(target.mean_in_flight, static_cast<double>(target.in_flight.size()));
    settle_mean(mean_in_flight_, in_flight_);
    settle_mean(mean_fills_, fills_in_flight_);
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
    if (cache.role != Role::cache || slow_start_.sharers(cache) <= 1) return;
    // Only the part of others is taken: this router knows its own attempts better, and the report comes late.
    if (report.in_flight >= 0) {
        const double others = report.in_flight - static_cast<double>(cache.in_flight.size());
        cache.reported_by_others = {std::max(0.0, others), context_.now};
    }
    if (report.ingress_utilization >= 0) {
        const double others = report.ingress_utilization * ingress_capacity() - fills_in_flight_;
        reported_fills_ = {std::max(0.0, others), context_.now};
    }
}

}  // namespace sumackeel::routing
