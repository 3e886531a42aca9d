#include "daemon/drain_report.h"

#include <fmt/format.h>

#include <string>

#include "base/log.h"

namespace sumackeel::daemon {

namespace {

// As documented for operators: from then on no connection is held open.
constexpr base::Micros kAllClosedAfter = 4'000'000;

// The number of connections, in total and by state.
std::string describe(const net::ConnectionManager& connections) {
    using net::ConnectionState;
    std::string text = fmt::format("connections={}", connections.connection_count());
    for (const ConnectionState state :
         {ConnectionState::awaiting_request, ConnectionState::receiving, ConnectionState::idle,
          ConnectionState::flushing, ConnectionState::processing, ConnectionState::half_closed})
        if (const std::size_t count = connections.count(state); count > 0)
            text += fmt::format(" {1}={0}", count, net::name_of(state));
    return text;
}

}  // namespace

void DrainReport::update(const admin::DrainSchedule& drain) {
    if (drain == drain_) return;
    const admin::DrainSchedule previous = std::exchange(drain_, drain);
    current_drain_ = std::make_shared<bool>(true);
    if (!drain.is_active())
        return log::info("drain: finished after_ms={}", previous.age(loop_.clock().now()) / 1000);
    log_progress();
    for (const base::Micros delay :
         {admin::DrainSchedule::kRejectAfter, admin::DrainSchedule::kResponseDeadline, kAllClosedAfter})
        schedule_progress(delay);
}

void DrainReport::schedule_progress(base::Micros since_start) {
    const base::Micros wait = since_start - drain_.age(loop_.clock().now());
    loop_.timers().schedule(loop_.clock().now() + wait,
                            [this, current_drain = std::weak_ptr<bool>(current_drain_)] {
                                if (!current_drain.expired()) log_progress();
                            });
}

void DrainReport::log_progress() const {
    const auto& metrics = server_.drain_metrics();
    std::string text =
        fmt::format("drain: progress after_ms={} {} rejected={} held={} hurried={}",
                    drain_.age(loop_.clock().now()) / 1000, describe(server_.connection_manager()),
                    metrics.rejected, metrics.held, metrics.hurried);
    if (signed_server_)
        text += fmt::format(" signed_url_server: {}", describe(signed_server_->connection_manager()));
    log::info("{}", text);
}

}  // namespace sumackeel::daemon
