// The cap on what a member sends: bytes a second, with one second's worth saved up. Pure.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace sumackeel::cluster_transport {

class RateLimiter {
  public:
    explicit RateLimiter(double bytes_per_s) : rate_(bytes_per_s), left_(bytes_per_s) {}

    // What may be sent now; below 0 after a debt.
    double available(base::Micros now) {
        if (last_ >= 0) left_ = std::min(rate_, left_ + rate_ * static_cast<double>(now - last_) / 1e6);
        last_ = now;
        return left_;
    }
    double share(base::Micros now) { return available(now) / rate_; }
    void spend(std::size_t bytes) { left_ -= static_cast<double>(bytes); }

  private:
    double rate_, left_;
    base::Micros last_ = -1;
};

}  // namespace sumackeel::cluster_transport
