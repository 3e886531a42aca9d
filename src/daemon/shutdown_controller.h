// Graceful shutdown after SIGTERM: drains clients, answers open requests, and stops the loop once no work is
// left or the exit deadline has passed.
#pragma once

#include "daemon/admin_state_applier.h"
#include "daemon/components.h"
#include "daemon/shutdown_deadline.h"

namespace sumackeel::daemon {

class ShutdownController {
  public:
    // Both must outlive this.
    ShutdownController(Components& components, AdminStateApplier& applier)
        : components_(components), applier_(applier) {}

    // Begins the shutdown. Does nothing if it has already begun.
    void start();

  private:
    void check();
    bool is_work_finished() const;
    bool has_pending_input() const;
    bool has_connections() const;
    void stop_listening();
    void close_idle_connections();

    Components& components_;
    AdminStateApplier& applier_;
    base::Micros started_at_ = 0;  // 0: not shutting down
    ShutdownDeadlines deadlines_;  // counted from started_at_
};

}  // namespace sumackeel::daemon
