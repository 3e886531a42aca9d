// Runs work that may block on a disk in libuv's thread pool, so that it does not block the loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace sumackeel::net {

// One piece of work at a time. Work that is running on destruction continues, even if its disk hangs, and its
// result is dropped; so `work` must not reference anything that is destroyed with the owner.
class BackgroundTask {
  public:
    explicit BackgroundTask(Loop& loop) : loop_(loop) {}
    ~BackgroundTask();
    BackgroundTask(const BackgroundTask&) = delete;
    BackgroundTask& operator=(const BackgroundTask&) = delete;

    bool busy() const { return job_ != nullptr; }
    Micros last_duration() const { return last_duration_; }
    Micros running_for() const { return busy() ? loop_.clock().now() - started_at_ : 0; }
    // The work has been running for longer than a working disk takes.
    bool is_stuck() const { return running_for() > kStuckAfter; }
    static constexpr Micros kStuckAfter = 100'000;  // us
    // Not while busy. `work` must not throw; `done` is called on the loop and may start the next work.
    void run(std::function<void()> work, std::function<void()> done);

  private:
    struct Job;
    Loop& loop_;
    Job* job_ = nullptr;
    Micros started_at_ = 0;
    Micros last_duration_ = 0;
};

}  // namespace sumackeel::net
