// The one ordered structure that all deadlines hang in. It is swept each turn of the loop.
#pragma once

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
    using Key = std::pair<Micros, std::uint64_t>;  // due at, order of setting

    Key schedule(Micros at, std::function<void()> what) {
        const Key key{at, next_++};
        due_.emplace(key, std::move(what));
        return key;
    }

    std::size_t size() const { return due_.size(); }
    void cancel(const Key& key) { due_.erase(key); }

    std::optional<Micros> next_deadline() const {
        if (due_.empty()) return std::nullopt;
        return due_.begin()->first.first;
    }

    // Runs what is due at `now`; what it sets anew waits for the next sweep at the earliest.
    void run_due(Micros now) {
        const std::uint64_t newest = next_;
        for (auto it = due_.begin(); it != due_.end() && it->first.first <= now;) {
            if (it->first.second >= newest) {
                ++it;
                continue;
            }
            const std::function<void()> what = std::move(it->second);
            due_.erase(it);
            what();
            it = due_.begin();
        }
    }

  private:
    std::map<Key, std::function<void()>> due_;
    std::uint64_t next_ = 0;
};

}  // namespace sumackeel::base
