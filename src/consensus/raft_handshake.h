// The handshake between two voters, which precedes the Raft messages on a connection. The listening side
// sends a greeting: a nonce and the history of its log. The connecting side replies with a hello: its id, its
// address and its history. Each ends with a MAC by the cluster's key; the MAC of the hello also covers the
// nonce.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster_transport/message_codec.h"

namespace sumackeel::consensus {

constexpr std::size_t kNonceBytes = 16, kMacBytes = 16, kNumberBytes = 8;
constexpr std::size_t kHelloAddressBytes = 64;  // zero-padded; the last byte is always zero
constexpr std::size_t kGreetingBytes = kNonceBytes + kNumberBytes + kMacBytes;
constexpr std::size_t kHelloBytes = kNumberBytes + kHelloAddressBytes + kNumberBytes + kMacBytes;

using Greeting = std::array<char, kGreetingBytes>;
using HelloBytes = std::array<char, kHelloBytes>;

struct Hello {
    std::uint64_t id = 0;
    std::string address;  // truncated to kHelloAddressBytes - 1 bytes
    std::uint64_t history = 0;
};

// Expects the nonce at the start of `greeting` and fills in the rest.
void encode_greeting(const cluster_transport::MessageCodec& codec, std::uint64_t history, Greeting& greeting);
bool verify_greeting(const cluster_transport::MessageCodec& codec, const Greeting& greeting);
std::uint64_t history_of(const Greeting& greeting);

HelloBytes encode_hello(const cluster_transport::MessageCodec& codec, const Greeting& greeting,
                        const Hello& hello);
bool verify_hello(const cluster_transport::MessageCodec& codec, const Greeting& greeting,
                  const HelloBytes& bytes);
Hello decode_hello(const HelloBytes& bytes);

}  // namespace sumackeel::consensus
