// What a drain does to the clients' connections, as lines of the log: at its yes, at each of its stages, and
// at the moment from which no connection may be held.
#pragma once

#include <memory>

#include "admin/drain_schedule.h"
#include "net/loop.h"
#include "platform_server/platform_server.h"
#include "signed_url_server/signed_url_server.h"

namespace sumackeel::daemon {

class DrainReport {
  public:
    // `signed_front` may be null.
    DrainReport(net::Loop& loop, const platform_server::PlatformServer& front,
                const signed_url_server::SignedUrlServer* signed_front)
        : loop_(loop), front_(front), signed_front_(signed_front) {}

    // A drain that began, goes on, or is over: told with each change of the board.
    void now(const admin::DrainSchedule& drain);

  private:
    void line() const;
    void line_at(base::Micros since_began);

    net::Loop& loop_;
    const platform_server::PlatformServer& front_;
    const signed_url_server::SignedUrlServer* signed_front_;
    admin::DrainSchedule drain_;
    std::shared_ptr<bool> current_;  // for what is set in the loop; anew with each drain
};

}  // namespace sumackeel::daemon
