// The state that a proxy persists on disk for its recovery: text with a version and a checksum. The format is
// described in docs/design/recovery.md. Pure.
#pragma once

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

#include "recovery/recovery_phases.h"

namespace sumackeel::recovery {

constexpr std::size_t kMaxNames = 4'096;  // limit for members, for bans and for leases each
constexpr std::size_t kMaxNameLength = 253;
constexpr std::size_t kMaxStateBytes = 3 * kMaxNames * (kMaxNameLength + 8) + 4'096;
constexpr int kStateVersion = 1;

struct PersistedState {
    Phase phase = Phase::reading;   // at the time of writing
    std::set<std::string> members;  // of the cluster, including this proxy
    bool draining = false;
    std::set<std::string> bans;    // set at this proxy
    std::set<std::string> leased;  // pop caches with a drain lease, as last seen in the replicated log
    bool operator==(const PersistedState&) const = default;
};

enum class StateErrorCode : std::uint8_t {
    too_long,
    truncated,
    unknown_format,
    checksum_mismatch,
    unsupported_version,
    malformed_line,
};

// The text is shown to operators; callers use the code.
class StateError : public std::runtime_error {
  public:
    StateError(StateErrorCode code, const std::string& text) : std::runtime_error(text), code_(code) {}
    StateErrorCode code() const { return code_; }

  private:
    StateErrorCode code_;
};

std::string encode(const PersistedState& state);
// Throws StateError.
PersistedState decode_persisted_state(std::string_view text);
// Non-throwing variant: returns empty on success, otherwise the error text, with `state` unchanged.
std::string decode(std::string_view text, PersistedState& state);

}  // namespace sumackeel::recovery
