// Files that are kept as generations in a folder: PREFIX-N.SUFFIX with 16 digits, the newest and one good one
// before it. All calls block on the disk; none throws.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sumackeel::base {

class GenerationFiles {
  public:
    GenerationFiles(std::string folder, std::string prefix, std::string suffix)
        : directory_(std::move(folder)), prefix_(std::move(prefix)), suffix_(std::move(suffix)) {}

    const std::string& directory() const { return directory_; }
    std::string path_of(std::uint64_t generation) const;
    std::vector<std::uint64_t> generations() const;  // the newest first
    // Puts a new generation beside `keep`, the last good one, and removes all others: whole or not at all.
    // Empty: it is on disk; else what went wrong, and the folder is as it was.
    std::string write(std::string_view bytes, std::uint64_t generation, std::uint64_t keep) const;
    // Out of the way, under a name that no generation has.
    void quarantine(std::uint64_t generation) const;

  private:
    std::string name_of(std::uint64_t generation) const;
    std::uint64_t generation_of(const std::string& name) const;  // 0: not the name of one

    std::string directory_, prefix_, suffix_;
};

}  // namespace sumackeel::base
