// The public view of the members, as this one sees them.
#pragma once

#include <string>
#include <vector>

#include "cluster/messages.h"

namespace sumackeel::cluster {

enum class MemberState { joining, alive, suspect, dead, left };
using State = MemberState;  // for the folders that still use the short name
// As it appears in logs and in /ops/ responses.
const char* name_of(MemberState state);

struct MemberView {
    MemberRecord record;
    MemberState state = MemberState::joining;
    Micros since = 0;                     // in this state
    Micros last_received_at = -1;         // when it last sent a datagram to this member; -1: never
    std::vector<std::string> suspectors;  // whose suspicions of it are active
    bool directly_reachable = true;       // answers direct pings; false: only through relays, or not at all
};

// Which side of a network partition this member is on; alone: no other member is known.
enum class PartitionSide { alone, minority, majority };
const char* name_of(PartitionSide side);

// A member's transition from one state to another, for the log.
struct MemberChange {
    std::string member;
    MemberState from = MemberState::joining;
    MemberState to = MemberState::joining;
    std::vector<std::string> suspectors;
};

}  // namespace sumackeel::cluster
