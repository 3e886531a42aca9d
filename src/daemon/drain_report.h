// Logs the effect of a drain on the client connections: when it is accepted, at each of its stages, and at
// the time from which no connection may be held open.
#pragma once

#include <memory>

#include "admin/drain_schedule.h"
#include "net/loop.h"
#include "platform_server/platform_server.h"
#include "signed_url_server/signed_url_server.h"

namespace sumackeel::daemon {

class DrainReport {
  public:
    // `signed_server` may be null.
    DrainReport(net::Loop& loop, const platform_server::PlatformServer& server,
                const signed_url_server::SignedUrlServer* signed_server)
        : loop_(loop), server_(server), signed_server_(signed_server) {}

    // Called with each change of the administrative state: a drain has started, continues, or is over.
    void update(const admin::DrainSchedule& drain);

  private:
    void log_progress() const;
    void schedule_progress(base::Micros since_start);

    net::Loop& loop_;
    const platform_server::PlatformServer& server_;
    const signed_url_server::SignedUrlServer* signed_server_;
    admin::DrainSchedule drain_;
    std::shared_ptr<bool> current_drain_;  // renewed with each drain; timers of an earlier one do nothing
};

}  // namespace sumackeel::daemon
