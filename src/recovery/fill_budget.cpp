#include "recovery/fill_budget.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::recovery {

namespace {

constexpr double kBucketDurationS = 0.5;  // bucket capacity, in seconds at the full rate
constexpr double kMinCapacity = 1;        // fills; a quota below one per second still admits some
// Transfers of large objects occupy a source's link for a long time and delay the requests queued behind
// them. The size limit starts at common sizes and increases fourfold with each step.
constexpr double kInitialMaxKb = 512, kSizeStepFactor = 4;
constexpr Micros kSizeStepInterval = 5'000'000;
constexpr int kSizeSteps = 4;              // afterwards there is no size limit
constexpr double kSizePerFillKb = 256;     // requests up to this size cost one fill, larger ones more
constexpr double kMaxCost = 8;             // fills
constexpr double kReservedFraction = 0.5;  // part of the capacity that the lowest-weight class may not use
// The origin is warm but receives all requests at once; the regions' caches are cold and tolerate little
// load.
constexpr double kInitialOriginFraction = 0.5, kInitialRegionFraction = 0.1;
constexpr Micros kOriginRampDuration = 5'000'000, kRegionRampDuration = 20'000'000;
constexpr double kFractionSmoothing = 0.05, kMinFillFraction = 0.02;
constexpr Micros kPrimedDuration = 10'000'000;
// The maximum is below kQuietPeriod, so that all rejected clients retry before a quiet period can end.
constexpr Micros kMinRetryAfter = 500'000, kMaxRetryAfter = 2'500'000;
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

// The buckets start with a random number of tokens. Otherwise a thousand proxies that start at the same time
// would admit a thousand requests at once.
FillBudget::FillBudget(double origin_per_s, double regions_per_s, std::vector<double> priority_weights,
                       std::uint64_t seed)
    : buckets_{TokenBucket{.rate_per_s = origin_per_s,
                           .initial_fraction = kInitialOriginFraction,
                           .ramp_duration = kOriginRampDuration},
               TokenBucket{.rate_per_s = regions_per_s,
                           .initial_fraction = kInitialRegionFraction,
                           .ramp_duration = kRegionRampDuration}},
      priority_weights_(std::move(priority_weights)),
      rng_(seed) {
    std::sort(priority_weights_.begin(), priority_weights_.end());
    for (TokenBucket& bucket : buckets_)
        bucket.tokens = std::uniform_real_distribution<>(0, kMinCapacity)(rng_);
}

void FillBudget::TokenBucket::refill(Micros elapsed, double quota, Micros primed_for) {
    const double ramped = std::min(1.0, static_cast<double>(primed_for) / static_cast<double>(ramp_duration));
    const double rate = rate_per_s * quota * (initial_fraction + (1 - initial_fraction) * ramped);
    capacity = std::max(kMinCapacity, rate * kBucketDurationS);
    tokens = std::min(capacity, tokens + rate * static_cast<double>(elapsed) / 1e6);
}

// A request that costs more than the capacity is admitted if the bucket is full, and makes it negative.
bool FillBudget::TokenBucket::can_afford(double cost, double reserved) const {
    const double reserved_tokens = reserved * (capacity - kMinCapacity);
    return tokens - reserved_tokens >= std::min(cost, capacity - reserved_tokens) - kRoundingTolerance;
}

void FillBudget::refill(Micros now, double proxies, Micros primed_for) {
    const Micros elapsed = last_refill_at_ < 0 ? 0 : now - last_refill_at_;
    last_refill_at_ = now;
    for (TokenBucket& bucket : buckets_) bucket.refill(elapsed, 1 / std::max(1.0, proxies), primed_for);
}

bool FillBudget::is_primed(Micros now, std::uint64_t key) {
    while (!primed_order_.empty() &&
           (primed_order_.front().at + kPrimedDuration < now || primed_order_.size() > kMaxPrimedKeys)) {
        const PrimedEvent& oldest = primed_order_.front();
        const auto found = primed_.find(oldest.key);
        if (found != primed_.end() && found->second.at == oldest.at) primed_.erase(found);
        primed_order_.pop_front();
    }
    return primed_.contains(key);
}

void FillBudget::extend_primed(Micros now, std::uint64_t key) {
    PrimedKey& primed = primed_[key];
    if (now - primed.at < kPrimedDuration / 4) return;
    primed.at = now;
    primed_order_.push_back({now, key});
}

bool FillBudget::is_too_large(const RequestCost& cost, Micros primed_for) const {
    const auto step = primed_for / kSizeStepInterval;
    return !cost.ignore_size_limit && step < kSizeSteps &&
           cost.size_kb > kInitialMaxKb * std::pow(kSizeStepFactor, static_cast<double>(step));
}

double FillBudget::reserved_fraction(double priority_weight) const {
    if (priority_weights_.size() <= 1) return 0;
    const auto higher = priority_weights_.end() -
                        std::upper_bound(priority_weights_.begin(), priority_weights_.end(), priority_weight);
    return kReservedFraction * static_cast<double>(higher) /
           static_cast<double>(priority_weights_.size() - 1);
}

Micros FillBudget::retry_after(Micros time_left) {
    const Micros latest = std::clamp(time_left, 2 * kMinRetryAfter, kMaxRetryAfter);
    return std::uniform_int_distribution<Micros>(kMinRetryAfter, latest)(rng_);
}

std::optional<Micros> FillBudget::reject(Micros time_left) {
    ++rejected_;
    return retry_after(time_left);
}

std::optional<Micros> FillBudget::admit(Micros now, const RequestCost& cost, double proxies,
                                        Micros primed_for, Micros time_left) {
    if (!cost.needs_copy) {
        ++admitted_;
        return std::nullopt;
    }
    if (primed_for < 0) return reject(time_left);
    refill(now, proxies, primed_for);
    // Each object is charged once: later requests join its fill or hit the cached copy.
    if (is_primed(now, cost.key)) {
        extend_primed(now, cost.key);
        ++admitted_;
        return std::nullopt;
    }
    if (is_too_large(cost, primed_for)) {
        ++too_large_;
        return reject(time_left);
    }
    const double fills = std::clamp(cost.size_kb / kSizePerFillKb, 1.0, kMaxCost);
    const double reserved = reserved_fraction(cost.priority_weight);
    for (const TokenBucket& bucket : buckets_)
        if (!bucket.can_afford(fills * bucket.fill_fraction, reserved)) return reject(time_left);
    PrimedKey primed{now, fills, {}};
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        primed.charged[i] = fills * buckets_[i].fill_fraction;
        buckets_[i].tokens -= primed.charged[i];
    }
    primed_[cost.key] = primed;
    primed_order_.push_back({now, cost.key});
    ++admitted_;
    return std::nullopt;
}

void FillBudget::on_request_finished(std::uint64_t key, FillSource source) {
    const auto found = primed_.find(key);
    if (found == primed_.end() || found->second.cost == 0) return;
    PrimedKey& primed = found->second;
    const std::array<bool, 2> filled{source == FillSource::origin, source != FillSource::none};
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        TokenBucket& bucket = buckets_[i];
        bucket.tokens += primed.charged[i] - (filled[i] ? primed.cost : 0);
        const double change = kFractionSmoothing * ((filled[i] ? 1 : 0) - bucket.fill_fraction);
        bucket.fill_fraction = std::max(kMinFillFraction, bucket.fill_fraction + change);
    }
    primed.cost = 0;
}

}  // namespace sumackeel::recovery
