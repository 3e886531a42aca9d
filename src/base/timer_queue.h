// All timers of a loop in one ordered structure; run_due() is called in each iteration.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"

namespace sumackeel::base {

class TimerQueue {
  public:
    // Names one timer: when it is due, and its place among those of the same moment.
    struct Key {
        Micros due_at = 0;
        std::uint64_t order = 0;
        auto operator<=>(const Key&) const = default;
    };

    // Calls `callback` once, in the first run_due() at `at` or later.
    Key schedule(Micros at, std::function<void()> callback) {
        const Key key{at, next_order_++};
        timers_.emplace(key, std::move(callback));
        return key;
    }
    std::size_t size() const { return timers_.size(); }
    // Does nothing for a timer that has run.
    void cancel(const Key& key) { timers_.erase(key); }
    std::optional<Micros> next_deadline() const {
        if (timers_.empty()) return std::nullopt;
        return timers_.begin()->first.due_at;
    }

    // Runs what is due at `now`. What a callback schedules waits for the next call at the earliest.
    void run_due(Micros now) {
        const std::uint64_t first_new = next_order_;
        for (auto it = timers_.begin(); it != timers_.end() && it->first.due_at <= now;) {
            if (it->first.order >= first_new) {
                ++it;
                continue;
            }
            const std::function<void()> callback = std::move(it->second);
            timers_.erase(it);
            callback();
            it = timers_.begin();
        }
    }

  private:
    std::map<Key, std::function<void()>> timers_;
    std::uint64_t next_order_ = 0;
};

}  // namespace sumackeel::base
