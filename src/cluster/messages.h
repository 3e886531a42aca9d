// Messages between members of the cluster, as values. src/cluster_transport/message_codec.h encodes them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sumackeel::cluster {

using base::Micros;

// Orders the records of a member by age. `start` is the start number of the process, stored on its disk and
// never used twice; `refutations` grows with each newer record of one process.
struct Incarnation {
    std::uint64_t start = 0;
    std::uint64_t refutations = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted operator
    auto operator<=>(const Incarnation&) const = default;
};

// Far beyond what any member reaches. Refuting a larger, forged number could bring the member's own number to
// where it can't be increased any more.
constexpr std::uint64_t kMaxStart = 1ULL << 62;
constexpr std::uint64_t kMaxRefutations = 1ULL << 62;
inline bool is_valid(const Incarnation& incarnation) {
    return incarnation.start <= kMaxStart && incarnation.refutations <= kMaxRefutations;
}

enum class Phase : std::uint8_t { joining, alive, left };  // as the member itself reports

// A member's description of itself. Only that member creates it; others forward it unchanged.
struct MemberRecord {
    std::string name;
    std::string address;  // IPv4 address and port, for datagrams and streams
    std::string zone;
    std::string software_version;  // of the program
    Incarnation incarnation;
    std::uint64_t instance_id = 0;  // random at each start: distinguishes two processes with the same name
    Phase phase = Phase::joining;
    bool operator==(const MemberRecord&) const = default;
};

// One member's claim that it can't reach another, or (`active` false) that it can again. Suspicions of
// different suspectors are never merged, because declaring a death takes several of them.
struct Suspicion {
    std::string suspector;
    std::string subject;
    std::uint64_t suspector_start = 0;
    Incarnation incarnation;   // of the subject's record
    std::uint64_t number = 0;  // grows with each suspicion of this suspector
    bool active = true;
    bool operator==(const Suspicion&) const = default;
};

enum class MessageKind : std::uint8_t {
    ping = 1,  // answered by `ack` with the same number
    ack = 2,
    ping_request = 3,  // ping `subject` for the sender; answered by `ack` or, before its timeout, `nack`
    nack = 4,          // `subject` did not respond to the relay either
    gossip = 5         // records and suspicions alone
};

struct Datagram {
    MessageKind kind = MessageKind::gossip;
    std::string from = {};
    std::string to = {};
    std::uint64_t number = 0;
    std::string subject = {};                // of a ping request, and of the ack or nack that answers one
    std::vector<MemberRecord> records = {};  // the first is the sender's own
    std::vector<Suspicion> suspicions = {};
};

// All that a member knows, for a state exchange. A dead member is listed with the suspicions that led to its
// death.
struct FullState {
    std::string from;
    std::vector<MemberRecord> records;  // the first is the sender's own
    std::vector<Suspicion> suspicions;
};

// Highest priority first: under the rate limit the last is dropped first.
enum class SendPriority : std::uint8_t { ping, indirect, gossip, state_exchange };

struct OutgoingDatagram {
    std::string address;
    Datagram datagram;
    SendPriority priority = SendPriority::ping;
};

// Datagrams stay below the minimum IPv6 MTU (1,280 bytes less headers), so that no path fragments them, with
// space for the frame around them.
constexpr std::size_t kMaxDatagramBytes = 1'200;
constexpr std::size_t kMaxFrameOverheadBytes = 110;
// Names and addresses from the wire are no longer than this, so that the bounds below hold.
constexpr std::size_t kMaxNameLength = 64;

// Upper bounds of the encoded size, in bytes.
inline std::size_t max_encoded_size(const MemberRecord& record) {
    return 40 + record.name.size() + record.address.size() + record.zone.size() +
           record.software_version.size();
}
inline std::size_t max_encoded_size(const Suspicion& suspicion) {
    return 45 + suspicion.suspector.size() + suspicion.subject.size();
}

}  // namespace sumackeel::cluster
