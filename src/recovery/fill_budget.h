// Limits the cache fills that one proxy admits while the cluster recovers: its share of the fills that all
// proxies together may start, from the origin and from the regions' caches. Pure; times are microseconds of a
// steady clock.
//
// A request is charged the expected cost, which is the fraction of recent requests that caused a fill, and
// the difference to the actual cost is settled when it ends. So a proxy in front of warm caches is not
// limited by the worst-case cost of its requests.
//
// Guarantees: provided that the fraction is accurate, at most the quota plus one bucket of fills start in any
// second; requests that need no copy are always admitted; nothing is queued; the size limit for objects
// increases in steps during priming. Memory is bounded by kMaxPrimedKeys.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace sumackeel::recovery {

using base::Micros;

constexpr std::size_t kMaxPrimedKeys = 65'536;

struct RequestCost {
    std::uint64_t key = 0;       // identifies the object and part
    double priority_weight = 1;  // of the request's class
    double size_kb = 0;
    bool needs_copy = true;          // false: neither needs a cached copy nor fills one
    bool ignore_size_limit = false;  // no size limit, because the caches are still warm
};

// The source of the copy that a request was served from.
enum class FillSource : std::uint8_t {
    none,    // cache hit, no fill
    region,  // a region's cache
    origin,  // the origin, directly or through a region's cache
};

class FillBudget {
  public:
    // The rates are fills per second of all proxies together. `priority_weights`: one per class; requests of
    // the lowest are rejected first.
    FillBudget(double origin_per_s, double regions_per_s, std::vector<double> priority_weights,
               std::uint64_t seed);

    // `proxies`: the number of proxies that share the budget. `primed_for`: time since the start of priming;
    // negative: requests that need a copy are rejected. `time_left`: until `serving` begins at the latest.
    // Returns nullopt if the request is admitted, otherwise the time after which the client may retry.
    std::optional<Micros> admit(Micros now, const RequestCost& cost, double proxies, Micros primed_for,
                                Micros time_left);
    void on_request_finished(std::uint64_t key, FillSource source);

    std::uint64_t admitted() const { return admitted_; }
    std::uint64_t rejected() const { return rejected_; }
    std::uint64_t too_large() const { return too_large_; }  // rejected because of their size

  private:
    // Token bucket for one source of fills.
    struct TokenBucket {
        double rate_per_s = 0;
        double initial_fraction = 1;  // of the rate, at the start of priming
        Micros ramp_duration = 1;     // until the full rate is reached
        double fill_fraction = 1;     // fraction of recent requests that caused a fill from this source
        double tokens = 0;
        double capacity = 1;
        void refill(Micros elapsed, double quota, Micros primed_for);
        bool can_afford(double cost, double reserved) const;
    };
    struct PrimedKey {
        Micros at = 0;
        double cost = 0;                  // in fills; 0: settled
        std::array<double, 2> charged{};  // by bucket
    };
    struct PrimedEvent {
        Micros at = 0;
        std::uint64_t key = 0;
    };

    void refill(Micros now, double proxies, Micros primed_for);
    bool is_primed(Micros now, std::uint64_t key);
    void extend_primed(Micros now, std::uint64_t key);
    bool is_too_large(const RequestCost& cost, Micros primed_for) const;
    double reserved_fraction(double priority_weight) const;
    std::optional<Micros> reject(Micros time_left);
    Micros retry_after(Micros time_left);

    std::array<TokenBucket, 2> buckets_;  // for the origin and for the regions' caches
    std::vector<double> priority_weights_;
    std::mt19937_64 rng_;
    Micros last_refill_at_ = -1;
    std::unordered_map<std::uint64_t, PrimedKey> primed_;  // recently admitted
    std::deque<PrimedEvent> primed_order_;
    std::uint64_t admitted_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t too_large_ = 0;
};

}  // namespace sumackeel::recovery
