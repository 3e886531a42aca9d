// The cache fills that one proxy admits while the cluster recovers: its quota of the fills that all proxies
// together may begin, from the origin and from the regions' caches. Pure; microseconds of a steady clock.
//
// A request is charged by the fraction of recent requests that took a fill, and settled when it ends: so a
// proxy in front of warm caches is not limited by what its requests might have cost.
// Guarantees: in any second no more fills begin than the quota and one bucket allow, as far as that fraction
// is right; what needs no copy is always admitted; nothing is queued; large objects are admitted step by step
// as priming goes on. Bounds: kMaxPrimedKeys.
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
    std::uint64_t key = 0;       // of the object and part
    double priority_weight = 1;  // of its class
    double size_kb = 0;
    bool needs_copy = true;  // false: needs no cached copy, and fills none
    bool any_size = false;   // the caches are as warm as they were: large objects are admitted at once
};

// Where the copy of a served request came from.
enum class FillSource : std::uint8_t {
    none,    // a cache had it
    region,  // a region's cache
    origin,  // the origin, directly or through a region's cache
};

class FillBudget {
  public:
    // Fills a second of all proxies. `priority_weights`: of each class; the lowest is rejected first.
    FillBudget(double origin_per_s, double regions_per_s, std::vector<double> priority_weights,
               std::uint64_t seed);

    // `proxies`: how many the budget is divided by. `primed_for`: since priming began; below 0: nothing that
    // needs a copy yet. `time_left`: until serving at the latest.
    // None: admitted. Else when the client may retry.
    std::optional<Micros> admit(Micros now, const RequestCost& cost, double proxies, Micros primed_for,
                                Micros time_left);
    void on_request_finished(std::uint64_t key, FillSource source);

    std::uint64_t admitted() const { return admitted_; }
    std::uint64_t rejected() const { return rejected_; }
    std::uint64_t too_large() const { return too_large_; }  // of the rejected: by their size

  private:
    // A token bucket for one source of fills.
    struct Meter {
        double per_s = 0;
        double initial_fraction = 1;  // of the rate, when priming begins
        Micros ramp_duration = 1;     // until the full rate
        double fill_fraction = 1;     // of recent requests: took a fill from this source
        double tokens = 0;
        double capacity = 1;
        void refill(Micros elapsed, double quota, Micros primed_for);
        bool can_pay(double cost, double reserved_fraction) const;
    };
    struct PrimedKey {
        Micros at = 0;
        double cost = 0;                  // 0: settled
        std::array<double, 2> charged{};  // by meter
    };
    struct PrimedEvent {
        Micros at = 0;
        std::uint64_t key = 0;
    };

    void refill(Micros now, double proxies, Micros primed_for);
    bool is_primed(Micros now, std::uint64_t key);
    void renew(Micros now, std::uint64_t key);
    bool is_too_large(const RequestCost& cost, Micros primed_for) const;
    double reserved_fraction(double priority_weight) const;
    std::optional<Micros> reject(Micros time_left);
    Micros retry_after(Micros time_left);

    std::array<Meter, 2> meters_;  // the origin, the regions' caches
    std::vector<double> priority_weights_;
    std::mt19937_64 rng_;
    Micros last_refill_at_ = -1;
    std::unordered_map<std::uint64_t, PrimedKey> primed_;  // admitted lately
    std::deque<PrimedEvent> primed_order_;
    std::uint64_t admitted_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t too_large_ = 0;
};

}  // namespace sumackeel::recovery
