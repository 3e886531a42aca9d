// Stores the persisted state as generations of files in one directory (docs/design/recovery.md).
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

// The result of loading at startup.
struct LoadedState {
    recovery::PersistedState state;
    std::vector<std::string> rejected_files;  // each with the reason
};

// All functions except last_good_file() block on disk I/O. They are called by one thread at a time: first by
// the thread that loads at startup, then by the writer thread.
class StateDirectory {
  public:
    explicit StateDirectory(const std::string& path) : path_(path), files_(path, "kept-", ".sumkept") {}

    // Loads the newest valid generation; newer damaged ones are quarantined and listed.
    LoadedState load();
    // Writes the next generation. Returns empty on success, otherwise the error.
    std::string write(const std::string& encoded);
    const std::string& path() const { return path_; }
    std::string last_good_file() const;  // empty: none

  private:
    // Returns empty on success, otherwise the error.
    std::string load_generation(std::uint64_t generation, recovery::PersistedState& state);

    const std::string path_;
    const base::GenerationFiles files_;
    std::mutex mutex_;
    std::unique_ptr<base::DirectoryLock> lock_;
    std::uint64_t newest_generation_ = 0;
    std::atomic<std::uint64_t> good_generation_ = 0;  // 0: none
};

}  // namespace sumackeel::recovery_coordinator
