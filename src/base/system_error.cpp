#include "base/system_error.h"

#include <chrono>
#include <thread>

#include "base/log.h"

namespace sumackeel::base {

namespace {

// The platform waits 30 s for a process to be ready; one that can't be by then had better end and say why.
constexpr std::chrono::seconds kStartPatience{20};
constexpr std::chrono::milliseconds kStartPause{20};
// Nine in ten processes are to be ready within 10 s of their start.
constexpr std::chrono::seconds kFolderPatience{5};

}  // namespace

int retry_at_startup(const std::function<int()>& attempt) {
    const auto until = std::chrono::steady_clock::now() + kStartPatience;
    log::RateLimitedLogger line;
    for (;;) {
        const int result = attempt();
        if (result == 0 || !is_transient(result) || std::chrono::steady_clock::now() >= until) return result;
        line.warn("the start waits: {}", describe_error(result));
        std::this_thread::sleep_for(kStartPause);
    }
}

std::string retry_directory_at_startup(const std::function<std::string()>& attempt) {
    const auto until = std::chrono::steady_clock::now() + kFolderPatience;
    log::RateLimitedLogger line;
    for (;;) {
        std::string fault = attempt();
        if (fault.empty() || std::chrono::steady_clock::now() >= until) return fault;
        line.warn("the start waits: {}", fault);
        std::this_thread::sleep_for(kStartPause);
    }
}

}  // namespace sumackeel::base
