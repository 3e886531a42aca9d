// Keeps exceptions from leaving callbacks of C libraries, which would end the process.
#pragma once

#include <exception>
#include <utility>

#include "base/log.h"

namespace sumackeel::net {

// Logs an exception that ends `where`; without memory for the line it is lost.
inline void log_failed_call(const char* where, const std::exception& error) noexcept {
    try {
        thread_local log::RateLimitedLogger logger;
        logger.warn("loop: callback failed in={} error={}", where, error.what());
    } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch): nothing else can be done
    }
}

// Whether `call` ended without an exception.
template <typename Call>
bool guarded_call(const char* where, Call&& call) noexcept {
    try {
        std::forward<Call>(call)();
        return true;
    } catch (const std::exception& error) {
        log_failed_call(where, error);
        return false;
    }
}

}  // namespace sumackeel::net
