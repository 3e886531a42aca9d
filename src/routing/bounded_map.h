// A map that holds at most a given number of entries and forgets the one touched longest ago first.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace sumackeel::routing {

template <typename Key, typename Value>
class BoundedMap {
  public:
    explicit BoundedMap(std::size_t most) : most_(most) {}

    Value* find(const Key& key) {
        auto found = places_.find(key);
        return found == places_.end() ? nullptr : &found->second->second;
    }

    const Value* find(const Key& key) const {
        auto found = places_.find(key);
        return found == places_.end() ? nullptr : &found->second->second;
    }

    // Finds or makes the entry and moves it to the end that is forgotten last.
    Value& touch(const Key& key) {
        auto found = places_.find(key);
        if (found != places_.end()) {
            order_.splice(order_.end(), order_, found->second);
            return found->second->second;
        }
        if (places_.size() >= most_) forget_oldest();
        order_.emplace_back(key, Value{});
        places_[key] = std::prev(order_.end());
        return order_.back().second;
    }

    // Forgets from the longest untouched on, as long as `is_old` says so.
    template <typename IsOld>
    void sweep(IsOld is_old) {
        while (!order_.empty() && is_old(order_.front().second)) forget_oldest();
    }

    std::size_t size() const { return places_.size(); }

  private:
    void forget_oldest() {
        places_.erase(order_.front().first);
        order_.pop_front();
    }

    std::size_t most_;
    std::list<std::pair<Key, Value>> order_;
    std::unordered_map<Key, typename std::list<std::pair<Key, Value>>::iterator> places_;
};

}  // namespace sumackeel::routing
