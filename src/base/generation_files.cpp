#include "base/generation_files.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <filesystem>

#include "base/files.h"

namespace sumackeel::base {

namespace {

// Follows the prefix, as two kinds of files may share a directory, each with a writer of its own.
constexpr const char* kUnfinished = "unfinished.tmp";
constexpr std::size_t kDigits = 16;

}  // namespace

std::string GenerationFiles::name_of(std::uint64_t generation) const {
    return fmt::format("{}{:0{}}{}", prefix_, generation, kDigits, suffix_);
}

std::string GenerationFiles::path_of(std::uint64_t generation) const {
    return directory_ + '/' + name_of(generation);
}

std::uint64_t GenerationFiles::generation_of(const std::string& name) const {
    if (name.size() != prefix_.size() + kDigits + suffix_.size() || !name.starts_with(prefix_) ||
        !name.ends_with(suffix_))
        return 0;
    std::uint64_t number = 0;
    const char *begin = name.data() + prefix_.size(), *end = begin + kDigits;
    const auto read = std::from_chars(begin, end, number);
    return read.ec == std::errc{} && read.ptr == end ? number : 0;
}

std::vector<std::uint64_t> GenerationFiles::generations() const {
    std::vector<std::uint64_t> found;
    std::error_code error;
    for (std::filesystem::directory_iterator it(directory_, error), end; !error && it != end;
         it.increment(error))
        if (const auto number = generation_of(it->path().filename().string())) found.push_back(number);
    std::sort(found.rbegin(), found.rend());
    return found;
}

// Each step only adds until the new generation is on disk under its own name. Whatever the moment of a crash,
// the directory holds the old generations, or them and the new one; a file that is half written has no such
// name.
std::string GenerationFiles::write(std::string_view bytes, std::uint64_t generation,
                                   std::uint64_t keep) const {
    std::string error = replace_file(directory_, prefix_ + kUnfinished, name_of(generation), bytes);
    if (!error.empty()) return error;
    for (const std::uint64_t old : generations()) {
        if (old == generation || old == keep) continue;
        crash_point();
        ::unlink(path_of(old).c_str());
    }
    return {};
}

void GenerationFiles::quarantine(std::uint64_t generation) const {
    const std::string path = path_of(generation);
    std::rename(path.c_str(), (path + ".bad").c_str());
}

}  // namespace sumackeel::base
