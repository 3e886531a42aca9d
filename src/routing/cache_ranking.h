// Caches ordered by descending score for one request. Sorted lazily, only as far as it is read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "routing/target.h"

namespace sumackeel::routing {

class CacheRanking {
  public:
    void add(double score, Target* target) { entries_.push_back({score, target}); }
    std::size_t size() const { return entries_.size() + (front_ ? 1 : 0); }
    bool empty() const { return size() == 0; }

    // The cache at position `index` in descending score order; requires `index` < size().
    Target* at(std::size_t index) {
        if (front_ && index == 0) return front_;
        if (front_) --index;
        while (index >= sorted_) sort_more();
        return entries_[index].target;
    }

    bool contains(const Target* target) const { return target && find(target) != entries_.end(); }

    // Moves a target to the first position regardless of its score; requires contains(target).
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
    static constexpr std::size_t kInitialSortedCount = 4;  // most requests read no more entries than this

    std::vector<Entry>::const_iterator find(const Target* target) const {
        return std::ranges::find(entries_, target, &Entry::target);
    }

    void sort_more() {
        const std::size_t next = std::min(entries_.size(), std::max(kInitialSortedCount, 2 * sorted_));
        const auto begin = entries_.begin();
        std::partial_sort(begin + static_cast<std::ptrdiff_t>(sorted_),
                          begin + static_cast<std::ptrdiff_t>(next), entries_.end(),
                          [](const Entry& a, const Entry& b) { return a.score > b.score; });
        sorted_ = next;
    }

    std::vector<Entry> entries_;
    std::size_t sorted_ = 0;  // number of leading entries already sorted
    Target* front_ = nullptr;
};

}  // namespace sumackeel::routing
