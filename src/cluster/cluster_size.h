// The number of edge proxies by zone that divide a common limit between them. A count rises at once; it falls
// slowly, and only in a majority partition: a minority keeps its share of the limit. Performs no I/O; times
// are microseconds.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace sumackeel::cluster {

class ClusterSize {
  public:
    using CountByZone = std::map<std::string, int>;

    // `settle_time`: the time in which a falling count would reach zero.
    explicit ClusterSize(base::Micros settle_time) : settle_time_(settle_time) {}

    // Initial counts, used until the first update; they fall from there.
    void seed(const CountByZone& counts);

    // By zone. `present`: members that are not dead; `known`: all that have neither left nor been forgotten.
    void update(base::Micros now, bool majority, const CountByZone& present, const CountByZone& known);

    // By zone, rounded up, at least 1 each.
    CountByZone counts() const;

  private:
    base::Micros settle_time_;
    base::Micros updated_at_ = -1;  // -1: never
    std::map<std::string, double> counts_;
};

}  // namespace sumackeel::cluster
