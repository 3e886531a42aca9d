// Map with a maximum number of entries that evicts the least recently touched one.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace sumackeel::routing {

template <typename Key, typename Value>
class BoundedMap {
  public:
    explicit BoundedMap(std::size_t capacity) : capacity_(capacity) {}

    Value* find(const Key& key) {
        auto found = index_.find(key);
        return found == index_.end() ? nullptr : &found->second->second;
    }

    const Value* find(const Key& key) const {
        auto found = index_.find(key);
        return found == index_.end() ? nullptr : &found->second->second;
    }

    // Finds or creates the entry and marks it as the most recently touched.
    Value& touch(const Key& key) {
        auto found = index_.find(key);
        if (found != index_.end()) {
            entries_.splice(entries_.end(), entries_, found->second);
            return found->second->second;
        }
        if (index_.size() >= capacity_) evict_oldest();
        entries_.emplace_back(key, Value{});
        index_[key] = std::prev(entries_.end());
        return entries_.back().second;
    }

    // Evicts entries, least recently touched first, until `is_expired` returns false.
    template <typename IsExpired>
    void sweep(IsExpired is_expired) {
        while (!entries_.empty() && is_expired(entries_.front().second)) evict_oldest();
    }

    std::size_t size() const { return index_.size(); }

  private:
    void evict_oldest() {
        index_.erase(entries_.front().first);
        entries_.pop_front();
    }

    std::size_t capacity_;
    std::list<std::pair<Key, Value>> entries_;
    std::unordered_map<Key, typename std::list<std::pair<Key, Value>>::iterator> index_;
};

}  // namespace sumackeel::routing
