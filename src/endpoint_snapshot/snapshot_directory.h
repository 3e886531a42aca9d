// The folder that holds the endpoint snapshots: one file per generation, of which the last two are retained.
// All functions block on the disk and must not run on the event loop; none throws.
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

// A file that was skipped, and why.
struct SkippedFile {
    std::string file;
    endpoints::SnapshotError fault;
};

// The result of reading a folder.
struct LoadedSnapshot {
    std::optional<endpoints::Snapshot> snapshot;  // the newest usable one
    std::string file;                             // the path of that one
    std::uint64_t generation = 0;                 // the highest found, of a usable file or not
    std::uint64_t good_generation = 0;            // of `snapshot`; 0: none
    std::size_t left_out = 0;                     // endpoints of zones or kinds that are no longer known
    std::vector<SkippedFile> skipped;             // newer files that can't be used
    std::vector<endpoints::Snapshot> warnings;    // skipped only for a wrong clock: drains and purges apply
    std::shared_ptr<base::DirectoryLock> lock;    // set by SnapshotLoader
};

class SnapshotDirectory {
  public:
    explicit SnapshotDirectory(std::string path);

    const std::string& path() const { return path_; }
    LoadedSnapshot read(const endpoints::NameTables& names, const std::string& site,
                        base::UnixTime wall_now) const;
    // Atomically writes a new generation next to `keep_generation`, the last good one, and removes all
    // others. Returns an empty string on success, or an error message, in which case the folder is unchanged.
    std::string write(const std::string& bytes, std::uint64_t generation,
                      std::uint64_t keep_generation) const;

  private:
    std::string path_;
    base::GenerationFiles files_;
};

// Reads a file; returns an error if it can't be read or is too long for a snapshot.
std::optional<endpoints::SnapshotError> read_file(const std::string& path, std::string& bytes);

// The file of the newest generation, usable or not, if `path` is a folder; otherwise `path`. For tools.
std::string newest_snapshot_path(const std::string& path);

}  // namespace sumackeel::endpoint_snapshot
