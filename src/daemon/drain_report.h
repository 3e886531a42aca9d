// What a drain does to the clients' connections, as lines of the log: at its yes, at each of its stages, and
// at the moment from which no connection may be held.
#pragma once

#include <memory>

#include "front_platform/front.h"
#include "front_signed/front.h"
#include "net/loop.h"
#include "ops/drain.h"

namespace sumackeel::daemon {

class DrainReport {
  public:
    // `signed_front` may be null.
    DrainReport(net::Loop& loop, const front_platform::Front& front, const front_signed::Front* signed_front)
        : loop_(loop), front_(front), signed_front_(signed_front) {}

    // A drain that began, goes on, or is over: told with each change of the board.
    void now(const ops::Drain& drain);

  private:
    void line() const;
    void line_at(base::Micros since_began);

    net::Loop& loop_;
    const front_platform::Front& front_;
    const front_signed::Front* signed_front_;
    ops::Drain drain_;
    std::shared_ptr<bool> current_;  // for what is set in the loop; anew with each drain
};

}  // namespace sumackeel::daemon
