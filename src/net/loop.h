// The libuv loop with the deadlines swept each turn, and the budget of descriptors.
#pragma once

#include <uv.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/timer_queue.h"

namespace sumackeel::net {

using base::Micros;

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void run();
    void stop() { uv_stop(&loop_); }
    uv_loop_t* raw() { return &loop_; }
    base::Clock& clock() { return clock_; }
    base::TimerQueue& timers() { return timers_; }
    // What is read goes here, and is used up before the next read. Danger: shared between loops, bytes of one
    // loop's connection would be taken for another's.
    std::vector<char>& read_buffer() { return read_buffer_; }
    // What becomes readable in this turn arrived after this moment: the turn before had looked by then.
    Micros last_poll_at() const { return previous_look_; }
    // For how long this turn has been at work: what came since it began is not read yet.
    Micros iteration_age() const { return static_cast<Micros>(uv_hrtime() / 1'000 - uv_now(&loop_) * 1'000); }
    // Called at the end of each turn, after the deadlines.
    void on_each_iteration(std::function<void()> what) { turns_.push_back(std::move(what)); }

  private:
    void turn();
    void arm();
    bool catches_up();

    uv_loop_t loop_;
    uv_timer_t timer_;
    uv_prepare_t prepare_;
    uv_check_t check_;
    base::Clock clock_;
    int catching_up_ = 0;                  // turns that may still be spent on reading alone
    Micros seen_stalled_ = 0;              // of the clock's stalled()
    Micros look_ = 0, previous_look_ = 0;  // when this turn and the one before began to wait for events
    base::TimerQueue timers_;
    std::vector<std::function<void()>> turns_;
    std::vector<char> read_buffer_ = std::vector<char>(256 * 1024);
};

// Sockets that may still be opened, and the bytes given to them that are not sent. At its end things are
// refused, never broken.
class SocketBudget {
  public:
    explicit SocketBudget(int most) : shared_(std::make_shared<Shared>(most)) {}
    bool acquire() { return shared_->used < shared_->most ? ++shared_->used, true : false; }
    void release() { --shared_->used; }
    void unsent_bytes(std::ptrdiff_t more) { shared_->unsent += more; }
    std::size_t unsent_bytes() const { return static_cast<std::size_t>(shared_->unsent); }
    void set_limit(int most) { shared_->most = most; }
    int limit() const { return shared_->most; }
    int available() const { return shared_->most - shared_->used; }

  private:
    struct Shared {
        explicit Shared(int m) : most(m) {}
        int most, used = 0;
        std::ptrdiff_t unsent = 0;
    };
    std::shared_ptr<Shared> shared_;  // by copies: sockets close after their holders are gone
};

// "10.0.0.4:9090" as a socket address; false: it is none.
bool parse_address(const std::string& text, sockaddr_in& address);

}  // namespace sumackeel::net
