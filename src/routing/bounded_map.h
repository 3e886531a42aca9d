// Map of texts with a maximum number of entries that evicts the least recently touched one.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory_resource>
#include <string>
#include <string_view>
#include <unordered_set>

namespace sumackeel::routing {

template <typename Value>
class BoundedMap {
  public:
    explicit BoundedMap(std::size_t capacity) : capacity_(capacity) {}

    Value* find(std::string_view key) {
        auto found = index_.find(key);
        return found == index_.end() ? nullptr : &(*found)->value;
    }

    const Value* find(std::string_view key) const {
        auto found = index_.find(key);
        return found == index_.end() ? nullptr : &(*found)->value;
    }

    // Finds or creates the entry and marks it as the most recently touched.
    Value& touch(std::string_view key) {
        auto found = index_.find(key);
        if (found != index_.end()) {
            entries_.splice(entries_.end(), entries_, *found);
            return (*found)->value;
        }
        if (index_.size() >= capacity_) evict_oldest();
        entries_.push_back(Entry{std::pmr::string(key, &blocks_), Value{}});
        index_.insert(std::prev(entries_.end()));
        return entries_.back().value;
    }

    // Evicts entries, least recently touched first, until `is_expired` returns false.
    template <typename IsExpired>
    void sweep(IsExpired is_expired) {
        while (!entries_.empty() && is_expired(entries_.front().value)) evict_oldest();
    }

    std::size_t size() const { return index_.size(); }

  private:
    struct Entry {
        std::pmr::string key;
        Value value;
    };
    using Entries = std::pmr::list<Entry>;
    using Position = typename Entries::iterator;
    static std::string_view key_of(std::string_view key) { return key; }
    static std::string_view key_of(const Position& position) { return position->key; }
    // Positions are found by their keys, so that each key is kept once.
    struct Hash {
        using is_transparent = void;  // NOLINT(readability-identifier-naming): the standard library's
        template <typename Any>
        std::size_t operator()(const Any& any) const {
            return std::hash<std::string_view>{}(key_of(any));
        }
    };
    struct Equal {
        using is_transparent = void;  // NOLINT(readability-identifier-naming): the standard library's
        template <typename Left, typename Right>
        bool operator()(const Left& left, const Right& right) const {
            return key_of(left) == key_of(right);
        }
    };

    void evict_oldest() {
        index_.erase(index_.find(std::string_view(entries_.front().key)));
        entries_.pop_front();
    }

    std::size_t capacity_;
    // Entries live long. In blocks of their own they don't keep pages of shorter-lived memory in use.
    std::pmr::unsynchronized_pool_resource blocks_;
    Entries entries_{&blocks_};
    std::pmr::unordered_set<Position, Hash, Equal> index_{&blocks_};
};

}  // namespace sumackeel::routing
