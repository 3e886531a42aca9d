#include "net/loop.h"

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "base/system_error.h"
#include "net/guarded_call.h"

namespace sumackeel::net {

namespace {

constexpr Micros kMicrosPerMilli = 1'000;
constexpr int kMaxPort = 65'535;
constexpr Micros kMaxCatchUpTime = 50'000;  // us; so that endless input does not keep timers from running

}  // namespace

Loop::Loop() {
    std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection is an error like any other
    std::signal(SIGXFSZ, SIG_IGN);  // and so is one to a file that may not grow
    const int failed = base::retry_at_startup([this] { return uv_loop_init(&loop_); });
    if (failed != 0) throw LoopError("can't create event loop: " + base::describe_error(failed));
    loop_.data = this;
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_check_init(&loop_, &check_);
    timer_.data = prepare_.data = check_.data = this;
    uv_prepare_start(&prepare_, [](uv_prepare_t* handle) { static_cast<Loop*>(handle->data)->arm_timer(); });
    uv_check_start(&check_, [](uv_check_t* handle) { static_cast<Loop*>(handle->data)->run_iteration(); });
    uv_unref(reinterpret_cast<uv_handle_t*>(&prepare_));
    uv_unref(reinterpret_cast<uv_handle_t*>(&check_));
}

Loop::~Loop() {
    uv_walk(
        &loop_,
        [](uv_handle_t* handle, void*) {
            if (!uv_is_closing(handle)) uv_close(handle, nullptr);
        },
        nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
}

void Loop::run() {
    uv_run(&loop_, UV_RUN_DEFAULT);
}

// After a stall of the process all due timers would run before the input that arrived meanwhile is read:
// attempts would time out though their responses have arrived, and clients that have left would be served. So
// iterations only read, as long as input is waiting.
bool Loop::is_catching_up() {
    const Micros now = clock_.now();
    if (clock_.total_stall_time() != std::exchange(seen_stall_time_, clock_.total_stall_time()))
        catch_up_end_ = now + kMaxCatchUpTime;
    if (!catch_up_end_) return false;
    // Polls again, since a wait that was interrupted by a signal, such as the one that continues the process,
    // tells nothing about waiting input.
    pollfd backend{.fd = uv_backend_fd(&loop_), .events = POLLIN, .revents = 0};
    if (now >= *catch_up_end_ || ::poll(&backend, 1, 0) == 0) catch_up_end_.reset();
    return catch_up_end_.has_value();
}

void Loop::run_iteration() {
    ++metrics_.iterations;
    read_scheduler_.end_iteration();
    metrics_.longest_input = std::max(metrics_.longest_input, iteration_age());
    if (is_catching_up()) {
        ++metrics_.catch_up_iterations;
        return;
    }
    const Micros began = clock_.now();
    if (const auto due = timers_.next_deadline())
        metrics_.longest_timer_delay = std::max(metrics_.longest_timer_delay, began - *due);
    run_timers_and_callbacks();
    metrics_.longest_processing = std::max(metrics_.longest_processing, clock_.now() - began);
}

void Loop::run_timers_and_callbacks() {
    // A timer is off the queue before it runs; those behind one that fails run in the next iteration.
    guarded_call("timer", [this] { timers_.run_due(clock_.now()); });
    for (const auto& callback : iteration_callbacks_) guarded_call("iteration", callback);
}

void Loop::arm_timer() {
    const Micros now = clock_.now();
    if (!catch_up_end_) previous_poll_at_ = std::exchange(poll_at_, now);
    const auto next = catch_up_end_ ? now : timers_.next_deadline();
    clock_.expect_wakeup(next);
    if (!next) {
        uv_timer_stop(&timer_);
        return;
    }
    uv_update_time(&loop_);
    const Micros wait = std::max<Micros>(0, *next - clock_.now());
    uv_timer_start(
        &timer_, [](uv_timer_t*) {},
        static_cast<std::uint64_t>((wait + kMicrosPerMilli - 1) / kMicrosPerMilli), 0);
}

bool parse_address(const std::string& text, sockaddr_in& address) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    int port = -1;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc{} || read.ptr != end || port < 0 || port > kMaxPort) return false;
    return uv_ip4_addr(text.substr(0, colon).c_str(), port, &address) == 0;
}

}  // namespace sumackeel::net
