// Carries out the administrative state: bans, the drain and readiness reach the servers and the router, and
// the state is kept for the next process and for recovery.
#pragma once

#include <set>
#include <string>

#include "daemon/components.h"

namespace sumackeel::daemon {

class AdminStateApplier {
  public:
    // The components must outlive this.
    explicit AdminStateApplier(Components& components) : components_(components) {}

    // Brings the servers and the router to the state as it stands: bans, draining, readiness. Idempotent.
    void apply();
    // Persists bans, leases and the drain for recovery after a loss of power; nothing while starting.
    void persist();
    // The state has changed: applies and persists it.
    void on_state_changed();
    // The same by a call to this process, also where it changed nothing: hands it over besides.
    void on_ban_called(const std::string& id);
    void on_drain_called();

    // The pop caches that this proxy knows to be out by lease; not those that it was told of by others.
    std::set<std::string> known_leases() const;

  private:
    std::set<std::string> effective_bans() const;
    void update_drain_schedule();

    Components& components_;
};

}  // namespace sumackeel::daemon
