// Caches in the order of their scores for one request, sorted only as far as the order is read.
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

    // The cache with the highest score but `index`; `index` is below size().
    Target* at(std::size_t index) {
        if (front_ && index == 0) return front_;
        if (front_) --index;
        while (index >= sorted_) sort_more();
        return entries_[index].target;
    }

    bool contains(const Target* target) const { return target && find(target) != entries_.end(); }

    // Puts a contained target first, whatever its score.
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
    static constexpr std::size_t kFirstSorted = 4;  // most requests read no further

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
    std::size_t sorted_ = 0;  // number of leading entries that are in order
    Target* front_ = nullptr;
};

}  // namespace sumackeel::routing
