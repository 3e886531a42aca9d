// Work that may wait for a disk, done on a thread of libuv's pool so that the loop never does.
#pragma once

#include <functional>

#include "net/loop.h"

namespace sumackeel::net {

// One piece of work at a time. What is under way when this is destroyed ends by itself, unheard, also where
// its disk hangs; so `work` may hold nothing that dies with the owner.
class BackgroundTask {
  public:
    explicit BackgroundTask(Loop& loop) : loop_(loop) {}
    ~BackgroundTask();
    BackgroundTask(const BackgroundTask&) = delete;
    BackgroundTask& operator=(const BackgroundTask&) = delete;

    bool busy() const { return job_ != nullptr; }
    Micros last_duration() const { return last_took_; }
    Micros running_for() const { return busy() ? loop_.clock().now() - began_ : 0; }
    // The work has been under way for longer than a disk that works takes.
    bool is_stuck() const { return running_for() > kStuckAfter; }
    static constexpr Micros kStuckAfter = 100'000;
    // Not while busy. `work` may not throw; `done` is called on the loop, where more work may be given.
    void run(std::function<void()> work, std::function<void()> done);

  private:
    struct Job;
    Loop& loop_;
    Job* job_ = nullptr;
    Micros began_ = 0, last_took_ = 0;
};

}  // namespace sumackeel::net
