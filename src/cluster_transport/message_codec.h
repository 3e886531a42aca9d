// Wire format between peers: MessagePack within a frame that carries a version and a message authentication
// code (the first 16 bytes of HMAC-SHA-256) with a key shared by all members. docs/design/group.md specifies
// it byte by byte.
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
constexpr std::size_t kMaxDatagramBytes = 1'400;  // above the largest datagram that is sent
constexpr std::size_t kFrameLengthBytes = 4;      // the length prefix of a frame on a stream
constexpr std::size_t kMaxFrameBytes = 4 << 20;   // holds a full state of kMaxMembers members
constexpr std::size_t kMaxClusterNameLength = 40;
constexpr std::size_t kMinKeyBytes = 16;

// The first key signs what is sent, and any of them verifies what is received, so that a key can be rotated
// in two steps.
struct Keys {
    std::vector<std::string> all;
};
// Reads one key per line, each with at least kMinKeyBytes bytes. Throws ConfigError.
Keys load_keys(const std::string& path);

enum class DecodeError { malformed, wrong_protocol, wrong_mac, replayed, oversized };
constexpr int kDecodeErrorCount = 5;
const char* name_of(DecodeError error);

// A datagram with the numbers that identify it among all datagrams of its sender.
struct SequencedDatagram {
    cluster::Datagram datagram;
    std::uint64_t start = 0, sequence = 0;
};

// A step of a state exchange.
enum class ExchangeStep : std::uint8_t { hello = 1, same = 2, state = 3 };
struct ExchangeFrame {
    ExchangeStep step = ExchangeStep::hello;
    std::string to;  // empty: any member at that address, from a member that joins
    std::uint64_t digest = 0;
    cluster::FullState state;  // `from` is always set; the rest only in a `state` step
};

// A request to one member, or its response, each in a frame of its own on a stream.
struct CallFrame {
    std::string from, to;
    std::uint64_t start = 0, sequence = 0;  // of the requester: no request is accepted twice
    bool is_response = false;               // false: a request
    std::string method, body;
};
constexpr std::size_t kMaxCallBytes = 4 << 20;

class MessageCodec {
  public:
    MessageCodec(std::string cluster_name, Keys keys)
        : cluster_name_(std::move(cluster_name)), keys_(std::move(keys)) {}

    std::string encode_datagram(const SequencedDatagram& sequenced) const;
    // The result is prefixed with its length.
    std::string encode_frame(const ExchangeFrame& frame) const;
    // None: `error` says why.
    std::optional<SequencedDatagram> decode_datagram(std::string_view bytes, DecodeError& error) const;
    std::optional<ExchangeFrame> decode_frame(std::string_view bytes,
                                              DecodeError& error) const;  // without the length prefix
    std::string encode_call(const CallFrame& call) const;                 // with the length prefix
    std::optional<CallFrame> decode_call(std::string_view bytes,
                                         DecodeError& error) const;  // without the length prefix
    static bool is_call(std::string_view bytes);                     // checks the header only
    // Computes the MAC with the first key; verifies a MAC with any of the keys.
    std::string mac_of(std::string_view text) const;
    bool verify_mac(std::string_view text, std::string_view mac) const;

  private:
    std::string build_message(std::uint8_t type, std::string_view body) const;
    std::optional<std::string_view> open_message(std::uint8_t type, std::string_view bytes,
                                                 DecodeError& error) const;

    std::string cluster_name_;
    Keys keys_;
};

// Removes the first complete frame from the bytes received on a stream and returns it without its length
// prefix. None: the frame is incomplete, or (`oversized`) too long to be accepted.
std::optional<std::string> take_frame(std::string& buffer, bool& oversized);

// Tracks which sequence numbers of each sender were received: a repeated one, one of an earlier start and one
// too far behind the highest are rejected as replays. Bounded by the number of members.
class ReplayFilter {
  public:
    bool accept(const std::string& from, std::uint64_t start, std::uint64_t sequence);

  private:
    struct Window {
        std::uint64_t start = 0, highest = 0, received_mask = 0,
                      used_at = 0;  // bit i of received_mask: highest - 1 - i was received
    };
    std::map<std::string, Window> windows_;
    std::uint64_t use_count_ = 0;
};

}  // namespace sumackeel::cluster_transport
