// What one proxy may let through while the fleet comes back: its part of the fills that all together may
// begin, from the origin and from the hubs. Pure; microseconds of a clock that only runs on.
//
// A request is let through for what it will cost by the share of late that took a fill, and settled when it
// ends: so a proxy before warm caches is not held back by what it might have cost.
// Promises: over any second no more fills are begun than the part rises to, and one bucket, as far as the
// share is right; what needs no copy is always let through; nothing is held; large objects pass step
// by step as priming goes on. Bounds: kMostPrimed keys.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace sumackeel::recovery {

using base::Micros;

constexpr std::size_t kMaxPrimedKeys = 65'536;

struct RequestCost {
    std::uint64_t key = 0;       // of the object and part
    double priority_weight = 1;  // of its class
    double size_kb = 0;
    bool needs_copy = true;  // false: leaves no copy and fills none, as `enrol`
    bool any_size = false;   // of a process that only stood still: the caches are as warm as they were
};

// What a request that was served took.
enum class FillSource : std::uint8_t { none, hub, origin };  // origin: by way of a hub, or straight

class FillBudget {
  public:
    // Fills a second of all proxies. `worths`: of each class, for the order in which they are turned away.
    FillBudget(double origin_per_s, double hubs_per_s, std::vector<double> worths, std::uint64_t seed);

    // `share`: how many proxies it is divided by. `primed_for`: since the beginning of priming; below 0:
    // nothing that needs a copy yet. `left`: until serving at the latest.
    // None: let through. Else when to come back.
    std::optional<Micros> admit(Micros now, const RequestCost& asked, double share, Micros primed_for,
                                Micros left);
    void on_request_finished(std::uint64_t key, FillSource took);

    std::uint64_t admitted() const { return let_through_; }
    std::uint64_t rejected() const { return turned_away_; }
    std::uint64_t too_large() const { return too_large_; }  // of those: for the step that they came in

  private:
    struct Meter {
        double per_s = 0, first = 1;  // first: of the part, at the beginning
        Micros rises = 1;             // until the whole
        double share = 1;             // of those that ended lately: took a fill of this kind
        double tokens = 0, bucket = 1;
        void fill(Micros passed, double part, Micros primed_for);
        bool bears(double cost, double closed) const;
    };
    struct Primed {
        Micros at = 0;
        double size = 0;                // 0: settled
        std::array<double, 2> taken{};  // of each meter
    };
    bool primed(Micros now, std::uint64_t key);
    Micros come_back(Micros left);

    std::array<Meter, 2> meters_;  // the origin, the hubs
    std::vector<double> worths_;
    std::mt19937_64 chance_;
    Micros filled_ = -1;
    std::unordered_map<std::uint64_t, Primed> primed_;  // let through lately
    std::deque<std::pair<Micros, std::uint64_t>> order_;
    std::uint64_t let_through_ = 0, turned_away_ = 0, too_large_ = 0;
};

}  // namespace sumackeel::recovery
