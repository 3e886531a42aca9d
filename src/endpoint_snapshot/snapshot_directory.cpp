#include "endpoint_snapshot/snapshot_directory.h"

#include <algorithm>
#include <filesystem>

#include "base/files.h"

namespace sumackeel::endpoint_snapshot {

using endpoints::DecodedSnapshot;
using endpoints::Micros;
using endpoints::SnapshotError;

namespace {

base::GenerationFiles snapshot_files(const std::string& path) {
    return {path, "list-", ".sumlist"};
}

}  // namespace

SnapshotDirectory::SnapshotDirectory(std::string path)
    : path_(std::move(path)), files_(snapshot_files(path_)) {}

std::optional<SnapshotError> read_file(const std::string& path, std::string& bytes) {
    std::string error;
    switch (base::read_regular_file(path, endpoints::kMaxSnapshotBytes + endpoints::kSnapshotHeaderBytes,
                                    bytes, error)) {
        case base::ReadStatus::ok:
            return std::nullopt;
        case base::ReadStatus::not_regular:
            return SnapshotError{SnapshotError::Code::not_a_list, error};
        default:
            return SnapshotError{SnapshotError::Code::unreadable, error};
    }
}

LoadedSnapshot SnapshotDirectory::read(const endpoints::NameTables& names, const std::string& site,
                                       base::UnixTime wall_now) const {
    LoadedSnapshot result;
    for (const std::uint64_t generation : files_.generations()) {
        const std::string file = files_.path_of(generation);
        result.generation = std::max(result.generation, generation);
        std::string bytes;
        std::optional<SnapshotError> fault = read_file(file, bytes);
        DecodedSnapshot decoded;
        if (!fault) {
            decoded = endpoints::decode(bytes, names);
            fault = decoded.error;
        }
        if (!fault) {
            fault = endpoints::validate(decoded.snapshot, site, wall_now);
            if (fault && fault->code == SnapshotError::Code::wrong_clock)
                result.warnings.push_back(std::move(decoded.snapshot));
        }
        if (fault) {
            result.skipped.push_back({file, *fault});
            continue;
        }
        result.snapshot = std::move(decoded.snapshot);
        result.file = file;
        result.good_generation = generation;
        result.left_out = decoded.left_out;
        break;
    }
    return result;
}

std::string SnapshotDirectory::write(const std::string& bytes, std::uint64_t generation,
                                     std::uint64_t keep_generation) const {
    return files_.write(bytes, generation, keep_generation);
}

std::string newest_snapshot_path(const std::string& path) {
    std::error_code fault;
    if (!std::filesystem::is_directory(path, fault)) return path;
    const base::GenerationFiles files = snapshot_files(path);
    const auto generations = files.generations();
    return files.path_of(generations.empty() ? 0 : generations.front());
}

}  // namespace sumackeel::endpoint_snapshot
