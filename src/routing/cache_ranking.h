// Candidate choice: the pop caches of the own zone as a compact table, and their order for one request.
//
// A list may name thousands of pop caches, and every request is ranked over those of its zone. So what the
// ranking reads of each stands side by side here, and the order is sorted only as far as it is read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "routing/state.h"

namespace sumackeel::routing {

// What ranking needs of one pop cache that may be used. `warm` and `open` mirror what its Target says.
struct ZoneCache {
    std::uint64_t hash = 0;
    double weight = 0;
    Target* target = nullptr;
    bool warm = false;  // takes its whole weight: not in slow start, and no window reaches back into it
    bool open = false;  // its circuit breaker is open
};

// Pop caches with their scores, highest first.
class Ranking {
  public:
    void add(double score, Target* target) { entries_.push_back({score, target}); }
    std::size_t size() const { return entries_.size() + (front_ ? 1 : 0); }
    bool empty() const { return size() == 0; }

    Target* at(std::size_t place) {
        if (front_ && place == 0) return front_;
        if (front_) --place;
        while (place >= sorted_) sort_more();
        return entries_[place].target;
    }

    bool contains(const Target* target) const { return target && find(target) != entries_.end(); }

    // The one that is asked first, whatever its score; it has to be contained.
    void move_to_front(Target* target) {
        const auto found = find(target);
        if (found - entries_.begin() < static_cast<std::ptrdiff_t>(sorted_)) --sorted_;
        entries_.erase(found);
        front_ = target;
    }

  private:
    struct Entry {
        double score;
        Target* target;
    };
    static constexpr std::size_t kFirstSorted = 4;  // most requests look no further

    std::vector<Entry>::const_iterator find(const Target* target) const {
        return std::ranges::find(entries_, target, &Entry::target);
    }

    void sort_more() {
        const std::size_t next = std::min(entries_.size(), std::max(kFirstSorted, 2 * sorted_));
        const auto begin = entries_.begin();
        std::partial_sort(begin + static_cast<std::ptrdiff_t>(sorted_),
                          begin + static_cast<std::ptrdiff_t>(next), entries_.end(),
                          [](const Entry& a, const Entry& b) { return a.score > b.score; });
        sorted_ = next;
    }

    std::vector<Entry> entries_;
    std::size_t sorted_ = 0;  // so many of the first are in order
    Target* front_ = nullptr;
};

}  // namespace sumackeel::routing
