// Load estimate: how many transfers compete at a cache and on the zone's ingress link, from this router's own
// attempts, load reports and, where there is no recent report, the mean of the zone.
#pragma once

#include "routing/endpoint_table.h"

namespace sumackeel::routing {

// Load (transfers over capacity) from which on a late transfer delays the others noticeably.
constexpr double kOverload = 1.5;

class LoadEstimate {
  public:
    LoadEstimate(const DecisionContext& context, EndpointTable& endpoints, const SlowStart& slow_start)
        : context_(context), endpoints_(endpoints), slow_start_(slow_start) {}

    // Transfers that compete for the cache's egress, with `additional` ones, over its capacity.
    double load(const Target& target, double additional);

    // Part of the full rate, up to 1, that the zone's ingress link leaves for each fill, with `additional`
    // ones.
    double ingress_share(double additional) const;

    // Microseconds of service at full rate that a transfer present all the time has had by now.
    double service_clock(const Target& target);

    // Brings clock and means up to now; due before the number of attempts in flight changes.
    void settle(Target& target);

    // The attempt counts at its cache from now on; it has to stay in place until `remove`.
    void add(const InFlightAttempt& attempt);
    void remove(const InFlightAttempt& attempt);

    // Learns from a load report what other routers have in flight.
    void record_report(Target& cache, const LoadReport& report);

  private:
    double others_in_flight(const Target& target);
    double ingress_capacity() const;
    void settle_mean(DecayedMean& mean, double present) const;

    const DecisionContext& context_;
    EndpointTable& endpoints_;
    const SlowStart& slow_start_;
    double in_flight_ = 0;        // attempts of this router
    double fills_in_flight_ = 0;  // expected number of them on the ingress link
    DecayedMean mean_in_flight_;
    DecayedMean mean_fills_;
    DecayedMean reported_fills_;  // of other routers, by load report
};

}  // namespace sumackeel::routing
