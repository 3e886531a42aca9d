// What peers say on the wire: MessagePack within a frame that carries a version and a message code
// (HMAC-SHA-256, its first 16 bytes) by a key that all members have. docs/design/group.md has it byte by
// byte.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "group/messages.h"

namespace sumackeel::peers {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kLongestDatagram = 1'400;  // beyond any that is sent
constexpr std::size_t kLongestFrame = 4 << 20;   // a whole state of kMostMembers fits
constexpr std::size_t kLongestGroup = 40;
constexpr std::size_t kLeastKey = 16;  // bytes

// The first key codes what is sent, all of them check what comes: so a key is changed in two steps.
struct Keys {
    std::vector<std::string> all;
};
// A key a line, kLeastKey bytes at least. Throws ConfigError.
Keys load_keys(const std::string& path);

enum class Bad { malformed, foreign, code, replayed, oversized };
constexpr int kBads = 5;
const char* name_of(Bad bad);

// One datagram with what makes it unlike all others of its sender.
struct Numbered {
    group::Datagram datagram;
    std::uint64_t start = 0, sequence = 0;
};

// A step of an exchange of whole states.
enum class Step : std::uint8_t { hello = 1, same = 2, state = 3 };
struct Frame {
    Step step = Step::hello;
    std::string to;  // empty: whoever listens there, from one that joins
    std::uint64_t digest = 0;
    group::Whole whole;  // `from` always; the rest in a state
};

// A question to one member and its answer, each in a frame of its own on a stream.
struct Call {
    std::string from, to;
    std::uint64_t start = 0, sequence = 0;  // of the one that asks: no question is taken twice
    bool answer = false;                    // else a question
    std::string verb, body;
};
constexpr std::size_t kLongestCall = 4 << 20;

class Codec {
  public:
    Codec(std::string group, Keys keys) : group_(std::move(group)), keys_(std::move(keys)) {}

    std::string datagram(const Numbered& numbered) const;
    // With its length before it.
    std::string frame(const Frame& frame) const;
    // None: `bad` says why.
    std::optional<Numbered> read_datagram(std::string_view bytes, Bad& bad) const;
    std::optional<Frame> read_frame(std::string_view bytes, Bad& bad) const;  // without its length
    std::string call(const Call& call) const;                                 // with its length before it
    std::optional<Call> read_call(std::string_view bytes, Bad& bad) const;    // without its length
    static bool is_call(std::string_view bytes);                              // by its head alone
    // The code of something by the first key, and whether a code is one by any of them.
    std::string code(std::string_view text) const;
    bool holds(std::string_view text, std::string_view code) const;

  private:
    std::string sealed(std::uint8_t type, std::string_view body) const;
    std::optional<std::string_view> opened(std::uint8_t type, std::string_view bytes, Bad& bad) const;

    std::string group_;
    Keys keys_;
};

// Takes the first whole frame off what has come of a stream, without its length. None: it is not whole yet,
// or
// (`oversized`) it never will be.
std::optional<std::string> take_frame(std::string& in, bool& oversized);

// Which datagrams of each sender have come: a second one, one of an earlier start and one too far behind are
// replayed. Bounded by the number of members.
class Seen {
  public:
    bool fresh(const std::string& from, std::uint64_t start, std::uint64_t sequence);

  private:
    struct Window {
        std::uint64_t start = 0, highest = 0, before = 0,
                      used = 0;  // before: bit i: highest - 1 - i has come
    };
    std::map<std::string, Window> windows_;
    std::uint64_t uses_ = 0;
};

}  // namespace sumackeel::peers
