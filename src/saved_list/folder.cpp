#include "saved_list/folder.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <filesystem>

#include "base/files.h"

namespace sumackeel::saved_list {

using membership::Decoded;
using membership::Fault;
using membership::Micros;

namespace {

constexpr std::string_view kPrefix = "list-", kSuffix = ".sumlist";
constexpr const char* kUnfinished = "unfinished.tmp";
constexpr std::size_t kDigits = 16;

std::vector<std::uint64_t> generations_in(const std::string& path) {
    std::vector<std::uint64_t> all;
    std::error_code fault;
    for (std::filesystem::directory_iterator it(path, fault), end; !fault && it != end; it.increment(fault))
        if (const auto number = Folder::generation_of(it->path().filename().string())) all.push_back(number);
    std::sort(all.rbegin(), all.rend());
    return all;
}

}  // namespace

std::string Folder::name_of(std::uint64_t generation) {
    return fmt::format("{}{:0{}}{}", kPrefix, generation, kDigits, kSuffix);
}

std::uint64_t Folder::generation_of(const std::string& name) {
    if (name.size() != kPrefix.size() + kDigits + kSuffix.size() || !name.starts_with(kPrefix) ||
        !name.ends_with(kSuffix))
        return 0;
    std::uint64_t number = 0;
    const char *begin = name.data() + kPrefix.size(), *end = begin + kDigits;
    const auto read = std::from_chars(begin, end, number);
    return read.ec == std::errc{} && read.ptr == end ? number : 0;
}

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

Found Folder::read(const membership::Names& names, const std::string& site, Micros wall_now) const {
    Found found;
    for (const std::uint64_t generation : generations_in(path_)) {
        const std::string file = path_ + '/' + name_of(generation);
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

// Danger: each step only adds until the new generation is on disk under its own name. Whatever the moment of
// a crash, the folder holds the old generations, or them and the new one; a file half written has no such
// name.
std::string Folder::write(const std::string& bytes, std::uint64_t generation, std::uint64_t keep) const {
    const std::string fault = base::put_in_place(path_, kUnfinished, name_of(generation), bytes);
    if (!fault.empty()) return fault;
    for (const std::uint64_t old : generations_in(path_))
        if (old != generation && old != keep) ::unlink((path_ + '/' + name_of(old)).c_str());
    return {};
}

std::string newest_in(const std::string& path) {
    std::error_code fault;
    if (!std::filesystem::is_directory(path, fault)) return path;
    const auto generations = generations_in(path);
    return path + '/' + Folder::name_of(generations.empty() ? 0 : generations.front());
}

}  // namespace sumackeel::saved_list
