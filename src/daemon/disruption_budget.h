// The fleet as the agreed log judges a leave by: who there is of each kind, by school, and who is out by
// itself.
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
    DisruptionBudgetView(const config::Site& site, base::Micros gone_counts)
        : site_(site), gone_counts_(gone_counts) {}

    // Pop caches and parents, the origin apart. Out: draining, gone for less than gone_counts, or cold.
    std::vector<rollout::FleetMember> pop_caches(const endpoints::EndpointView& view, base::Micros now);
    // Proxies. Out: whoever does not serve for sure. `draining`: this one does.
    std::vector<rollout::FleetMember> proxies(const cluster::Membership& group, bool draining) const;

  private:
    std::string parent_region_of(int zone) const;

    const config::Site& site_;
    base::Micros gone_counts_;
    std::map<std::string, base::Micros> gone_;  // since when each was seen as gone
};

}  // namespace sumackeel::daemon
