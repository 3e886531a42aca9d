// How many proxies share a common bound, in all and in each zone. A count rises at once; it falls slowly, and
// only in a majority: a minority keeps its share of the whole. Pure; times are microseconds.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace sumackeel::cluster {

class ClusterSize {
  public:
    using CountByZone = std::map<std::string, int>;

    // `settle_time`: in which a falling count would fall to nothing.
    explicit ClusterSize(base::Micros settle_time) : settle_time_(settle_time) {}

    // The counts until the first update, from which they fall.
    void seed(const CountByZone& counts);

    // `present`: members that are not dead, by zone; `known`: all that have not left or been forgotten.
    void update(base::Micros now, bool majority, const CountByZone& present, const CountByZone& known);

    // By zone, rounded up, at least 1 each.
    CountByZone counts() const;

  private:
    base::Micros settle_time_;
    base::Micros updated_at_ = -1;  // -1: never
    std::map<std::string, double> counts_;
};

}  // namespace sumackeel::cluster
