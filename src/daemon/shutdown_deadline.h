// The deadlines of a shutdown, computed from the settings alone.
#pragma once

#include <algorithm>

#include "routing/router.h"

namespace sumackeel::daemon {

using routing::Micros;

// Durations since SIGTERM.
struct ShutdownDeadlines {
    Micros final_responses = 0;  // requests still open then are answered by the core itself
    Micros exit = 0;             // the process ends even if connections are still open
};

// After SIGTERM the platform sends SIGKILL as early as the longest deadline of a class, counted as 3 s at
// most, plus 0.7 s.
inline ShutdownDeadlines shutdown_deadlines(const routing::Settings& settings) {
    constexpr Micros kMaxCountedDeadline = 3'000'000;
    constexpr Micros kKillDelay = 700'000;
    // With long request deadlines, the last writes need time after the final responses.
    constexpr Micros kMaxFinalResponses = 2'900'000;
    constexpr Micros kMaxExit = 3'400'000;
    // With short ones, the last requests need their full deadline.
    constexpr Micros kFinalResponsesBeforeKill = 200'000;
    constexpr Micros kExitBeforeKill = 100'000;
    Micros longest = 0;
    for (const auto& one : settings.classes) longest = std::max(longest, one.deadline);
    if (longest <= 0 || longest > kMaxCountedDeadline) longest = kMaxCountedDeadline;
    const Micros kill_at = longest + kKillDelay;
    return {.final_responses = std::min(kMaxFinalResponses, kill_at - kFinalResponsesBeforeKill),
            .exit = std::min(kMaxExit, kill_at - kExitBeforeKill)};
}

}  // namespace sumackeel::daemon
