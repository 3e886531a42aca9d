// Delivers signals of the process and requests of other threads on the loop's thread.
#pragma once

#include <uv.h>

#include <atomic>
#include <functional>

#include "net/loop.h"

namespace sumackeel::daemon {

// Watches SIGTERM and SIGHUP, and lets other threads request the same by request_...().
//
// The handles live in this object, so it must outlive the loop, which closes them.
class ProcessSignals {
  public:
    // Called on the loop's thread.
    struct Handlers {
        std::function<void()> shut_down;  // SIGTERM or request_shutdown()
        std::function<void()> reload;     // SIGHUP or request_reload()
        std::function<void()> stop;       // request_stop()
    };

    ProcessSignals() = default;
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;
    ~ProcessSignals() = default;

    // Starts watching and unblocks both signals, so that signals sent during startup are handled now. Throws
    // DaemonError if the system has no descriptors left.
    void start(net::Loop& loop, Handlers handlers);

    // From any thread, after start().
    void request_shutdown();
    void request_reload();
    void request_stop();

  private:
    void handle_requests();

    Handlers handlers_;
    uv_signal_t terminate_{};
    uv_signal_t hangup_{};
    uv_async_t wakeup_{};
    std::atomic<bool> shutdown_requested_ = false;
    std::atomic<bool> reload_requested_ = false;
    std::atomic<bool> stop_requested_ = false;
};

}  // namespace sumackeel::daemon
