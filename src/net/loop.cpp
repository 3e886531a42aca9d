#include "net/loop.h"

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/system_error.h"

namespace sumackeel::net {

namespace {

constexpr int kMostCatchingUp = 64;  // turns; a flood must not keep all else from being done

}  // namespace

Loop::Loop() {
    std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection is an error like any other
    std::signal(SIGXFSZ, SIG_IGN);  // and so is one to a file that may not grow
    const int failed = base::retry_at_startup([this] { return uv_loop_init(&loop_); });
    if (failed != 0) throw std::runtime_error("no event loop can be made: " + base::describe_error(failed));
    loop_.data = this;
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_check_init(&loop_, &check_);
    timer_.data = prepare_.data = check_.data = this;
    uv_prepare_start(&prepare_, [](uv_prepare_t* handle) { static_cast<Loop*>(handle->data)->arm(); });
    uv_check_start(&check_, [](uv_check_t* handle) { static_cast<Loop*>(handle->data)->turn(); });
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

// Danger: behind a time in which the process stood still all that was due would run before what came
// meanwhile is known: answers would be given up and clients that left be served. So turns are spent on
// reading alone for as long as something waits to be read.
bool Loop::catches_up() {
    clock_.now();
    if (clock_.total_stall_time() != std::exchange(seen_stalled_, clock_.total_stall_time()))
        catching_up_ = kMostCatchingUp;
    if (catching_up_ == 0) return false;
    // Asked of the system anew: a wait that a signal ended, as the one that lets the process go on, tells
    // nothing.
    pollfd backend{.fd = uv_backend_fd(&loop_), .events = POLLIN, .revents = 0};
    catching_up_ = ::poll(&backend, 1, 0) == 0 ? 0 : catching_up_ - 1;
    return catching_up_ > 0;
}

void Loop::turn() {
    // Called from C, so nothing may be thrown past here. What was due is off the list before it runs.
    try {
        if (catches_up()) return;
        timers_.run_due(clock_.now());
        for (const auto& what : turns_) what();
    } catch (const std::exception& fault) {
        log::error("a turn of the loop broke off: {}", fault.what());
    }
}

void Loop::arm() {
    const Micros now = clock_.now();
    if (catching_up_ == 0) previous_look_ = std::exchange(look_, now);
    const auto next = catching_up_ > 0 ? look_ : timers_.next_deadline();
    clock_.expect_wakeup(next);
    if (!next) {
        uv_timer_stop(&timer_);
        return;
    }
    uv_update_time(&loop_);
    const Micros wait = std::max<Micros>(0, *next - clock_.now());
    uv_timer_start(
        &timer_, [](uv_timer_t*) {}, static_cast<std::uint64_t>((wait + 999) / 1000), 0);
}

bool parse_address(const std::string& text, sockaddr_in& address) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    int port = -1;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc{} || read.ptr != end || port < 0 || port > 65535) return false;
    return uv_ip4_addr(text.substr(0, colon).c_str(), port, &address) == 0;
}

}  // namespace sumackeel::net
