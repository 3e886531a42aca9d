// Files kept as generations in a directory: PREFIX, 16 digits, SUFFIX; the newest, and one that is known to
// be good. All calls block on the disk; none throws.
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
    // The newest first.
    std::vector<std::uint64_t> generations() const;
    // Writes a new generation beside `keep`, the last good one, and removes all others. Atomic: an empty
    // result means that it is on disk, any other says what went wrong, and the directory is as it was.
    std::string write(std::string_view bytes, std::uint64_t generation, std::uint64_t keep) const;
    // Renames a bad generation to a name that no generation has.
    void quarantine(std::uint64_t generation) const;

  private:
    std::string name_of(std::uint64_t generation) const;
    std::uint64_t generation_of(const std::string& name) const;  // 0: not the name of a generation

    std::string directory_, prefix_, suffix_;
};

}  // namespace sumackeel::base
