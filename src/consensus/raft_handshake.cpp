#include "consensus/raft_handshake.h"

#include <cstring>

namespace sumackeel::consensus {

using cluster_transport::MessageCodec;

namespace {

constexpr std::size_t kHistoryOffset = kNumberBytes + kHelloAddressBytes;  // in a hello

// Little endian.
std::string encode_number(std::uint64_t value) {
    std::string bytes;
    for (unsigned shift = 0; shift < 64; shift += 8) bytes += static_cast<char>(value >> shift);
    return bytes;
}

std::uint64_t decode_number(std::string_view bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = kNumberBytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(bytes[i]);
    return value;
}

std::string_view view(const Greeting& greeting) {
    return {greeting.data(), greeting.size()};
}

std::string_view view(const HelloBytes& bytes) {
    return {bytes.data(), bytes.size()};
}

// The bytes covered by the MAC of a hello.
std::string signed_part(const Greeting& greeting, const HelloBytes& bytes) {
    return std::string(view(greeting).substr(0, kNonceBytes))
        .append(view(bytes).substr(0, kHelloBytes - kMacBytes));
}

}  // namespace

void encode_greeting(const MessageCodec& codec, std::uint64_t history, Greeting& greeting) {
    const std::string body = std::string(view(greeting).substr(0, kNonceBytes)) + encode_number(history);
    std::memcpy(greeting.data(), body.data(), body.size());
    std::memcpy(greeting.data() + body.size(), codec.mac_of(body).data(), kMacBytes);
}

bool verify_greeting(const MessageCodec& codec, const Greeting& greeting) {
    constexpr std::size_t kBodyBytes = kGreetingBytes - kMacBytes;
    return codec.verify_mac(view(greeting).substr(0, kBodyBytes), view(greeting).substr(kBodyBytes));
}

std::uint64_t history_of(const Greeting& greeting) {
    return decode_number(view(greeting).substr(kNonceBytes));
}

HelloBytes encode_hello(const MessageCodec& codec, const Greeting& greeting, const Hello& hello) {
    std::string address = hello.address.substr(0, kHelloAddressBytes - 1);
    address.resize(kHelloAddressBytes, 0);
    const std::string body = encode_number(hello.id) + address + encode_number(hello.history);
    HelloBytes bytes{};
    std::memcpy(bytes.data(), body.data(), body.size());
    std::memcpy(bytes.data() + body.size(), codec.mac_of(signed_part(greeting, bytes)).data(), kMacBytes);
    return bytes;
}

bool verify_hello(const MessageCodec& codec, const Greeting& greeting, const HelloBytes& bytes) {
    return codec.verify_mac(signed_part(greeting, bytes), view(bytes).substr(kHelloBytes - kMacBytes));
}

Hello decode_hello(const HelloBytes& bytes) {
    const std::string_view address = view(bytes).substr(kNumberBytes, kHelloAddressBytes - 1);
    return {decode_number(view(bytes)), std::string(address.substr(0, address.find('\0'))),
            decode_number(view(bytes).substr(kHistoryOffset))};
}

}  // namespace sumackeel::consensus
