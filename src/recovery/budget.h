// What one proxy may let through while the fleet comes back: its part of the fills that all together may
// begin. Pure; microseconds of a clock that only runs on.
//
// Promises: over any second no more is let through anew than the part rises to, and one bucket; what needs no
// copy is always let through; nothing is held. Bounds: kMostPrimed keys.
#pragma once

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

constexpr std::size_t kMostPrimed = 65'536;

struct Asked {
    std::uint64_t key = 0;  // of the object and part
    double worth = 1;       // of its class
    double size_kb = 0;
    bool needs_copy = true;  // false: leaves no copy and fills none, as `enrol`
};

class Budget {
  public:
    // `fills_per_s`: of all proxies. `worths`: of each class, for the order in which they are turned away.
    Budget(double fills_per_s, std::vector<double> worths, std::uint64_t seed);

    // `share`: how many proxies it is divided by. `risen`: 0 at the beginning of priming, 1 at its end; below
    // 0: nothing that needs a copy yet. `left`: until serving at the latest.
    // None: let through. Else when to come back.
    std::optional<Micros> turn_away(Micros now, const Asked& asked, std::size_t share, double risen,
                                    Micros left);

    std::uint64_t let_through() const { return let_through_; }
    std::uint64_t turned_away() const { return turned_away_; }

  private:
    bool primed(Micros now, std::uint64_t key);
    void prime(Micros now, std::uint64_t key);
    Micros come_back(Micros left);

    double fills_per_s_;
    std::vector<double> worths_;
    std::mt19937_64 chance_;
    double tokens_ = 0;
    Micros filled_ = -1;
    std::unordered_map<std::uint64_t, Micros> primed_;  // let through, and when
    std::deque<std::pair<Micros, std::uint64_t>> order_;
    std::uint64_t let_through_ = 0, turned_away_ = 0;
};

}  // namespace sumackeel::recovery
