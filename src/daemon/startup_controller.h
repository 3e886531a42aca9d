// Startup: decides when this process takes over the administrative state of the previous one, and with that
// becomes ready.
#pragma once

#include "daemon/admin_state_applier.h"
#include "daemon/components.h"
#include "daemon/lease_controller.h"

namespace sumackeel::daemon {

class StartupController {
  public:
    // All must outlive this.
    StartupController(Components& components, AdminStateApplier& applier, LeaseController& leases)
        : components_(components), applier_(applier), leases_(leases) {}

    // The process is ready once it listens, has read what was handed over, and knows the replicated log and
    // with it the fleet's bans. The wait is bounded: if no voter answers, it serves by what it knows.
    void start();
    // Checks whether startup still has to wait; if not, this process takes over at once.
    void check();
    // Cancels startup because the process shuts down.
    void cancel() { cancelled_ = true; }
    // The handed-over state is part of the administrative state now.
    void on_state_taken_over();

  private:
    void poll();
    bool must_wait() const;

    Components& components_;
    AdminStateApplier& applier_;
    LeaseController& leases_;
    base::Micros deadline_ = 0;  // startup stops waiting for the replicated log
    bool started_ = false;
    bool taking_over_ = false;
    bool cancelled_ = false;
};

}  // namespace sumackeel::daemon
