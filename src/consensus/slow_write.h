// Reports writes of a voter that took longer than a working disk needs.
#pragma once

#include <string_view>

#include "base/log.h"
#include "net/background_task.h"

namespace sumackeel::consensus {

// `written`: what was on its way to the disk.
inline void warn_if_slow(std::string_view written, net::Micros duration) {
    constexpr net::Micros kMicrosPerMs = 1'000;
    if (duration > net::BackgroundTask::kStuckAfter)
        log::warn("consensus: slow disk written=\"{}\" duration_ms={}", written, duration / kMicrosPerMs);
}

}  // namespace sumackeel::consensus
