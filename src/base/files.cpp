#include "base/files.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

namespace sumackeel::base {

FileDescriptor::FileDescriptor(const std::string& path, int flags)
    : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
FileDescriptor::~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
}

std::string system_call_error(const char* what, const std::string& path) {
    return fmt::format("{} {}: {}", path, what, std::strerror(errno));
}

namespace {

bool write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

}  // namespace

#ifdef SUMACKEEL_TEST_KEYS
namespace {
int points_remaining = 0;
}
void crash_at(int points_from_now) {
    points_remaining = points_from_now;
}
void crash_point() {
    if (points_remaining > 0 && --points_remaining == 0) ::_exit(9);
}
#endif

std::string replace_file(const std::string& directory, const std::string& temporary_name,
                         const std::string& final_name, std::string_view bytes) {
    const std::string from = directory + '/' + temporary_name;
    const std::string to = directory + '/' + final_name;
    std::error_code ignored;
    std::filesystem::create_directories(directory, ignored);
    {
        const FileDescriptor file(from, O_WRONLY | O_CREAT | O_TRUNC);
        if (!file.is_open()) return system_call_error("can't be made", from);
        crash_point();
        if (!write_all(file.fd(), bytes)) return system_call_error("can't be written", from);
        crash_point();
        if (::fsync(file.fd()) != 0) return system_call_error("can't be put on disk", from);
        crash_point();
    }
    if (::rename(from.c_str(), to.c_str()) != 0) return system_call_error("can't be renamed", from);
    crash_point();
    const FileDescriptor parent(directory, O_RDONLY | O_DIRECTORY);
    if (!parent.is_open() || ::fsync(parent.fd()) != 0)
        return system_call_error("can't be put on disk", directory);
    return {};
}

ReadStatus read_regular_file(const std::string& path, std::size_t max_size, std::string& bytes,
                             std::string& error) {
    const FileDescriptor file(path, O_RDONLY | O_NONBLOCK);  // a pipe of that name must not block
    const bool missing = !file.is_open() && errno == ENOENT;
    struct stat status {};
    if (!file.is_open() || ::fstat(file.fd(), &status) != 0) {
        error = system_call_error("can't be opened", path);
        return missing ? ReadStatus::missing : ReadStatus::unreadable;
    }
    const auto size = static_cast<std::size_t>(status.st_size);
    if (!S_ISREG(status.st_mode) || size > max_size) {
        error = S_ISREG(status.st_mode) ? fmt::format("{} has {} bytes, {} at the most", path, size, max_size)
                                        : path + " is no plain file";
        return ReadStatus::not_regular;
    }
    bytes.resize(size);
    std::size_t have = 0;
    while (have < size) {
        const ssize_t got = ::read(file.fd(), bytes.data() + have, size - have);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) {
            error = system_call_error("can't be read", path);
            return ReadStatus::unreadable;
        }
        if (got == 0) break;
        have += static_cast<std::size_t>(got);
    }
    bytes.resize(have);
    return ReadStatus::ok;
}

int read_entire_file(const std::string& path, std::size_t max_size, std::string& text) {
    const FileDescriptor file(path, O_RDONLY);
    if (!file.is_open()) return errno;
    constexpr std::size_t kBufferBytes = 64 * 1024;
    std::string buffer(kBufferBytes, '\0');
    text.clear();
    for (;;) {
        const ssize_t got = ::read(file.fd(), buffer.data(), buffer.size());
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) return errno;
        if (got == 0) return 0;
        text.append(buffer, 0, static_cast<std::size_t>(got));
        if (text.size() > max_size) return EFBIG;
    }
}

DirectoryLock::DirectoryLock(const std::string& directory, const char* name) {
    std::error_code ignored;
    std::filesystem::create_directories(directory, ignored);
    const std::string path = directory + '/' + name;
    fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd_ < 0)
        error_ = system_call_error("can't be opened", path);
    else if (::flock(fd_, LOCK_EX | LOCK_NB) != 0)
        error_ = path + " is held by another program";
}

DirectoryLock::~DirectoryLock() {
    if (fd_ >= 0) ::close(fd_);
}

}  // namespace sumackeel::base
