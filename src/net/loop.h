// The libuv loop with its timers and clock, and the budget of sockets.
#pragma once

#include <uv.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/memory_account.h"
#include "base/timer_queue.h"
#include "net/read_scheduler.h"

namespace sumackeel::net {

using base::Micros;

// The event loop can't be created; the text says why.
class LoopError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// What the loop has done since its start. Durations are in us, the longest of any one iteration.
struct LoopMetrics {
    std::uint64_t iterations = 0;
    std::uint64_t catch_up_iterations = 0;  // only read input, since the process had been stalled
    Micros longest_input = 0;               // handling the events of one poll
    Micros longest_processing = 0;          // timers and callbacks behind them
    Micros longest_timer_delay = 0;         // from when a timer was due until it ran
};

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
    // What all components on this loop hold.
    base::MemoryAccount& memory() { return memory_; }
    const base::MemoryAccount& memory() const { return memory_; }
    // Bytes read from a socket; consumed before the next read. Each loop has its own: if loops shared it,
    // bytes of one connection would be taken for another's.
    std::vector<char>& read_buffer() { return read_buffer_; }
    // How many bytes a client's socket, or one to a server, is read at a time: the part of a message that is
    // not complete is held, so a small one while there is no room.
    std::size_t client_read_bytes() const {
        return memory_.has_room_for_partial_requests() ? kReadBufferBytes : kReadBytesWithoutRoom;
    }
    std::size_t server_read_bytes() const {
        return memory_.has_room_for_response(kReadBufferBytes) ? kReadBufferBytes : kReadBytesWithoutRoom;
    }
    // Whether the stream may be read now; asked ahead of each read.
    bool may_read(ReadScheduler::Reader& reader) { return read_scheduler_.may_read(reader, monotonic_us()); }
    // Bytes that become readable in this iteration arrived after this time, at which the previous iteration
    // had polled.
    Micros last_poll_at() const { return previous_poll_at_; }
    // How long this iteration has been running; bytes that arrived since its start are not read yet.
    Micros iteration_age() const { return monotonic_us() - static_cast<Micros>(uv_now(&loop_)) * 1'000; }
    // `callback` is called at the end of each iteration, after the timers.
    void on_each_iteration(std::function<void()> callback) {
        iteration_callbacks_.push_back(std::move(callback));
    }
    const LoopMetrics& metrics() const { return metrics_; }
    std::uint64_t deferred_reads() const { return read_scheduler_.deferred_reads(); }

  private:
    static Micros monotonic_us() { return static_cast<Micros>(uv_hrtime() / 1'000); }
    void run_iteration();
    void run_timers_and_callbacks();
    void arm_timer();
    bool is_catching_up();

    base::MemoryAccount memory_;  // first: sockets that close with the loop are still in it
    uv_loop_t loop_;
    uv_timer_t timer_;
    uv_prepare_t prepare_;
    uv_check_t check_;
    base::Clock clock_;
    std::optional<Micros> catch_up_end_;  // until then iterations only read; none: not catching up
    Micros seen_stall_time_ = 0;          // of the clock's total_stall_time()
    Micros poll_at_ = 0;                  // when this iteration began to wait for events
    Micros previous_poll_at_ = 0;         // and the one before
    base::TimerQueue timers_;
    std::vector<std::function<void()>> iteration_callbacks_;
    LoopMetrics metrics_;
    ReadScheduler read_scheduler_;
    // One read of small requests has to take less time than ReadScheduler::kSlice.
    static constexpr std::size_t kReadBufferBytes = 16 * 1024;
    static constexpr std::size_t kReadBytesWithoutRoom = 2 * 1024;  // a usual request without a body fits
    std::vector<char> read_buffer_ = std::vector<char>(kReadBufferBytes);
};

// Sockets that may still be opened, and the memory that writes to them hold until they are done. At the limit
// new sockets are refused, open ones go on.
class SocketBudget {
  public:
    // `unsent`: under which writes to these sockets are counted in the loop's memory account.
    explicit SocketBudget(int limit, base::MemoryHolder unsent = base::MemoryHolder::other)
        : unsent_(unsent), shared_(std::make_shared<Shared>(limit)) {}
    base::MemoryHolder unsent_holder() const { return unsent_; }
    bool acquire() {
        if (shared_->used >= shared_->limit) return false;
        ++shared_->used;
        return true;
    }
    void release() { --shared_->used; }
    void write_memory(std::ptrdiff_t change) { shared_->write_memory += change; }
    std::size_t write_memory() const { return static_cast<std::size_t>(shared_->write_memory); }
    void set_limit(int limit) { shared_->limit = limit; }
    int limit() const { return shared_->limit; }
    int available() const { return shared_->limit - shared_->used; }

  private:
    struct Shared {
        explicit Shared(int max_sockets) : limit(max_sockets) {}
        int limit;
        int used = 0;
        std::ptrdiff_t write_memory = 0;
    };
    base::MemoryHolder unsent_;
    std::shared_ptr<Shared> shared_;  // by all copies: sockets close after their owners are gone
};

// Parses "10.0.0.4:9090"; false: it is no IPv4 address with a port.
bool parse_address(const std::string& text, sockaddr_in& address);

}  // namespace sumackeel::net
