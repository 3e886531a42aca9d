#include "base/system_error.h"

#include <chrono>
#include <thread>

#include "base/log.h"

namespace sumackeel::base {

namespace {

// Under the 30 s within which the platform wants a process to be ready.
constexpr std::chrono::seconds kStartupRetryTime{20};
constexpr std::chrono::milliseconds kRetryPause{20};
// Under the 10 s within which nine in ten processes are to be ready.
constexpr std::chrono::seconds kDirectoryRetryTime{5};

}  // namespace

int retry_at_startup(const std::function<int()>& attempt) {
    const auto until = std::chrono::steady_clock::now() + kStartupRetryTime;
    log::RateLimitedLogger logger;
    for (;;) {
        const int result = attempt();
        if (result == 0 || !is_transient(result) || std::chrono::steady_clock::now() >= until) return result;
        logger.warn("startup: retrying error={}", describe_error(result));
        std::this_thread::sleep_for(kRetryPause);
    }
}

std::string retry_directory_at_startup(const std::function<std::string()>& attempt) {
    const auto until = std::chrono::steady_clock::now() + kDirectoryRetryTime;
    log::RateLimitedLogger logger;
    for (;;) {
        std::string error = attempt();
        if (error.empty() || std::chrono::steady_clock::now() >= until) return error;
        logger.warn("startup: retrying error={}", error);
        std::this_thread::sleep_for(kRetryPause);
    }
}

}  // namespace sumackeel::base
