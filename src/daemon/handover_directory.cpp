#include "daemon/handover_directory.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <filesystem>
#include <utility>

#include "base/files.h"
#include "base/log.h"

namespace sumackeel::daemon {

namespace {

// A record with the maximum number of items is smaller.
constexpr std::size_t kMaxFileBytes = 8 << 20;
// Concurrent processes of one proxy, and ended ones whose files are not removed yet.
constexpr std::size_t kMaxWriters = 64;
constexpr std::size_t kWriterDigits = 16;
constexpr int kMaxReadings = 8;  // of a directory that changes during the reading
// The file system's timestamps have a coarse resolution: two changes within one tick look like one.
constexpr std::int64_t kClockTick = 50'000;  // us
constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
constexpr const char* kLockSuffix = ".lock";
constexpr const char* kUnfinishedSuffix = ".next";

std::int64_t steady_now() {
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t changed_ns(const struct stat& status) {
    return status.st_mtim.tv_sec * kNanosPerSecond + status.st_mtim.tv_nsec;
}

// The writer that a file, lock file or unfinished file of this name belongs to; empty: none.
std::string writer_of(const std::string& name) {
    const std::string writer = name.substr(0, kWriterDigits);
    const std::string suffix = name.substr(writer.size());
    const bool is_number = writer.size() == kWriterDigits &&
                           std::all_of(writer.begin(), writer.end(),
                                       [](unsigned char character) { return std::isxdigit(character) != 0; });
    const bool known_suffix = suffix.empty() || suffix == kLockSuffix || suffix == kUnfinishedSuffix;
    return is_number && known_suffix ? writer : std::string{};
}

}  // namespace

HandoverDirectory::HandoverDirectory(std::string legacy_path, std::uint64_t writer)
    : legacy_path_(std::move(legacy_path)),
      directory_(legacy_path_ + ".d"),
      own_name_(fmt::format("{:0{}x}", writer, kWriterDigits)) {}

HandoverDirectory::~HandoverDirectory() {
    if (lock_ >= 0) ::close(lock_);
}

HandoverScan HandoverDirectory::run(const HandoverPass& pass) {
    HandoverScan scan;
    if (!pass.own_text.empty()) {
        scan.error = write_own(pass.own_text);
        if (!scan.error.empty()) return scan;
        remove_ended(pass.ended_writers);
    }
    if (!pass.legacy_text.empty() && signature() == last_signature_) {
        scan.error = write_legacy(pass.legacy_text);
        if (!scan.error.empty()) return scan;
        scan.legacy_written = true;
    }
    const bool changed = may_have_changed();
    if (changed || pass.read_always) {
        scan.read_at = steady_now();
        scan.error = read_others(pass, scan);
        scan.was_read = scan.error.empty();
    }
    return scan;
}

// --- The own file ---

std::string HandoverDirectory::write_own(const std::string& text) {
    if (std::string error = lock_own(); !error.empty()) return error;
    return base::replace_file(directory_, own_name_ + kUnfinishedSuffix, own_name_, text);
}

// Called before the first write, so that a file whose lock is not held belongs to an ended process. Another
// process may remove the lock file as left over between opening and locking it here.
std::string HandoverDirectory::lock_own() {
    if (lock_ >= 0) return {};
    std::error_code ignored;
    std::filesystem::create_directories(directory_, ignored);
    const std::string path = own_path() + kLockSuffix;
    const int lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (lock < 0) return base::system_call_error("can't be made", path);
    struct stat opened {
    }, found{};
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0 || ::fstat(lock, &opened) != 0 ||
        ::stat(path.c_str(), &found) != 0 || opened.st_ino != found.st_ino) {
        std::string error = base::system_call_error("can't be locked", path);
        ::close(lock);
        return error;
    }
    lock_ = lock;
    return {};
}

// Holds the lock while removing and removes the lock file last: a process that is just acquiring it finds it
// removed and creates another one.
void HandoverDirectory::remove_ended(const std::vector<std::string>& writers) const {
    for (const std::string& writer : writers) {
        const std::string path = directory_ + '/' + writer;
        const base::FileDescriptor lock(path + kLockSuffix, O_RDWR);
        if (lock.is_open() && ::flock(lock.fd(), LOCK_EX | LOCK_NB) != 0) continue;
        for (const char* suffix : {"", kUnfinishedSuffix, kLockSuffix}) ::unlink((path + suffix).c_str());
    }
}

std::string HandoverDirectory::write_legacy(const std::string& text) const {
    const std::filesystem::path path(legacy_path_);
    const std::string name = path.filename().string();
    return base::replace_file(path.parent_path().string(), name + '.' + own_name_ + kUnfinishedSuffix, name,
                              text);
}

// --- The files of the others ---

HandoverDirectory::Signature HandoverDirectory::signature() const {
    Signature result;
    struct stat status {};
    if (::stat(directory_.c_str(), &status) == 0) result.directory_changed_ns = changed_ns(status);
    if (::stat(legacy_path_.c_str(), &status) == 0) {
        result.legacy_changed_ns = changed_ns(status);
        result.legacy_inode = status.st_ino;
    }
    return result;
}

bool HandoverDirectory::may_have_changed() {
    const Signature now = signature();
    const bool same = now == last_signature_;
    const bool changed = !same || !settled_;
    if (!same) signature_seen_at_ = steady_now();
    last_signature_ = now;
    settled_ = same && steady_now() - signature_seen_at_ > kClockTick;
    return changed;
}

// If the directory changes while it is listed, both a replaced file and the one that takes over its content
// may be missed. So a reading counts only if the listings before and after it are equal.
std::string HandoverDirectory::read_others(const HandoverPass& pass, HandoverScan& scan) {
    for (int reading = 0; reading < kMaxReadings; ++reading) {
        scan.records.clear();
        scan.ended_writers.clear();
        scan.has_running_writers = false;
        std::set<std::string> before, after;
        if (std::string error = list(before); !error.empty()) return error;
        if (std::string error = read_legacy(pass, scan); !error.empty()) return error;
        if (std::string error = read_writers(before, pass, scan); !error.empty()) return error;
        if (std::string error = list(after); !error.empty()) return error;
        if (before == after) return {};
    }
    settled_ = false;
    return directory_ + " changes all the time";
}

std::string HandoverDirectory::list(std::set<std::string>& writers) const {
    std::error_code error;
    for (std::filesystem::directory_iterator it(directory_, error), end; !error && it != end;
         it.increment(error)) {
        const std::string writer = writer_of(it->path().filename().string());
        if (!writer.empty() && writer != own_name_) writers.insert(writer);
        if (writers.size() > kMaxWriters)
            return fmt::format("{} has files of over {} processes", directory_, kMaxWriters);
    }
    if (error && error != std::errc::no_such_file_or_directory)
        return directory_ + " can't be listed: " + error.message();
    return {};
}

std::string HandoverDirectory::read_writers(const std::set<std::string>& writers, const HandoverPass& pass,
                                            HandoverScan& scan) {
    for (const std::string& writer : writers)
        if (std::string error = read_writer(writer, pass, scan); !error.empty()) return error;
    return {};
}

// Checks the lock before reading the file: if the process has ended, the content read afterwards is final.
std::string HandoverDirectory::read_writer(const std::string& writer, const HandoverPass& pass,
                                           HandoverScan& scan) {
    const bool has_ended = lock_state(writer) == LockState::free;
    if (!has_ended) scan.has_running_writers = true;
    const std::string path = directory_ + '/' + writer;
    std::string text, error;
    switch (base::read_regular_file(path, kMaxFileBytes, text, error)) {
        case base::ReadStatus::ok:
            break;
        case base::ReadStatus::missing:  // not written yet, or removed meanwhile
            if (has_ended) scan.ended_writers.push_back(writer);
            return {};
        case base::ReadStatus::unreadable:
            if (!pass.skip_unreadable) return error;
            [[fallthrough]];
        case base::ReadStatus::not_regular:
            report_ignored(path, error);
            return {};
    }
    admin::HandoverRecord record;
    error = admin::HandoverRecord::decode(text, record);
    if (!error.empty()) {
        report_ignored(path, error);
        return {};
    }
    scan.records.push_back(std::move(record));
    if (has_ended) scan.ended_writers.push_back(writer);
    return {};
}

std::string HandoverDirectory::read_legacy(const HandoverPass& pass, HandoverScan& scan) {
    std::string text, error;
    scan.legacy_text.clear();
    switch (base::read_regular_file(legacy_path_, kMaxFileBytes, text, error)) {
        case base::ReadStatus::ok:
            if (!admin::is_legacy_copy(text)) scan.legacy_text = std::move(text);
            break;
        case base::ReadStatus::missing:
            break;
        case base::ReadStatus::unreadable:
            if (!pass.skip_unreadable) return error;
            [[fallthrough]];
        case base::ReadStatus::not_regular:
            report_ignored(legacy_path_, error);
            break;
    }
    return {};
}

HandoverDirectory::LockState HandoverDirectory::lock_state(const std::string& writer) const {
    const std::string path = directory_ + '/' + writer + kLockSuffix;
    const base::FileDescriptor file(path, O_RDWR);
    if (!file.is_open()) return errno == ENOENT ? LockState::free : LockState::unknown;
    return ::flock(file.fd(), LOCK_EX | LOCK_NB) == 0 ? LockState::free : LockState::held;
}

void HandoverDirectory::report_ignored(const std::string& path, const std::string& reason) {
    if (reported_.size() < kMaxWriters && reported_.insert(path).second)
        log::warn("handover: file_ignored path={} reason={}", path, reason);
}

}  // namespace sumackeel::daemon
