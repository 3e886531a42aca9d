#include "daemon/drain_report.h"

#include <fmt/format.h>

#include <string>

#include "base/log.h"

namespace sumackeel::daemon {

namespace {

constexpr base::Micros kNoneHeld = 4'000'000;  // the operators' page: from then on no connection is held

// Connections by what they do, and why those that are gone have ended.
std::string described(const net::ConnectionManager& connections) {
    using net::ConnectionState;
    std::string text = fmt::format("{} connections", connections.connection_count());
    for (const ConnectionState doing :
         {ConnectionState::awaiting_request, ConnectionState::receiving, ConnectionState::idle,
          ConnectionState::flushing, ConnectionState::processing, ConnectionState::half_closed})
        if (const std::size_t count = connections.count(doing); count > 0)
            text += fmt::format(", {} {}", count, net::name_of(doing));
    return text;
}

}  // namespace

void DrainReport::now(const admin::DrainSchedule& drain) {
    if (drain == drain_) return;
    const admin::DrainSchedule before = std::exchange(drain_, drain);
    current_ = std::make_shared<bool>(true);
    if (!drain.is_active())
        return log::info("drain over after {} ms", before.age(loop_.clock().now()) / 1000);
    line();
    for (const base::Micros at :
         {admin::DrainSchedule::kRejectAfter, admin::DrainSchedule::kResponseDeadline, kNoneHeld})
        line_at(at);
}

void DrainReport::line_at(base::Micros since_began) {
    const base::Micros wait = since_began - drain_.age(loop_.clock().now());
    loop_.timers().schedule(loop_.clock().now() + wait, [this, current = std::weak_ptr<bool>(current_)] {
        if (!current.expired()) line();
    });
}

void DrainReport::line() const {
    const auto& metrics = front_.drain_metrics();
    std::string text =
        fmt::format("drain at {} ms: {}; {} refused, {} held, {} hurried since the start",
                    drain_.age(loop_.clock().now()) / 1000, described(front_.connection_manager()),
                    metrics.rejected, metrics.held, metrics.hurried);
    if (signed_front_) text += fmt::format("; signed: {}", described(signed_front_->connection_manager()));
    log::info("{}", text);
}

}  // namespace sumackeel::daemon
