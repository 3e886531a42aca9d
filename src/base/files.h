// Files that are on disk once a call has reported success. All calls block on the disk; none throws.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sumackeel::base {

// Owns a file descriptor and closes it.
class FileDescriptor {
  public:
    FileDescriptor(const std::string& path, int flags);
    ~FileDescriptor();
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }

  private:
    int fd_;
};

// "PATH WHAT: REASON", the reason by errno.
std::string system_call_error(const char* what, const std::string& path);

#ifdef SUMACKEEL_TEST_KEYS
// For test builds: the process ends at the N-th crash_point() from now, as a kill there would end it; 0:
// never. The points stand between the system calls of replace_file() and of what removes older files.
void crash_at(int points_from_now);
void crash_point();
#else
inline void crash_point() {}
#endif

// Writes `temporary_name` in `directory`, which is made if it is missing, and renames it to `final_name` once
// it is on disk. Whatever the moment of a crash, `final_name` has its old or its new content. Empty: done;
// else what went wrong.
std::string replace_file(const std::string& directory, const std::string& temporary_name,
                         const std::string& final_name, std::string_view bytes);

enum class ReadStatus {
    ok,
    missing,
    unreadable,
    not_regular  // not a regular file, or over the limit
};

// Reads a regular file of `max_size` bytes at the most; unless the result is ok, `error` says what went
// wrong.
ReadStatus read_regular_file(const std::string& path, std::size_t max_size, std::string& bytes,
                             std::string& error);

// Reads a file, a pipe or a device to its end, `max_size` bytes at the most. 0, or an errno; EFBIG: it is
// longer.
int read_entire_file(const std::string& path, std::size_t max_size, std::string& text);

// An exclusive lock on a directory for as long as this lives: two processes on one directory would remove
// each other's files.
class DirectoryLock {
  public:
    // Makes the directory. `name`: of the lock file, where several kinds of files share a directory.
    explicit DirectoryLock(const std::string& directory, const char* name = "lock");
    ~DirectoryLock();
    DirectoryLock(const DirectoryLock&) = delete;
    DirectoryLock& operator=(const DirectoryLock&) = delete;
    const std::string& error() const { return error_; }  // empty: the lock is held

  private:
    int fd_ = -1;
    std::string error_;
};

}  // namespace sumackeel::base
