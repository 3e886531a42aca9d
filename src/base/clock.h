// The system's Unix clock in microseconds, held so that it never runs backwards.
#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace sumackeel::base {

class Clock {
  public:
    Micros now() {
        const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
        const Micros read = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
        return last_ = std::max(last_, read);
    }

  private:
    Micros last_ = 0;
};

}  // namespace sumackeel::base
