// The persisted state on disk: generations of files in one directory (docs/design/recovery.md).
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/files.h"
#include "base/generation_files.h"
#include "recovery/persisted_state.h"

namespace sumackeel::recovery_coordinator {

// What a start has read.
struct LoadedState {
    recovery::PersistedState state;
    std::vector<std::string> rejected_files;  // each with the reason
};

// All calls but last_good_file() block on the disk; one thread at a time does them: the one that loads at the
// start, then the writer's.
class StateDirectory {
  public:
    explicit StateDirectory(const std::string& path) : path_(path), files_(path, "kept-", ".sumkept") {}

    // The newest generation that is sound; damaged ones before it are moved aside and listed.
    LoadedState load();
    // Writes the next generation. Empty on success, else the error.
    std::string write(const std::string& encoded);
    const std::string& path() const { return path_; }
    std::string last_good_file() const;  // empty: none

  private:
    // Empty on success, else the error.
    std::string load_generation(std::uint64_t generation, recovery::PersistedState& state);

    const std::string path_;
    const base::GenerationFiles files_;
    std::mutex mutex_;
    std::unique_ptr<base::DirectoryLock> lock_;
    std::uint64_t newest_generation_ = 0;
    std::atomic<std::uint64_t> good_generation_ = 0;  // 0: none
};

}  // namespace sumackeel::recovery_coordinator
