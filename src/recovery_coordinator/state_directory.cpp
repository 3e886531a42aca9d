#include "recovery_coordinator/state_directory.h"

#include <algorithm>

#include "base/system_error.h"

namespace sumackeel::recovery_coordinator {

namespace {

constexpr const char* kLockFile = "kept.lock";  // the endpoint snapshot has its own lock in this folder

}  // namespace

LoadedState StateDirectory::load() {
    const std::scoped_lock guard(mutex_);
    LoadedState loaded;
    for (const std::uint64_t generation : files_.generations()) {
        newest_generation_ = std::max(newest_generation_, generation);
        const std::string error = load_generation(generation, loaded.state);
        if (error.empty()) {
            good_generation_ = generation;
            return loaded;
        }
        loaded.rejected_files.push_back(files_.path_of(generation) + ": " + error);
    }
    return loaded;
}

std::string StateDirectory::load_generation(std::uint64_t generation, recovery::PersistedState& state) {
    std::string text, error;
    base::ReadStatus status{};
    base::retry_directory_at_startup([&] {
        status = base::read_regular_file(files_.path_of(generation), recovery::kMaxStateBytes, text, error);
        return status == base::ReadStatus::unreadable ? error : std::string{};
    });
    if (status == base::ReadStatus::ok) error = recovery::decode(text, state);
    if (!error.empty() && status != base::ReadStatus::unreadable) files_.quarantine(generation);
    return error;
}

// A previous process of this proxy holds the lock until it exits, so each write retries to acquire it.
std::string StateDirectory::write(const std::string& encoded) {
    // Until load() has seen all generations, a new one could get a lower number than an existing one.
    const std::unique_lock guard(mutex_, std::try_to_lock);
    if (!guard) return "what was kept before is still being read";
    if (!lock_ || !lock_->error().empty()) lock_ = std::make_unique<base::DirectoryLock>(path_, kLockFile);
    std::string error = lock_->error();
    if (error.empty()) error = files_.write(encoded, newest_generation_ + 1, good_generation_);
    if (error.empty()) good_generation_ = ++newest_generation_;
    return error;
}

std::string StateDirectory::last_good_file() const {
    const std::uint64_t good = good_generation_;
    return good > 0 ? files_.path_of(good) : std::string{};
}

}  // namespace sumackeel::recovery_coordinator
