// The folder in which a list is kept: one file a generation, the last two kept. All calls block on the disk
// and belong off the loop; none throws.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/files.h"
#include "base/generation_files.h"
#include "endpoints/snapshot_codec.h"

namespace sumackeel::endpoint_snapshot {

// A file that was passed over, and why.
struct SkippedFile {
    std::string file;
    endpoints::SnapshotError fault;
};

// What a folder held.
struct LoadedSnapshot {
    std::optional<endpoints::Snapshot> snapshot;  // the newest that can be used
    std::string file;                             // where that was
    std::uint64_t generation = 0;                 // the highest seen, of a good or a bad file
    std::uint64_t good_generation = 0;            // of `list`; 0: none
    std::size_t left_out = 0;                     // members of zones or kinds no longer known
    std::vector<SkippedFile> skipped;             // newer ones that can't
    std::vector<endpoints::Snapshot> warnings;  // of those passed over for the clock alone: drains and purges
    std::shared_ptr<base::DirectoryLock> lock;  // set by Loading
};

class SnapshotDirectory {
  public:
    explicit SnapshotDirectory(std::string path);

    const std::string& path() const { return path_; }
    LoadedSnapshot read(const endpoints::NameTables& names, const std::string& site,
                        base::UnixTime wall_now) const;
    // Puts a new generation beside `keep`, the last good one, and removes all others: whole or not at all.
    // Empty: it is on disk; else what went wrong, and the folder is as it was.
    std::string write(const std::string& bytes, std::uint64_t generation, std::uint64_t keep) const;

  private:
    std::string path_;
    base::GenerationFiles lists_;
};

// A file's bytes; a fault where it can't be read or is too long to be a list.
std::optional<endpoints::SnapshotError> read_file(const std::string& path, std::string& bytes);

// The newest generation where `path` is a folder, good or not; else the path itself. For tools.
std::string newest_snapshot_path(const std::string& path);

}  // namespace sumackeel::endpoint_snapshot
