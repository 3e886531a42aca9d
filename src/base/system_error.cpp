#include "base/system_error.h"

#include <chrono>
#include <thread>

#include "base/log.h"

namespace sumackeel::base {

namespace {

// The platform waits 30 s for a process to be ready; one that can't be by then had better end and say why.
constexpr std::chrono::seconds kStartPatience{20};
constexpr std::chrono::milliseconds kStartPause{20};

}  // namespace

int retry_at_start(const std::function<int()>& attempt) {
    const auto until = std::chrono::steady_clock::now() + kStartPatience;
    log::Sparing line;
    for (;;) {
        const int result = attempt();
        if (result == 0 || !is_transient(result) || std::chrono::steady_clock::now() >= until) return result;
        line.warn("the start waits: {}", describe_error(result));
        std::this_thread::sleep_for(kStartPause);
    }
}

}  // namespace sumackeel::base
