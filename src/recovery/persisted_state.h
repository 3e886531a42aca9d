// What a proxy keeps for its way back, as text with a version and a checksum (docs/design/recovery.md has it
// line by line). Pure.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "recovery/recovery_phases.h"

namespace sumackeel::recovery {

constexpr std::size_t kMaxNames = 4'096;  // members, and bans
constexpr std::size_t kMaxNameLength = 253;
constexpr std::size_t kMaxStateBytes = 3 * kMaxNames * (kMaxNameLength + 8) + 4'096;
constexpr int kStateVersion = 1;

struct PersistedState {
    Phase phase = Phase::reading;   // when it was written
    std::set<std::string> members;  // who was there, this one too
    bool draining = false;
    std::set<std::string> bans;    // this proxy's own
    std::set<std::string> leased;  // pop caches out by lease when the agreed log was last heard
    bool operator==(const PersistedState&) const = default;
};

std::string encode(const PersistedState& kept);
// Empty: `kept` is what the text says; else what is wrong with it, and `kept` is as it was.
std::string decode(std::string_view text, PersistedState& kept);

}  // namespace sumackeel::recovery
