// Files that are on disk once they were said to be. All calls block on the disk; none throws.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sumackeel::base {

// A descriptor that closes itself.
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

// "PATH WHAT: the system's reason".
std::string system_call_error(const char* what, const std::string& path);

#ifdef SUMACKEEL_TEST_KEYS
// Of test builds: the process ends at the so-manieth point between two system calls of put_in_place and of
// what removes older files, as a kill there would end it; 0: never.
void crash_at(int point);
void crash_point();
#else
inline void crash_point() {}
#endif

// Writes `unfinished` in `folder`, which is made if it is missing, and gives it the name `final` once it is
// on disk. Whatever the moment of a crash, `final` is what it was or what it is to be. Empty: done; else what
// went wrong.
std::string replace_file(const std::string& folder, const std::string& unfinished, const std::string& final,
                         std::string_view bytes);

enum class ReadStatus { ok, missing, unreadable, not_regular };  // unfit: no plain file, or too long

// The bytes of a plain file of `most` bytes at the most; unless it is done, `fault` says what went wrong.
ReadStatus read_regular_file(const std::string& path, std::size_t most, std::string& bytes,
                             std::string& fault);

// All that can be read from a file, a pipe or a device, `most` bytes at the most. 0, or an errno; EFBIG: it
// is longer.
int read_entire_file(const std::string& path, std::size_t most, std::string& text);

// Held for as long as this lives: two programs on one folder would remove each other's generations.
class DirectoryLock {
  public:
    // Makes the folder. `name`: of the lock's file, where several kinds of files share a folder.
    explicit DirectoryLock(const std::string& folder, const char* name = "lock");
    ~DirectoryLock();
    DirectoryLock(const DirectoryLock&) = delete;
    DirectoryLock& operator=(const DirectoryLock&) = delete;
    const std::string& error() const { return error_; }  // empty: it is held

  private:
    int fd_ = -1;
    std::string error_;
};

}  // namespace sumackeel::base
