// Errors of system calls: which of them pass by themselves, and their names for the log.
#pragma once

#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <string>

namespace sumackeel::base {

// Whether the same call may succeed a moment later with nothing changed here: a shortage of descriptors,
// buffers or memory, or a signal. `error` is an errno, or the negative of one as libuv gives it.
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

// The same for a folder at a start: it may also fail for a while and heal. Calls `attempt` until it says that
// nothing is wrong, for `kFolderPatience` at the most, and gives what the last call said.
std::string retry_directory_at_startup(const std::function<std::string()>& attempt);

// A folder that has not answered by then at a start hangs: retry_folder_at_start() would have given up.
constexpr std::chrono::seconds kDirectoryResponseTimeout{6};

// Calls `attempt` until it gives 0 or an error that is not transient, for `kStartPatience` at the most.
// Blocks between the calls, so it is for the start of the program alone. Gives what the last call gave.
int retry_at_startup(const std::function<int()>& attempt);

}  // namespace sumackeel::base
