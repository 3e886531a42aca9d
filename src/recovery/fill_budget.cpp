#include "recovery/fill_budget.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::recovery {

namespace {

constexpr double kBucketS = 0.5;    // of fills at the rate
constexpr double kMinCapacity = 1;  // fills; a quota of less than one a second still admits one now and then
// A large object takes a source's link for long, and so do the requests that wait behind it: at first only
// usual sizes are admitted, then, a step at a time, four times larger ones.
constexpr double kInitialMaxKb = 512, kSizeStepFactor = 4;
constexpr Micros kSizeStepInterval = 5'000'000;
constexpr int kSizeSteps = 4;              // after so many any size
constexpr double kUsualKb = 256;           // up to this size a request costs one fill, above it more
constexpr double kMaxCost = 8;             // fills
constexpr double kReservedFraction = 0.5;  // of the capacity is closed to the class of the lowest weight
// The origin is not cold, it only has all requests at once; the regions' caches are cold, and bear little.
constexpr double kInitialOriginFraction = 0.5, kInitialRegionFraction = 0.1;
constexpr Micros kOriginRampDuration = 5'000'000, kRegionRampDuration = 20'000'000;
constexpr double kFractionSmoothing = 0.05, kMinFillFraction = 0.02;
constexpr Micros kPrimedDuration = 10'000'000;
// All rejected clients have retried before a quiet period (kQuietPeriod of the phases) can end.
constexpr Micros kMinRetryAfter = 500'000, kMaxRetryAfter = 2'500'000;
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

// The buckets begin with a random part: a thousand proxies that begin together would admit a thousand
// requests in the first moment otherwise.
FillBudget::FillBudget(double origin_per_s, double regions_per_s, std::vector<double> priority_weights,
                       std::uint64_t seed)
    : meters_{Meter{.per_s = origin_per_s,
                    .initial_fraction = kInitialOriginFraction,
                    .ramp_duration = kOriginRampDuration},
              Meter{.per_s = regions_per_s,
                    .initial_fraction = kInitialRegionFraction,
                    .ramp_duration = kRegionRampDuration}},
      priority_weights_(std::move(priority_weights)),
      rng_(seed) {
    std::sort(priority_weights_.begin(), priority_weights_.end());
    for (Meter& meter : meters_) meter.tokens = std::uniform_real_distribution<>(0, kMinCapacity)(rng_);
}

void FillBudget::Meter::refill(Micros elapsed, double quota, Micros primed_for) {
    const double ramped = std::min(1.0, static_cast<double>(primed_for) / static_cast<double>(ramp_duration));
    const double rate = per_s * quota * (initial_fraction + (1 - initial_fraction) * ramped);
    capacity = std::max(kMinCapacity, rate * kBucketS);
    tokens = std::min(capacity, tokens + rate * static_cast<double>(elapsed) / 1e6);
}

// A request that costs more than the capacity is admitted by a full bucket, and leaves a debt.
bool FillBudget::Meter::can_pay(double cost, double reserved) const {
    const double closed = reserved * (capacity - kMinCapacity);
    return tokens - closed >= std::min(cost, capacity - closed) - kRoundingTolerance;
}

void FillBudget::refill(Micros now, double proxies, Micros primed_for) {
    const Micros elapsed = last_refill_at_ < 0 ? 0 : now - last_refill_at_;
    last_refill_at_ = now;
    for (Meter& meter : meters_) meter.refill(elapsed, 1 / std::max(1.0, proxies), primed_for);
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

void FillBudget::renew(Micros now, std::uint64_t key) {
    PrimedKey& primed = primed_[key];
    if (now - primed.at < kPrimedDuration / 4) return;
    primed.at = now;
    primed_order_.push_back({now, key});
}

bool FillBudget::is_too_large(const RequestCost& cost, Micros primed_for) const {
    const auto step = primed_for / kSizeStepInterval;
    return !cost.any_size && step < kSizeSteps &&
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
    // An object is charged once: later requests join its fill, or find the copy.
    if (is_primed(now, cost.key)) {
        renew(now, cost.key);
        ++admitted_;
        return std::nullopt;
    }
    if (is_too_large(cost, primed_for)) {
        ++too_large_;
        return reject(time_left);
    }
    const double fills = std::clamp(cost.size_kb / kUsualKb, 1.0, kMaxCost);
    const double reserved = reserved_fraction(cost.priority_weight);
    for (const Meter& meter : meters_)
        if (!meter.can_pay(fills * meter.fill_fraction, reserved)) return reject(time_left);
    PrimedKey primed{now, fills, {}};
    for (std::size_t i = 0; i < meters_.size(); ++i) {
        primed.charged[i] = fills * meters_[i].fill_fraction;
        meters_[i].tokens -= primed.charged[i];
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
    for (std::size_t i = 0; i < meters_.size(); ++i) {
        Meter& meter = meters_[i];
        meter.tokens += primed.charged[i] - (filled[i] ? primed.cost : 0);
        const double change = kFractionSmoothing * ((filled[i] ? 1 : 0) - meter.fill_fraction);
        meter.fill_fraction = std::max(kMinFillFraction, meter.fill_fraction + change);
    }
    primed.cost = 0;
}

}  // namespace sumackeel::recovery
