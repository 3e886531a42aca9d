#include "recovery/fill_budget.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::recovery {

namespace {

// A bucket holds what comes in this long: a proxy sees tens of requests a second, unevenly.
constexpr double kBucketS = 0.5;
constexpr double kLeastBucket = 1;  // fills; a part under one a second still lets one through now and then
// What is large takes a source's link for long, and what waits behind it too: at first only usual sizes pass,
// then, a step at a time, what is four times larger.
constexpr double kFirstKb = 512, kStepUp = 4;
constexpr Micros kStepEvery = 5'000'000;
constexpr int kSteps = 4;         // after so many any size
constexpr double kUsualKb = 256;  // a request of this size costs one fill, a larger one more
constexpr double kMostCost = 8;
constexpr double kReserve = 0.5;  // of the bucket is closed to the class that is worth least
// The origin is not cold, only asked by all at once; hubs are, and bear little at first.
constexpr double kFirstOrigin = 0.5, kFirstHubs = 0.1;
constexpr Micros kRisesOrigin = 5'000'000, kRisesHubs = 20'000'000;
// The share of late: each that ends moves it by so much, and it is never taken for nothing at all.
constexpr double kMoves = 0.05, kLeastShare = 0.02;
constexpr Micros kPrimedFor = 10'000'000;
// To come back: all that were turned away are here again before a calm (kCalm of the ladder) is believed.
constexpr Micros kSoonest = 500'000, kLatest = 2'500'000;

}  // namespace

FillBudget::FillBudget(double origin_per_s, double hubs_per_s, std::vector<double> worths, std::uint64_t seed)
    : meters_{Meter{.per_s = origin_per_s, .first = kFirstOrigin, .rises = kRisesOrigin},
              Meter{.per_s = hubs_per_s, .first = kFirstHubs, .rises = kRisesHubs}},
      worths_(std::move(worths)),
      chance_(seed) {
    std::sort(worths_.begin(), worths_.end());
    // Not full: a thousand proxies that begin together would let a thousand through in the first moment.
    for (Meter& meter : meters_) meter.tokens = std::uniform_real_distribution<>(0, kLeastBucket)(chance_);
}

void FillBudget::Meter::fill(Micros passed, double part, Micros primed_for) {
    const double risen = std::min(1.0, static_cast<double>(primed_for) / static_cast<double>(rises));
    const double now_per_s = per_s * part * (first + (1 - first) * risen);
    bucket = std::max(kLeastBucket, now_per_s * kBucketS);
    tokens = std::min(bucket, tokens + now_per_s * static_cast<double>(passed) / 1e6);
}

// One that costs more than a bucket holds goes at a full one and leaves a debt.
bool FillBudget::Meter::bears(double cost, double closed) const {
    const double open = closed * (bucket - kLeastBucket);
    return tokens - open >= std::min(cost, bucket - open) - 1e-9;
}

bool FillBudget::primed(Micros now, std::uint64_t key) {
    while (!order_.empty() && (order_.front().first + kPrimedFor < now || order_.size() > kMaxPrimedKeys)) {
        const auto found = primed_.find(order_.front().second);
        if (found != primed_.end() && found->second.at == order_.front().first) primed_.erase(found);
        order_.pop_front();
    }
    return primed_.contains(key);
}

Micros FillBudget::come_back(Micros left) {
    const Micros end = std::clamp(left, 2 * kSoonest, kLatest);
    return std::uniform_int_distribution<Micros>(kSoonest, end)(chance_);
}

std::optional<Micros> FillBudget::admit(Micros now, const RequestCost& asked, double share, Micros primed_for,
                                        Micros left) {
    const auto let = [&] { return ++let_through_, std::nullopt; };
    if (!asked.needs_copy) return let();
    if (primed_for < 0) return ++turned_away_, come_back(left);
    const Micros passed = filled_ < 0 ? 0 : now - filled_;
    filled_ = now;
    for (Meter& meter : meters_) meter.fill(passed, 1 / std::max(1.0, share), primed_for);
    // What was let through lately costs once: the rest joins its fill, or finds the copy.
    if (primed(now, asked.key)) {
        Primed& one = primed_[asked.key];
        if (now - one.at >= kPrimedFor / 4) one.at = now, order_.emplace_back(now, asked.key);
        return let();
    }
    const auto step = primed_for / kStepEvery;
    if (!asked.any_size && step < kSteps &&
        asked.size_kb > kFirstKb * std::pow(kStepUp, static_cast<double>(step)))
        return ++turned_away_, ++too_large_, come_back(left);
    const double size = std::clamp(asked.size_kb / kUsualKb, 1.0, kMostCost);
    const auto above =
        worths_.end() - std::upper_bound(worths_.begin(), worths_.end(), asked.priority_weight);
    const double closed =
        worths_.size() > 1 ? kReserve * static_cast<double>(above) / static_cast<double>(worths_.size() - 1)
                           : 0;
    for (const Meter& meter : meters_)
        if (!meter.bears(size * meter.share, closed)) return ++turned_away_, come_back(left);
    Primed one{now, size, {}};
    for (std::size_t i = 0; i < meters_.size(); ++i)
        meters_[i].tokens -= one.taken[i] = size * meters_[i].share;
    primed_[asked.key] = one;
    order_.emplace_back(now, asked.key);
    return let();
}

void FillBudget::on_request_finished(std::uint64_t key, FillSource took) {
    const auto found = primed_.find(key);
    if (found == primed_.end() || found->second.size == 0) return;
    Primed& one = found->second;
    const std::array<bool, 2> filled{took == FillSource::origin, took != FillSource::none};
    for (std::size_t i = 0; i < meters_.size(); ++i) {
        meters_[i].tokens += one.taken[i] - (filled[i] ? one.size : 0);
        meters_[i].share =
            std::max(kLeastShare, meters_[i].share + kMoves * ((filled[i] ? 1 : 0) - meters_[i].share));
    }
    one.size = 0;
}

}  // namespace sumackeel::recovery
