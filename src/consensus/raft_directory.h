// The files in a voter's log directory besides the raft library's own, and the marker which shows that this
// voter has had a log before. All calls block on disk I/O.
//
// History: an ordinarily bootstrapped log has history 0; each start forced by an operator begins a later one.
// Voters of different histories refuse to communicate with each other.
#pragma once

#include <cstdint>
#include <string>

namespace sumackeel::consensus {

class RaftDirectory {
  public:
    // `marker_directory` is outside `path`, so that the marker survives the loss of the log.
    RaftDirectory(std::string path, std::string marker_directory)
        : path_(std::move(path)), marker_directory_(std::move(marker_directory)) {}

    const std::string& path() const { return path_; }
    bool has_log() const;
    // True if there was a log before; the votes recorded in it are lost with it.
    bool has_lost_log() const;
    // Returns an empty string on success, otherwise the error.
    std::string mark_log_started() const;

    // Returns 0 if there is no file. Throws ConsensusError if it can't be read.
    std::uint64_t read_history() const;
    // Returns an empty string on success, otherwise the error.
    static std::string write_history(const std::string& path, std::uint64_t history);

    // True if an operator has requested a start without the other voters.
    bool is_start_forced() const;
    // Renames the operator's marker, so that the next start is an ordinary one. Returns the new path.
    std::string archive_force_marker(std::int64_t now) const;

  private:
    std::string path_, marker_directory_;
};

// Reads every file, so that a hanging disk blocks here; must not be called on the loop. Returns an empty
// string if the directory can be opened, otherwise the error.
std::string check_log_directory(const std::string& path);
// Moves all files except the lock into `archive`. Returns an empty string on success, otherwise the error.
std::string move_log_files(const std::string& path, const std::string& archive);
// Moves only the entries and the snapshots; term, vote and history stay. Moves nothing if a file can't be
// read for lack of memory, descriptors or permissions, as the log may then be intact. Returns an empty string
// on success, otherwise the error.
std::string move_log_entries(const std::string& path, const std::string& archive);

}  // namespace sumackeel::consensus
