// Load estimate: number of concurrent transfers at a cache and on the zone's ingress link, derived from this
// router's attempts, load reports and, without a recent report, the zone's mean.
#pragma once

#include "routing/endpoint_table.h"

namespace sumackeel::routing {

// Load (transfers over capacity) above which a late transfer noticeably delays others.
constexpr double kOverload = 1.5;

class LoadEstimate {
  public:
    LoadEstimate(const DecisionContext& context, EndpointTable& endpoints, const SlowStart& slow_start)
        : context_(context), endpoints_(endpoints), slow_start_(slow_start) {}

    // Transfers competing for the cache's egress, plus `additional`, over its capacity.
    double load(const Target& target, double additional);

    // Fraction of the full rate, at most 1, available to each fill on the zone's ingress link with
    // `additional` fills.
    double ingress_share(double additional) const;

    // Microseconds of service at full rate that a permanently present transfer has received until now.
    double service_clock(const Target& target);

    // Advances the service clock and the means to now. Must precede each change of the attempts in flight.
    void advance_to_now(Target& target);

    // Counts the attempt at its cache until `remove`; the object's address must not change in between.
    void add(const InFlightAttempt& attempt);
    void remove(const InFlightAttempt& attempt);

    // Updates the estimate of other routers' transfers from a load report.
    void record_report(Target& cache, const LoadReport& report);

  private:
    double others_in_flight(const Target& target);
    double ingress_capacity() const;
    void advance_mean(DecayedMean& mean, double current_value) const;

    const DecisionContext& context_;
    EndpointTable& endpoints_;
    const SlowStart& slow_start_;
    double in_flight_ = 0;        // attempts of this router
    double fills_in_flight_ = 0;  // expected number of them that occupy the ingress link
    DecayedMean mean_in_flight_;
    DecayedMean mean_fills_;
    DecayedMean reported_fills_;  // fills of other routers, from load reports
};

}  // namespace sumackeel::routing
