// Errors of system calls: which of them are transient, their names for the log, and retries at startup.
#pragma once

#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <string>

namespace sumackeel::base {

// Whether the same call may succeed a moment later: a shortage of descriptors, buffers or memory, or a
// signal. `error` is an errno, or the negative of one as libuv reports it.
inline bool is_transient(int error) {
    switch (error < 0 ? -error : error) {
        case EINTR:
        case EAGAIN:
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return true;
        default:
            return false;
    }
}

// "ENFILE (Too many open files in system)".
inline std::string describe_error(int error) {
    const int number = error < 0 ? -error : error;
    const char* name = strerrorname_np(number);
    return std::string(name ? name : "error") + " (" + strerrordesc_np(number) + ')';
}

// The same for a directory, which may fail for a while and heal. Calls `attempt` until it returns an empty
// text, for 5 s at the most, and returns the last result. Blocks between the calls.
std::string retry_directory_at_startup(const std::function<std::string()>& attempt);

// A directory that has not answered by then hangs: retry_directory_at_startup() would have given up.
constexpr std::chrono::seconds kDirectoryResponseTimeout{6};

// Calls `attempt` until it returns 0 or an error that is not transient, for 20 s at the most, and returns the
// last result. Blocks between the calls, so it is for the start of the program alone.
int retry_at_startup(const std::function<int()>& attempt);

}  // namespace sumackeel::base
