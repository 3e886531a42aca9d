// How many proxies there are for what they bound together, in all and in each zone. Up at once, down slowly
// and only in a majority: a half that has lost sight of the other goes on with its part of the whole.
// Pure; times in microseconds.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace sumackeel::cluster {

class ClusterSize {
  public:
    explicit ClusterSize(base::Micros settle) : settle_(settle) {}

    // What is counted by zone until the first look, and from where the counts fall.
    void seed(const std::map<std::string, int>& counts) {
        for (const auto& [zone, count] : counts) counts_[zone] = count;
    }

    // `there`: members that live, by zone; `known`: those of the group as it was last agreed on.
    void update(base::Micros now, bool majority, const std::map<std::string, int>& there,
                const std::map<std::string, int>& known);

    // By zone, never under 1 where a member is known; rounded up.
    std::map<std::string, int> counts() const;

  private:
    base::Micros settle_, last_ = -1;
    std::map<std::string, double> counts_;
};

}  // namespace sumackeel::cluster
