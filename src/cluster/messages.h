// What members of the cluster send each other, as values. src/cluster_transport/message_codec.h gives them
// their form on the wire.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sumackeel::cluster {

using base::Micros;

// Which of two records of a member is the newer. `start` is the number of the process's start, kept on its
// disk and never used twice; `refutations` grows within one process, with each newer record.
struct Incarnation {
    std::uint64_t start = 0;
    std::uint64_t refutations = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted operator
    auto operator<=>(const Incarnation&) const = default;
};

// No member comes near these. A forged number beyond them could drive another member's to where it can't be
// increased any more.
constexpr std::uint64_t kMaxStart = 1ULL << 62;
constexpr std::uint64_t kMaxRefutations = 1ULL << 62;
inline bool is_valid(const Incarnation& incarnation) {
    return incarnation.start <= kMaxStart && incarnation.refutations <= kMaxRefutations;
}

enum class Phase : std::uint8_t { joining, alive, left };  // what a member says of itself

// What a member says of itself. No other member makes one; others pass it on unchanged.
struct MemberRecord {
    std::string name;
    std::string address;  // IPv4 address and port, of datagrams and streams alike
    std::string zone;
    std::string software_version;  // of the program
    Incarnation incarnation;
    std::uint64_t instance_id = 0;  // drawn at a start: tells two processes apart that use one name
    Phase phase = Phase::joining;
    bool operator==(const MemberRecord&) const = default;
};

// One member's claim that it can't reach another, or (`active` false) that it can again. Suspicions of
// different suspectors are never merged: a death takes several of them.
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
    ping_request = 3,  // ping `subject` for the sender; answered by `ack` or, in time, `nack`
    nack = 4,          // `subject` did not answer the relay either
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

// All that a member knows, for a state exchange. A dead member is listed with the suspicions of those who
// hold it dead.
struct FullState {
    std::string from;
    std::vector<MemberRecord> records;  // the first is the sender's own
    std::vector<Suspicion> suspicions;
};

// Most urgent first: where the rate limit binds, the last is dropped first.
enum class SendPriority : std::uint8_t { ping, indirect, gossip, state_exchange };

struct OutgoingDatagram {
    std::string address;
    Datagram datagram;
    SendPriority priority = SendPriority::ping;
};

// Datagrams stay under what every path carries in one piece (1,280 bytes less headers), with space for the
// frame around them.
constexpr std::size_t kMaxDatagramBytes = 1'200;
constexpr std::size_t kFrameRoom = 110;
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
