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

#include "cluster/messages.h"

namespace sumackeel::cluster_transport {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr std::size_t kMaxDatagramBytes = 1'400;  // beyond any that is sent
constexpr std::size_t kMaxFrameBytes = 4 << 20;   // a whole state of kMostMembers fits
constexpr std::size_t kMaxClusterNameLength = 40;
constexpr std::size_t kMinKeyBytes = 16;  // bytes

// The first key codes what is sent, all of them check what comes: so a key is changed in two steps.
struct Keys {
    std::vector<std::string> all;
};
// A key a line, kLeastKey bytes at least. Throws ConfigError.
Keys load_keys(const std::string& path);

enum class DecodeError { malformed, wrong_protocol, wrong_mac, replayed, oversized };
constexpr int kDecodeErrorCount = 5;
const char* name_of(DecodeError bad);

// One datagram with what makes it unlike all others of its sender.
struct SequencedDatagram {
    cluster::Datagram datagram;
    std::uint64_t start = 0, sequence = 0;
};

// A step of an exchange of whole states.
enum class ExchangeStep : std::uint8_t { hello = 1, same = 2, state = 3 };
struct ExchangeFrame {
    ExchangeStep step = ExchangeStep::hello;
    std::string to;  // empty: whoever listens there, from one that joins
    std::uint64_t digest = 0;
    cluster::FullState state;  // `from` always; the rest in a state
};

// A question to one member and its answer, each in a frame of its own on a stream.
struct CallFrame {
    std::string from, to;
    std::uint64_t start = 0, sequence = 0;  // of the one that asks: no question is taken twice
    bool is_response = false;               // else a question
    std::string method, body;
};
constexpr std::size_t kMaxCallBytes = 4 << 20;

class MessageCodec {
  public:
    MessageCodec(std::string group, Keys keys) : group_(std::move(group)), keys_(std::move(keys)) {}

    std::string encode_datagram(const SequencedDatagram& numbered) const;
    // With its length before it.
    std::string encode_frame(const ExchangeFrame& frame) const;
    // None: `bad` says why.
    std::optional<SequencedDatagram> decode_datagram(std::string_view bytes, DecodeError& bad) const;
    std::optional<ExchangeFrame> decode_frame(std::string_view bytes,
                                              DecodeError& bad) const;  // without its length
    std::string encode_call(const CallFrame& call) const;               // with its length before it
    std::optional<CallFrame> decode_call(std::string_view bytes,
                                         DecodeError& bad) const;  // without its length
    static bool is_call(std::string_view bytes);                   // by its head alone
    // The code of something by the first key, and whether a code is one by any of them.
    std::string mac_of(std::string_view text) const;
    bool verify_mac(std::string_view text, std::string_view code) const;

  private:
    std::string sealed(std::uint8_t type, std::string_view body) const;
    std::optional<std::string_view> opened(std::uint8_t type, std::string_view bytes, DecodeError& bad) const;

    std::string group_;
    Keys keys_;
};

// Takes the first whole frame off what has come of a stream, without its length. None: it is not whole yet,
// or
// (`oversized`) it never will be.
std::optional<std::string> take_frame(std::string& in, bool& oversized);

// Which datagrams of each sender have come: a second one, one of an earlier start and one too far behind are
// replayed. Bounded by the number of members.
class ReplayFilter {
  public:
    bool accept(const std::string& from, std::uint64_t start, std::uint64_t sequence);

  private:
    struct Window {
        std::uint64_t start = 0, highest = 0, before = 0,
                      used = 0;  // before: bit i: highest - 1 - i has come
    };
    std::map<std::string, Window> windows_;
    std::uint64_t uses_ = 0;
};

}  // namespace sumackeel::cluster_transport
