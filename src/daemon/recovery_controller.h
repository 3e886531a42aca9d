// Connects recovery after a loss of power to the rest of the daemon: passes it purges, the state of the
// endpoint list and the leader, and asks it which requests to admit. Off unless the operator's settings have
// [recovery].
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "daemon/admin_state_applier.h"
#include "daemon/components.h"

namespace sumackeel::daemon {

class RecoveryController {
  public:
    // Both must outlive this. `phase_entered` is called after each change of the phase.
    RecoveryController(Components& components, AdminStateApplier& applier,
                       std::function<void()> phase_entered)
        : components_(components), applier_(applier), phase_entered_(std::move(phase_entered)) {}

    // Creates the coordinator. The persisted state of this proxy applies from this moment on, ready or not.
    void start(const config::Recovery& settings);

  private:
    using Coordinator = recovery_coordinator::RecoveryCoordinator;

    Coordinator::Hooks coordinator_hooks();
    std::vector<Coordinator::RecentPurge> recent_purges() const;
    void learn_purges(const std::vector<Coordinator::RecentPurge>& recent);
    void on_leases_learned();
    void on_phase_entered();
    void on_served(const core::Request& request, const std::string& source, routing::CacheStatus status);
    std::optional<base::Micros> admit(const core::Request& request);
    void check_prerequisites();

    Components& components_;
    AdminStateApplier& applier_;
    const std::function<void()> phase_entered_;
    bool consensus_was_known_ = false;  // at the last check
};

}  // namespace sumackeel::daemon
