// The files that stand beside the library's own in a voter's log directory, and the marker that shows that
// this voter has had a log. All calls block on the disk.
//
// History: logs that began by themselves have history 0; each start that an operator forced begins a later
// one. Voters of different histories don't speak with each other.
#pragma once

#include <cstdint>
#include <string>

namespace sumackeel::consensus {

class RaftDirectory {
  public:
    // `marker_directory` lies outside `path`, so that the marker outlives the log.
    RaftDirectory(std::string path, std::string marker_directory)
        : path_(std::move(path)), marker_directory_(std::move(marker_directory)) {}

    const std::string& path() const { return path_; }
    bool has_log() const;
    // There was a log before, and the votes recorded in it are lost with it.
    bool has_lost_log() const;
    // Empty on success, else the error.
    std::string mark_log_started() const;

    // Throws ConsensusError where the file can't be read; 0 where there is none.
    std::uint64_t read_history() const;
    // Empty on success, else the error.
    static std::string write_history(const std::string& path, std::uint64_t history);

    // An operator has asked for a start without the other voters.
    bool is_start_forced() const;
    // Keeps the operator's marker under another name, so that the next start is an ordinary one. Returns
    // that name.
    std::string archive_force_marker(std::int64_t now) const;

  private:
    std::string path_, marker_directory_;
};

// Reads every file, so that a disk that hangs shows itself here: not to be called on the loop. Empty: the
// directory can be opened; else the error.
std::string check_log_directory(const std::string& path);
// Moves all files but the lock into `archive`. Empty on success, else the error.
std::string move_log_files(const std::string& path, const std::string& archive);
// Moves the entries and the snapshots alone: term, vote and history stay. Moves nothing where a file can't be
// read for want of memory, descriptors or rights, as the log may then be whole. Empty on success, else the
// error.
std::string move_log_entries(const std::string& path, const std::string& archive);

}  // namespace sumackeel::consensus
