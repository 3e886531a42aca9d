// The MessagePack reply of a member to the call `recovery`, version 1 (docs/design/recovery.md).
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "recovery/recovery_phases.h"

namespace sumackeel::recovery_coordinator {

constexpr const char* kRecoveryVerb = "recovery";
constexpr std::size_t kMaxPurges = 20'000;  // in one reply

// A purge with its age instead of a time, because members' clocks may differ after a power loss.
struct RecentPurge {
    std::string object;
    int group = 0;
    base::Micros age = 0;
};

struct RecoveryReply {
    recovery::Phase phase = recovery::Phase::reading;
    bool serving_fleet = false;     // see RecoveryPhases::serving_fleet()
    bool purges_confirmed = false;  // `purges` is complete
    std::uint64_t members_back = 0, members_before = 0;
    std::vector<RecentPurge> purges;  // ages are encoded in milliseconds
    std::set<std::string> leased;     // pop caches with a drain lease, as known to the sender
};

std::string encode(const RecoveryReply& reply);
// Returns nullopt for another version. Throws std::runtime_error on malformed bytes.
std::optional<RecoveryReply> decode_recovery_reply(const std::string& body);

}  // namespace sumackeel::recovery_coordinator
