// What members of the group tell each other, as values. The form on the wire is
// src/cluster_transport/message_codec.h's.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sumackeel::cluster {

using base::Micros;

// Which word of a member is the fresher one. `start` is the number of its start, kept on its disk and never
// used twice; `incarnation` grows within one life, whenever the member answers what is said of it.
struct Incarnation {
    std::uint64_t start = 0, refutations = 0;
    auto operator<=>(const Incarnation&) const = default;
};

// Numbers beyond these are nobody's: one that is wrong could otherwise drive another's to where it can't be
// gone past.
constexpr std::uint64_t kMaxStart = 1ULL << 62, kMaxRefutations = 1ULL << 62;
inline bool is_valid(const Incarnation& stamp) {
    return stamp.start <= kMaxStart && stamp.refutations <= kMaxRefutations;
}

enum class Phase : std::uint8_t { joining, alive, left };  // what a member says of itself

// A member's own word of itself. Nobody else makes one; others pass it on as it is.
struct MemberRecord {
    std::string name, address;           // IPv4 address and port of datagrams and exchanges alike
    std::string zone, software_version;  // the school, and the program's version
    Incarnation incarnation;
    std::uint64_t instance_id = 0;  // drawn at a start: tells two processes apart that use one name
    Phase phase = Phase::joining;
    bool operator==(const MemberRecord&) const = default;
};

// One member's voice that it can't reach another one, or (`on` false) that it can again. Voices are never
// merged: a death counts by how many different members say so.
struct Suspicion {
    std::string suspector, subject;
    std::uint64_t suspector_start = 0;
    Incarnation incarnation;   // of the word that is doubted
    std::uint64_t number = 0;  // grows with each doubt of `by` about `about`
    bool active = true;
    bool operator==(const Suspicion&) const = default;
};

enum class MessageKind : std::uint8_t {
    ping = 1,  // answer with `ack` and the same number
    ack = 2,
    ping_request = 3,  // probe `about` for me; answer with `ack` or, in time, `nack`, and the same number
    nack = 4,          // `about` did not answer me either
    gossip = 5         // words and doubts alone
};

struct Datagram {
    MessageKind kind = MessageKind::gossip;
    std::string from = {}, to = {};
    std::uint64_t number = 0;
    std::string subject = {};                // ask, and the ack or nack that answers one
    std::vector<MemberRecord> records = {};  // the first is the sender's own
    std::vector<Suspicion> suspicions = {};
};

// All that a member knows, for an exchange of whole states. Members listed are alive or doubted; the dead are
// listed with the doubts of those who said so.
struct FullState {
    std::string from;
    std::vector<MemberRecord> records;  // the first is the sender's own
    std::vector<Suspicion> suspicions;
};

// Least urgent last: where the cap on bytes binds, that goes first.
enum class SendPriority : std::uint8_t { ping, indirect, gossip, state_exchange };

struct OutgoingDatagram {
    std::string address;
    Datagram datagram;
    SendPriority priority = SendPriority::ping;
};

// Datagrams stay under what every path carries in one piece (1,280 bytes less headers), with room for the
// frame round them.
constexpr std::size_t kMaxDatagramBytes = 1'200;
constexpr std::size_t kFrameRoom = 110;
// Names and addresses off the wire are no longer than this, so that the sums above hold.
constexpr std::size_t kMaxNameLength = 64;

// Upper bounds of what one takes on the wire, in bytes.
inline std::size_t max_encoded_size(const MemberRecord& word) {
    return 40 + word.name.size() + word.address.size() + word.zone.size() + word.software_version.size();
}
inline std::size_t max_encoded_size(const Suspicion& doubt) {
    return 45 + doubt.suspector.size() + doubt.subject.size();
}

}  // namespace sumackeel::cluster
