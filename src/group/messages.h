// What members of the group tell each other, as values. The form on the wire is src/peers/wire.h's.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sumackeel::group {

using base::Micros;

// Which word of a member is the fresher one. `start` is the number of its start, kept on its disk and never
// used twice; `incarnation` grows within one life, whenever the member answers what is said of it.
struct Stamp {
    std::uint64_t start = 0, incarnation = 0;
    auto operator<=>(const Stamp&) const = default;
};

// Numbers beyond these are nobody's: one that is wrong could otherwise drive another's to where it can't be
// gone past.
constexpr std::uint64_t kMostStart = 1ULL << 62, kMostIncarnation = 1ULL << 62;
inline bool sound(const Stamp& stamp) {
    return stamp.start <= kMostStart && stamp.incarnation <= kMostIncarnation;
}

enum class Phase : std::uint8_t { joining, alive, left };  // what a member says of itself

// A member's own word of itself. Nobody else makes one; others pass it on as it is.
struct Word {
    std::string name, address;  // IPv4 address and port of datagrams and exchanges alike
    std::string zone, version;  // the school, and the program's version
    Stamp stamp;
    std::uint64_t life = 0;  // drawn at a start: tells two processes apart that use one name
    Phase phase = Phase::joining;
    bool operator==(const Word&) const = default;
};

// One member's voice that it can't reach another one, or (`on` false) that it can again. Voices are never
// merged: a death counts by how many different members say so.
struct Doubt {
    std::string by, about;
    std::uint64_t by_start = 0;
    Stamp stamp;               // of the word that is doubted
    std::uint64_t number = 0;  // grows with each doubt of `by` about `about`
    bool on = true;
    bool operator==(const Doubt&) const = default;
};

enum class Kind : std::uint8_t {
    probe = 1,  // answer with `ack` and the same number
    ack = 2,
    ask = 3,   // probe `about` for me; answer with `ack` or, in time, `nack`, and the same number
    nack = 4,  // `about` did not answer me either
    tell = 5   // words and doubts alone
};

struct Datagram {
    Kind kind = Kind::tell;
    std::string from = {}, to = {};
    std::uint64_t number = 0;
    std::string about = {};        // ask, and the ack or nack that answers one
    std::vector<Word> words = {};  // the first is the sender's own
    std::vector<Doubt> doubts = {};
};

// All that a member knows, for an exchange of whole states. Members listed are alive or doubted; the dead are
// listed with the doubts of those who said so.
struct Whole {
    std::string from;
    std::vector<Word> words;  // the first is the sender's own
    std::vector<Doubt> doubts;
};

// Least urgent last: where the cap on bytes binds, that goes first.
enum class Urgency : std::uint8_t { probe, indirect, news, exchange };

struct Outgoing {
    std::string address;
    Datagram datagram;
    Urgency urgency = Urgency::probe;
};

// Datagrams stay under what every path carries in one piece (1,280 bytes less headers), with room for the
// frame round them.
constexpr std::size_t kMostDatagram = 1'200;
constexpr std::size_t kFrameRoom = 110;
// Names and addresses off the wire are no longer than this, so that the sums above hold.
constexpr std::size_t kLongestName = 64;

// Upper bounds of what one takes on the wire, in bytes.
inline std::size_t room_of(const Word& word) {
    return 40 + word.name.size() + word.address.size() + word.zone.size() + word.version.size();
}
inline std::size_t room_of(const Doubt& doubt) {
    return 45 + doubt.by.size() + doubt.about.size();
}

}  // namespace sumackeel::group
