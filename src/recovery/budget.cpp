#include "recovery/budget.h"

#include <algorithm>

namespace sumackeel::recovery {

namespace {

// A bucket holds what comes in this long: a proxy sees tens of requests a second, unevenly.
constexpr double kBucketS = 0.5;
constexpr double kLeastBucket = 1;  // fills; a part under one a second still lets one through now and then
constexpr double kFirst = 0.25;     // of the part, at the beginning of priming
constexpr double kUsualKb = 256;    // a request of this size costs one fill, a larger one more
constexpr double kMostCost = 8;
constexpr double kReserve = 0.5;  // of the bucket is closed to the class that is worth least
constexpr Micros kPrimedFor = 10'000'000;
// To come back: all that were turned away are here again before a calm (kCalm of the ladder) is believed.
constexpr Micros kSoonest = 500'000, kLatest = 2'500'000;

}  // namespace

Budget::Budget(double fills_per_s, std::vector<double> worths, std::uint64_t seed)
    : fills_per_s_(fills_per_s), worths_(std::move(worths)), chance_(seed) {
    std::sort(worths_.begin(), worths_.end());
}

bool Budget::primed(Micros now, std::uint64_t key) {
    while (!order_.empty() && (order_.front().first + kPrimedFor < now || order_.size() > kMostPrimed)) {
        const auto found = primed_.find(order_.front().second);
        if (found != primed_.end() && found->second == order_.front().first) primed_.erase(found);
        order_.pop_front();
    }
    return primed_.contains(key);
}

void Budget::prime(Micros now, std::uint64_t key) {
    primed_[key] = now;
    order_.emplace_back(now, key);
}

Micros Budget::come_back(Micros left) {
    const Micros end = std::clamp(left, 2 * kSoonest, kLatest);
    return std::uniform_int_distribution<Micros>(kSoonest, end)(chance_);
}

std::optional<Micros> Budget::turn_away(Micros now, const Asked& asked, std::size_t share, double risen,
                                        Micros left) {
    const auto let = [&] { return ++let_through_, std::nullopt; };
    if (!asked.needs_copy) return let();
    if (risen < 0) return ++turned_away_, come_back(left);
    const double part = fills_per_s_ / static_cast<double>(std::max<std::size_t>(1, share)) *
                        (kFirst + (1 - kFirst) * std::min(1.0, risen));
    const double bucket = std::max(kLeastBucket, part * kBucketS);
    if (filled_ < 0) filled_ = now, tokens_ = std::min(1.0, bucket);
    tokens_ = std::min(bucket, tokens_ + part * static_cast<double>(now - filled_) / 1e6);
    filled_ = now;
    // What was let through lately costs once: the rest joins its fill, or finds the copy.
    if (primed(now, asked.key)) {
        if (now - primed_[asked.key] >= kPrimedFor / 4) prime(now, asked.key);
        return let();
    }
    const double cost = std::clamp(asked.size_kb / kUsualKb, 1.0, kMostCost);
    const auto above = worths_.end() - std::upper_bound(worths_.begin(), worths_.end(), asked.worth);
    const double closed = worths_.size() > 1 ? kReserve * static_cast<double>(above) /
                                                   static_cast<double>(worths_.size() - 1) * (bucket - 1)
                                             : 0;
    // One that costs more than a bucket holds goes at a full one and leaves a debt.
    if (tokens_ - closed < std::min(cost, bucket - closed) - 1e-9) return ++turned_away_, come_back(left);
    tokens_ -= cost;
    prime(now, asked.key);
    return let();
}

}  // namespace sumackeel::recovery
