#include "saved_list/folder.h"

#include <algorithm>
#include <filesystem>

#include "base/files.h"

namespace sumackeel::saved_list {

using membership::Decoded;
using membership::Fault;
using membership::Micros;

namespace {

base::Generations lists_in(const std::string& path) {
    return {path, "list-", ".sumlist"};
}

}  // namespace

Folder::Folder(std::string path) : path_(std::move(path)), lists_(lists_in(path_)) {}

std::optional<Fault> read_file(const std::string& path, std::string& bytes) {
    std::string wrong;
    switch (base::read_plain(path, membership::kLongestSaved + membership::kSavedHeader, bytes, wrong)) {
        case base::Reading::done:
            return std::nullopt;
        case base::Reading::unfit:
            return Fault{Fault::Kind::not_a_list, wrong};
        default:
            return Fault{Fault::Kind::unreadable, wrong};
    }
}

Found Folder::read(const membership::Names& names, const std::string& site, base::UnixTime wall_now) const {
    Found found;
    for (const std::uint64_t generation : lists_.all()) {
        const std::string file = lists_.path_of(generation);
        found.generation = std::max(found.generation, generation);
        std::string bytes;
        std::optional<Fault> fault = read_file(file, bytes);
        Decoded decoded;
        if (!fault) {
            decoded = membership::decode(bytes, names);
            fault = decoded.fault;
        }
        if (!fault) {
            fault = membership::judge(decoded.list, site, wall_now);
            if (fault && fault->kind == Fault::Kind::wrong_clock)
                found.warnings.push_back(std::move(decoded.list));
        }
        if (fault) {
            found.passed.push_back({file, *fault});
            continue;
        }
        found.list = std::move(decoded.list);
        found.file = file;
        found.good = generation;
        found.left_out = decoded.left_out;
        break;
    }
    return found;
}

std::string Folder::write(const std::string& bytes, std::uint64_t generation, std::uint64_t keep) const {
    return lists_.write(bytes, generation, keep);
}

std::string newest_in(const std::string& path) {
    std::error_code fault;
    if (!std::filesystem::is_directory(path, fault)) return path;
    const base::Generations lists = lists_in(path);
    const auto generations = lists.all();
    return lists.path_of(generations.empty() ? 0 : generations.front());
}

}  // namespace sumackeel::saved_list
