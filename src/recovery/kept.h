// What a proxy keeps for its way back, as text with a version and a checksum (docs/design/recovery.md has it
// line by line). Pure.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "recovery/ladder.h"

namespace sumackeel::recovery {

constexpr std::size_t kMostNames = 4'096;  // members, and bans
constexpr std::size_t kLongestName = 253;
constexpr std::size_t kLongestKept = 3 * kMostNames * (kLongestName + 8) + 4'096;
constexpr int kKeptVersion = 1;

struct Kept {
    Stage stage = Stage::reading;   // when it was written
    std::set<std::string> members;  // who was there, this one too
    bool drain = false;
    std::set<std::string> bans;    // this proxy's own
    std::set<std::string> leased;  // pop caches out by lease when the agreed log was last heard
    bool operator==(const Kept&) const = default;
};

std::string encode(const Kept& kept);
// Empty: `kept` is what the text says; else what is wrong with it, and `kept` is as it was.
std::string decode(std::string_view text, Kept& kept);

}  // namespace sumackeel::recovery
