#include "daemon/startup_controller.h"

#include <algorithm>
#include <string>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

constexpr Micros kCheckInterval = 20'000;
// How long startup waits for the state of the replicated log.
constexpr Micros kConsensusTimeout = 3'000'000;
// How long startup waits for the handover files if the time above is already over.
constexpr Micros kHandoverReadTimeout = 1'000'000;

}  // namespace

void StartupController::start() {
    deadline_ = components_.loop.clock().now() + kConsensusTimeout;
    started_ = true;
    if (must_wait()) components_.handover.read_ahead();
    poll();
}

void StartupController::poll() {
    check();
    if (cancelled_ || taking_over_) return;
    components_.loop.timers().schedule(components_.loop.clock().now() + kCheckInterval, [this] { poll(); });
}

bool StartupController::must_wait() const {
    const Components& parts = components_;
    if (parts.recovery) return !parts.recovery->phases().ready();
    return parts.consensus_client && !parts.consensus_client->is_known() &&
           components_.loop.clock().now() < deadline_;
}

void StartupController::check() {
    if (!started_ || cancelled_ || taking_over_ || must_wait()) return;
    taking_over_ = true;
    Components& parts = components_;
    const Micros latest = std::max(deadline_, parts.loop.clock().now() + kHandoverReadTimeout);
    parts.handover.take_over(latest, parts.has_inherited_socket());
}

void StartupController::on_state_taken_over() {
    Components& parts = components_;
    if (parts.consensus_client && !parts.consensus_client->is_known())
        log::warn("consensus: serving_unconfirmed reason=no voter answered");
    if (parts.recovery) {
        const recovery::PersistedState& persisted = parts.recovery->persisted();
        // The persisted state may be older than calls to the previous process.
        for (const std::string& id : persisted.bans) {
            if (parts.handover.knows_ban(id)) continue;
            parts.admin_state.ban(id, true);
            parts.handover.add_ban(id);
        }
        // With leases, a single proxy that restarts returns its own. After a loss of power of the whole
        // cluster nobody has allowed it to serve again yet.
        const bool drain_holds = !parts.consensus_client || parts.recovery->phases().whole_cluster_was_down();
        if (persisted.draining && drain_holds && !parts.handover.knows_drain()) {
            parts.admin_state.start_drain();
            parts.handover.add_drain();
        }
    }
    leases_.adopt_drain_request();
    applier_.on_state_changed();
    leases_.follow_own_lease();
}

}  // namespace sumackeel::daemon
