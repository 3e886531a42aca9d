// The fleet as input for the disruption budget of the replicated log: the members of each kind with their
// zones, and which of them are unavailable without a lease.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/membership.h"
#include "config/config.h"
#include "config/operator.h"
#include "endpoints/endpoint_view.h"
#include "rollout/rollout.h"

namespace sumackeel::daemon {

class DisruptionBudgetView {
  public:
    DisruptionBudgetView(const config::Site& site, base::Micros removed_counts_for)
        : site_(site), removed_counts_for_(removed_counts_for) {}

    // Pop caches and parents, without the origin. Unavailable: draining, removed less than
    // `removed_counts_for` ago, or cold.
    std::vector<rollout::FleetMember> pop_caches(const endpoints::EndpointView& view, base::Micros now);
    // Proxies. Unavailable: every proxy that is not known to be alive. `draining`: this proxy drains.
    std::vector<rollout::FleetMember> proxies(const cluster::Membership& group, bool draining) const;

  private:
    std::string parent_region_of(int zone) const;

    const config::Site& site_;
    base::Micros removed_counts_for_;
    std::map<std::string, base::Micros> removed_since_;  // by endpoint: when it was first seen as removed
};

}  // namespace sumackeel::daemon
