// The reply of a member to the verb `recovery`, version 1 (docs/design/recovery.md): MessagePack.
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

// A purge, by its age: members' clocks may differ after a loss of power.
struct RecentPurge {
    std::string object;
    int group = 0;
    base::Micros age = 0;
};

struct RecoveryReply {
    recovery::Phase phase = recovery::Phase::reading;
    bool serving_fleet = false;     // see RecoveryPhases::serving_fleet()
    bool purges_confirmed = false;  // `purges` are all there are
    std::uint64_t members_back = 0, members_before = 0;
    std::vector<RecentPurge> purges;  // ages go over the wire in milliseconds
    std::set<std::string> leased;     // pop caches out by lease, as far as the sender knows
};

std::string encode(const RecoveryReply& reply);
// None: of another version. Throws std::runtime_error on malformed bytes.
std::optional<RecoveryReply> decode_recovery_reply(const std::string& body);

}  // namespace sumackeel::recovery_coordinator
