#include "consensus/raft_directory.h"

#include <fmt/format.h>

#include <cerrno>
#include <charconv>
#include <filesystem>
#include <functional>
#include <string_view>
#include <system_error>
#include <vector>

#include "base/files.h"
#include "consensus/consensus_error.h"

namespace sumackeel::consensus {

namespace {

constexpr std::size_t kMaxFileBytes = 256 << 20;  // snapshots are the largest files
constexpr std::size_t kMaxHistoryBytes = 64;
constexpr const char* kLockFile = "lock";
constexpr const char* kVotedFile = "voted";  // in the marker directory
constexpr const char* kForceFile = "force";
constexpr const char* kHistoryFile = "history";
constexpr std::string_view kHistoryPrefix = "sumackeel-history 1 ";

bool file_exists(const std::string& path) {
    std::error_code ignored;
    return std::filesystem::exists(path, ignored);
}

// The raft library's file names are open-N, FIRST-LAST (numbers only) and snapshot-TERM-INDEX-TIME with or
// without the suffix .meta.
bool holds_entries(std::string_view name) {
    return name.starts_with("open-") || name.starts_with("snapshot-") ||
           name.find_first_not_of("0123456789-") == std::string_view::npos;
}

// The reason why a possibly intact file can't be read now; empty if there is none. Disk I/O errors (EIO) and
// oversized files (EFBIG) count as damage, not as temporary faults.
std::string find_temporary_fault(const std::string& path) {
    std::error_code error;
    for (std::filesystem::directory_iterator it(path, error), end; !error && it != end; it.increment(error)) {
        std::string bytes;
        const bool is_file = it->is_regular_file(error);
        const int fault = is_file ? base::read_entire_file(it->path().string(), kMaxFileBytes, bytes) : 0;
        if (fault != 0 && fault != EIO && fault != EFBIG)
            return it->path().string() + ": " + std::generic_category().message(fault);
    }
    return error ? error.message() : std::string{};
}

std::string move_files(const std::string& path, const std::string& archive,
                       const std::function<bool(std::string_view name)>& is_chosen) {
    const std::filesystem::path to(archive);
    std::error_code error;
    std::filesystem::create_directories(to, error);
    std::vector<std::filesystem::path> files;
    for (std::filesystem::directory_iterator it(path, error), end; !error && it != end; it.increment(error))
        if (it->is_regular_file() && is_chosen(it->path().filename().string())) files.push_back(it->path());
    for (const auto& file : files)
        if (!error) std::filesystem::rename(file, to / file.filename(), error);
    return error ? error.message() : std::string{};
}

}  // namespace

bool RaftDirectory::has_log() const {
    return file_exists(path_ + "/metadata1") || file_exists(path_ + "/metadata2");
}

bool RaftDirectory::has_lost_log() const {
    return !has_log() && file_exists(marker_directory_ + '/' + kVotedFile);
}

std::string RaftDirectory::mark_log_started() const {
    return base::replace_file(marker_directory_, std::string(kVotedFile) + ".new", kVotedFile,
                              "sumackeel-voted 1\n");
}

std::uint64_t RaftDirectory::read_history() const {
    std::string text, fault;
    const auto status = base::read_regular_file(path_ + '/' + kHistoryFile, kMaxHistoryBytes, text, fault);
    if (status == base::ReadStatus::missing) return 0;
    std::uint64_t history = 0;
    const char* begin = text.data() + kHistoryPrefix.size();
    const char* end = text.data() + text.size() - 1;
    if (status != base::ReadStatus::ok || !text.starts_with(kHistoryPrefix) || !text.ends_with('\n') ||
        std::from_chars(begin, end, history).ptr != end)
        throw ConsensusError(ConsensusErrorCode::unreadable_history,
                             fmt::format("agreed: {}/{} can't be read: {}", path_, kHistoryFile,
                                         fault.empty() ? text : fault));
    return history;
}

std::string RaftDirectory::write_history(const std::string& path, std::uint64_t history) {
    return base::replace_file(path, std::string(kHistoryFile) + ".new", kHistoryFile,
                              fmt::format("{}{}\n", kHistoryPrefix, history));
}

bool RaftDirectory::is_start_forced() const {
    return has_log() && file_exists(path_ + '/' + kForceFile);
}

std::string RaftDirectory::archive_force_marker(std::int64_t now) const {
    std::string archived = fmt::format("{}/{}d-{}", path_, kForceFile, now);
    std::error_code ignored;
    std::filesystem::rename(path_ + '/' + kForceFile, archived, ignored);
    return archived;
}

std::string check_log_directory(const std::string& path) {
    const base::DirectoryLock lock(path);
    if (!lock.error().empty()) return lock.error();
    std::error_code error;
    for (std::filesystem::directory_iterator it(path, error), end; !error && it != end; it.increment(error)) {
        std::string bytes;
        if (it->is_regular_file(error)) base::read_entire_file(it->path().string(), kMaxFileBytes, bytes);
    }
    return error ? error.message() : std::string{};
}

std::string move_log_files(const std::string& path, const std::string& archive) {
    return move_files(path, archive, [](std::string_view name) { return name != kLockFile; });
}

std::string move_log_entries(const std::string& path, const std::string& archive) {
    const std::string fault = find_temporary_fault(path);
    return fault.empty() ? move_files(path, archive, holds_entries) : fault;
}

}  // namespace sumackeel::consensus
