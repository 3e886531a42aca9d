#include "cluster/cluster_size.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::cluster {

void ClusterSize::update(base::Micros now, bool majority, const std::map<std::string, int>& there,
                         const std::map<std::string, int>& known) {
    const double passed = last_ < 0 ? 0
                                    : static_cast<double>(now - last_) /
                                          static_cast<double>(std::max<base::Micros>(1, settle_));
    last_ = now;
    const auto in = [](const std::map<std::string, int>& counts, const std::string& zone) {
        const auto found = counts.find(zone);
        return found == counts.end() ? 0 : found->second;
    };
    for (const auto& [zone, size] : known) counts_.try_emplace(zone, 0);
    for (auto& [zone, count] : counts_) {
        const double target = in(majority ? there : known, zone);
        // Members that come are counted before they can have taken their part; those that go, only slowly.
        const double from = std::max<double>(in(known, zone), count);
        count = std::max(target, majority ? count - passed * from : count);
    }
    std::erase_if(counts_, [&](const auto& item) { return !known.contains(item.first) && item.second <= 0; });
}

std::map<std::string, int> ClusterSize::counts() const {
    std::map<std::string, int> counts;
    for (const auto& [zone, count] : counts_)
        counts[zone] = std::max(1, static_cast<int>(std::ceil(count - 1e-9)));
    return counts;
}

}  // namespace sumackeel::cluster
