#include "cluster/cluster_size.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::cluster {

namespace {

constexpr double kRoundingError = 1e-9;

int count_in(const ClusterSize::CountByZone& counts, const std::string& zone) {
    const auto found = counts.find(zone);
    return found == counts.end() ? 0 : found->second;
}

}  // namespace

void ClusterSize::seed(const CountByZone& counts) {
    for (const auto& [zone, count] : counts) counts_[zone] = count;
}

void ClusterSize::update(base::Micros now, bool majority, const CountByZone& present,
                         const CountByZone& known) {
    double elapsed = 0;  // in settle times
    if (updated_at_ >= 0)
        elapsed = static_cast<double>(now - updated_at_) /
                  static_cast<double>(std::max<base::Micros>(1, settle_time_));
    updated_at_ = now;
    for (const auto& [zone, size] : known) counts_.try_emplace(zone, 0);
    for (auto& [zone, count] : counts_) {
        const double target = count_in(majority ? present : known, zone);
        // A new member is counted before it can use its share; a member that is gone is removed only slowly.
        const double fall_from = std::max<double>(count_in(known, zone), count);
        count = std::max(target, majority ? count - elapsed * fall_from : count);
    }
    std::erase_if(counts_, [&](const auto& item) { return !known.contains(item.first) && item.second <= 0; });
}

ClusterSize::CountByZone ClusterSize::counts() const {
    CountByZone counts;
    for (const auto& [zone, count] : counts_)
        counts[zone] = std::max(1, static_cast<int>(std::ceil(count - kRoundingError)));
    return counts;
}

}  // namespace sumackeel::cluster
