// What a proxy keeps on disk for its recovery, as text with a version and a checksum (docs/design/recovery.md
// has it line by line). Pure.
#pragma once

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

#include "recovery/recovery_phases.h"

namespace sumackeel::recovery {

constexpr std::size_t kMaxNames = 4'096;  // of members, of bans, and of leases
constexpr std::size_t kMaxNameLength = 253;
constexpr std::size_t kMaxStateBytes = 3 * kMaxNames * (kMaxNameLength + 8) + 4'096;
constexpr int kStateVersion = 1;

struct PersistedState {
    Phase phase = Phase::reading;   // when it was written
    std::set<std::string> members;  // that were there, this one included
    bool draining = false;
    std::set<std::string> bans;    // this proxy's own
    std::set<std::string> leased;  // pop caches out by lease, as the replicated log last had it
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

// The text is for operators; the code is for callers.
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
// The same without an exception: empty on success, else the error's text, with `state` as it was.
std::string decode(std::string_view text, PersistedState& state);

}  // namespace sumackeel::recovery
