#include "daemon/process_signals.h"

#include <csignal>
#include <utility>

#include "base/system_error.h"
#include "daemon/daemon_error.h"
#include "net/guarded_call.h"

namespace sumackeel::daemon {

void ProcessSignals::start(net::Loop& loop, Handlers handlers) {
    handlers_ = std::move(handlers);
    uv_async_init(loop.raw(), &wakeup_, [](uv_async_t* handle) {
        auto* self = static_cast<ProcessSignals*>(handle->data);
        net::guarded_call("signal", [self] { self->handle_requests(); });
    });
    wakeup_.data = this;
    // The first signal handle of a process creates a pipe, which fails if no descriptors are left.
    const int status = base::retry_at_startup([&] { return uv_signal_init(loop.raw(), &terminate_); });
    if (status != 0)
        throw DaemonError(DaemonErrorCode::signals_unavailable,
                          "signal handling could not be started: " + base::describe_error(status));
    terminate_.data = this;
    uv_signal_start(
        &terminate_,
        [](uv_signal_t* handle, int) {
            net::guarded_call("signal", static_cast<ProcessSignals*>(handle->data)->handlers_.shut_down);
        },
        SIGTERM);
    uv_signal_init(loop.raw(), &hangup_);
    hangup_.data = this;
    uv_signal_start(
        &hangup_,
        [](uv_signal_t* handle, int) {
            net::guarded_call("signal", static_cast<ProcessSignals*>(handle->data)->handlers_.reload);
        },
        SIGHUP);
    sigset_t watched;
    sigemptyset(&watched);
    sigaddset(&watched, SIGHUP);
    sigaddset(&watched, SIGTERM);
    pthread_sigmask(SIG_UNBLOCK, &watched, nullptr);
}

void ProcessSignals::request_shutdown() {
    shutdown_requested_ = true;
    uv_async_send(&wakeup_);
}

void ProcessSignals::request_reload() {
    reload_requested_ = true;
    uv_async_send(&wakeup_);
}

void ProcessSignals::request_stop() {
    stop_requested_ = true;
    uv_async_send(&wakeup_);
}

void ProcessSignals::handle_requests() {
    if (stop_requested_) {
        handlers_.stop();
        return;
    }
    if (reload_requested_.exchange(false)) handlers_.reload();
    if (shutdown_requested_) handlers_.shut_down();
}

}  // namespace sumackeel::daemon
