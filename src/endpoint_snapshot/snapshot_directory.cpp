#include "endpoint_snapshot/snapshot_directory.h"

#include <algorithm>
#include <filesystem>

#include "base/files.h"

namespace sumackeel::endpoint_snapshot {

using endpoints::DecodedSnapshot;
using endpoints::Micros;
using endpoints::SnapshotError;

namespace {

base::GenerationFiles lists_in(const std::string& path) {
    return {path, "list-", ".sumlist"};
}

}  // namespace

SnapshotDirectory::SnapshotDirectory(std::string path) : path_(std::move(path)), lists_(lists_in(path_)) {}

std::optional<SnapshotError> read_file(const std::string& path, std::string& bytes) {
    std::string wrong;
    switch (base::read_regular_file(path, endpoints::kMaxSnapshotBytes + endpoints::kSnapshotHeaderBytes,
                                    bytes, wrong)) {
        case base::ReadStatus::ok:
            return std::nullopt;
        case base::ReadStatus::not_regular:
            return SnapshotError{SnapshotError::Code::not_a_list, wrong};
        default:
            return SnapshotError{SnapshotError::Code::unreadable, wrong};
    }
}

LoadedSnapshot SnapshotDirectory::read(const endpoints::NameTables& names, const std::string& site,
                                       base::UnixTime wall_now) const {
    LoadedSnapshot found;
    for (const std::uint64_t generation : lists_.generations()) {
        const std::string file = lists_.path_of(generation);
        found.generation = std::max(found.generation, generation);
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
                found.warnings.push_back(std::move(decoded.snapshot));
        }
        if (fault) {
            found.skipped.push_back({file, *fault});
            continue;
        }
        found.snapshot = std::move(decoded.snapshot);
        found.file = file;
        found.good_generation = generation;
        found.left_out = decoded.left_out;
        break;
    }
    return found;
}

std::string SnapshotDirectory::write(const std::string& bytes, std::uint64_t generation,
                                     std::uint64_t keep) const {
    return lists_.write(bytes, generation, keep);
}

std::string newest_snapshot_path(const std::string& path) {
    std::error_code fault;
    if (!std::filesystem::is_directory(path, fault)) return path;
    const base::GenerationFiles lists = lists_in(path);
    const auto generations = lists.generations();
    return lists.path_of(generations.empty() ? 0 : generations.front());
}

}  // namespace sumackeel::endpoint_snapshot
