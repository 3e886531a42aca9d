#include "daemon/startup_controller.h"

#include <algorithm>
#include <string>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

constexpr Micros kCheckInterval = 20'000;
// The replicated log's state is waited for this long.
constexpr Micros kConsensusTimeout = 3'000'000;
// The hand-over file is waited for this long, where the time above is over already.
constexpr Micros kHandoverReadTimeout = 1'000'000;

}  // namespace

void StartupController::start() {
    take_over_when_known(components_.loop.clock().now() + kConsensusTimeout);
}

void StartupController::take_over_when_known(Micros latest) {
    Components& parts = components_;
    const Micros now = parts.loop.clock().now();
    const bool log_unknown = parts.consensus_client && !parts.consensus_client->is_known() && now < latest;
    const bool must_wait = parts.recovery ? !parts.recovery->phases().ready() : log_unknown;
    if (must_wait) {
        parts.loop.timers().schedule(now + kCheckInterval, [this, latest] {
            if (!cancelled_) take_over_when_known(latest);
        });
        return;
    }
    parts.handover.take(std::max(latest, now + kHandoverReadTimeout), parts.has_inherited_socket());
}

void StartupController::on_state_taken_over() {
    Components& parts = components_;
    if (parts.consensus_client && !parts.consensus_client->is_known())
        log::warn("consensus: serving_unconfirmed reason=no voter answered");
    if (parts.recovery) {
        const recovery::PersistedState& persisted = parts.recovery->persisted();
        // What was persisted may be older than what the process before this one was called for.
        for (const std::string& id : persisted.bans) {
            if (parts.handover.has_word_on_ban(id)) continue;
            parts.admin_state.ban(id, true);
            parts.handover.add_ban(id);
        }
        if (persisted.draining && !parts.consensus_client && !parts.handover.has_word_on_drain())
            parts.admin_state.start_drain();
    }
    leases_.adopt_drain_request();
    applier_.on_state_changed();
    leases_.follow_own_lease();
}

}  // namespace sumackeel::daemon
