// Token bucket for the bytes that a member sends per second, with a burst of one second. Performs no I/O.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace sumackeel::cluster_transport {

class RateLimiter {
  public:
    explicit RateLimiter(double bytes_per_s) : rate_(bytes_per_s), available_(bytes_per_s) {}

    // Bytes that may be sent now; below 0 after more was spent than was available.
    double available(base::Micros now) {
        if (updated_at_ >= 0)
            available_ = std::min(rate_, available_ + rate_ * static_cast<double>(now - updated_at_) / 1e6);
        updated_at_ = now;
        return available_;
    }
    double share(base::Micros now) { return available(now) / rate_; }
    void spend(std::size_t bytes) { available_ -= static_cast<double>(bytes); }

  private:
    double rate_, available_;
    base::Micros updated_at_ = -1;
};

}  // namespace sumackeel::cluster_transport
