#include "daemon/shutdown_controller.h"

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

// After SIGTERM connections still arrive for 0.4 s and requests for a further 0.2 s. If the socket was
// inherited, the process that replaces this one accepts them on it, and is ready before SIGTERM.
constexpr Micros kKeepAcceptingFor = 1'000'000;
// A client connected just before the listener closed sends its request within this.
constexpr Micros kFirstRequestTimeout = 2'000'000;
constexpr Micros kCheckInterval = 20'000;
constexpr Micros kMicrosPerMilli = 1'000;

}  // namespace

void ShutdownController::start() {
    if (started_at_) return;
    Components& parts = components_;
    started_at_ = parts.loop.clock().now();
    parts.admin_state.on_shutdown();
    parts.memory_monitor->on_shutdown();
    parts.handover.cancel_take_over();
    applier_.apply();
    deadlines_ = shutdown_deadlines(parts.core.settings());
    parts.core.set_shutdown_deadline(started_at_ + deadlines_.final_responses);
    parts.platform_server.set_shutdown_deadline(started_at_ + deadlines_.final_responses);
    const Micros exit_at = started_at_ + deadlines_.exit;
    parts.platform_server.set_exit_deadline(exit_at);
    if (parts.has_inherited_socket()) parts.platform_server.stop_listening(true);
    log::info("shutdown: started open_requests={}", parts.core.open_requests());
    if (parts.signed_url_server) parts.signed_url_server->shut_down(exit_at);
    if (parts.consensus_client) parts.consensus_client->close();
    // If the socket was inherited, another process continues under this member's name, so it does not leave.
    if (parts.cluster_transport) {
        if (parts.has_inherited_socket())
            parts.cluster_transport->go_silent();
        else
            parts.cluster_transport->leave();
    }
    parts.endpoint_manager->write_last_snapshot();
    check();
}

void ShutdownController::check() {
    Components& parts = components_;
    const Micros now = parts.loop.clock().now();
    const Micros elapsed = now - started_at_;
    const Micros accept_for = parts.has_inherited_socket() ? 0 : kKeepAcceptingFor;
    const bool accepting_ended = elapsed >= accept_for;
    if (accepting_ended) stop_listening();
    const bool finished = is_work_finished();
    // A partial request may be completed at any moment, and unread bytes may contain one. If its connection
    // were closed now, its client would never get the response that it is owed while this process runs.
    if (accepting_ended && finished && !has_pending_input() && elapsed >= accept_for + kFirstRequestTimeout)
        close_idle_connections();
    if ((accepting_ended && finished && !has_connections()) || elapsed > deadlines_.exit) {
        const auto& discarded = parts.platform_server.connection_manager().discard_metrics();
        log::info(
            "shutdown: finished after_ms={} open_requests={} connections={} discarded_at_half_close={} "
            "discarded_after_half_close={} dropped_at_half_close={}",
            elapsed / kMicrosPerMilli, parts.core.open_requests(), parts.platform_server.connection_count(),
            discarded.at_half_close, discarded.after_half_close, discarded.dropped_at_half_close);
        parts.loop.stop();
        return;
    }
    parts.loop.timers().schedule(now + kCheckInterval, [this] { check(); });
}

bool ShutdownController::is_work_finished() const {
    Components& parts = components_;
    return parts.core.open_requests() == 0 && !parts.platform_server.has_unsent_responses() &&
           !(parts.signed_url_server && parts.signed_url_server->has_unsent_responses()) &&
           !parts.handover.has_unconfirmed_calls();
}

bool ShutdownController::has_pending_input() const {
    const Components& parts = components_;
    return parts.platform_server.has_pending_input() ||
           (parts.signed_url_server && parts.signed_url_server->has_pending_input());
}

bool ShutdownController::has_connections() const {
    const Components& parts = components_;
    return parts.platform_server.connection_count() > 0 ||
           (parts.signed_url_server && parts.signed_url_server->connection_count() > 0);
}

void ShutdownController::stop_listening() {
    components_.platform_server.stop_listening(components_.has_inherited_socket());
    if (components_.signed_url_server) components_.signed_url_server->stop_listening();
}

void ShutdownController::close_idle_connections() {
    components_.platform_server.close_all_idle();
    if (components_.signed_url_server) components_.signed_url_server->close_all_idle();
}

}  // namespace sumackeel::daemon
