// Applies the administrative state: passes bans, the drain and readiness to the servers and the router, and
// saves the state for the next process and for recovery.
#pragma once

#include <set>
#include <string>

#include "daemon/components.h"

namespace sumackeel::daemon {

class AdminStateApplier {
  public:
    // The components must outlive this.
    explicit AdminStateApplier(Components& components) : components_(components) {}

    // Applies bans, draining and readiness to the servers and the router. Idempotent.
    void apply();
    // Persists bans, leases and the drain for recovery after a loss of power. Does nothing while starting.
    void persist();
    // The state has changed: applies and persists it.
    void on_state_changed();
    // The same for a call to this process, which is also handed over, even if it changed nothing.
    void on_ban_called(const std::string& id);
    void on_drain_called();

    // The pop caches that this proxy knows to be out by lease, without those learned from other proxies.
    std::set<std::string> known_leases() const;

  private:
    std::set<std::string> effective_bans() const;
    void update_drain_schedule();

    Components& components_;
};

}  // namespace sumackeel::daemon
