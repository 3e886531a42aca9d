// The handshake of two voters, before the first byte of the log. Who
// listens sends a greeting: a nonce and the history of its log. Who connects replies with a hello: its id,
// its address and its history. Each ends with a code by the cluster's key; that of the hello covers the
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
constexpr std::size_t kHelloAddressBytes = 64;  // padded with zeros, the last byte among them
constexpr std::size_t kGreetingBytes = kNonceBytes + kNumberBytes + kMacBytes;
constexpr std::size_t kHelloBytes = kNumberBytes + kHelloAddressBytes + kNumberBytes + kMacBytes;

using Greeting = std::array<char, kGreetingBytes>;
using HelloBytes = std::array<char, kHelloBytes>;

struct Hello {
    std::uint64_t id = 0;
    std::string address;  // longer ones are cut
    std::uint64_t history = 0;
};

// `greeting` has its nonce already.
void encode_greeting(const cluster_transport::MessageCodec& codec, std::uint64_t history, Greeting& greeting);
bool verify_greeting(const cluster_transport::MessageCodec& codec, const Greeting& greeting);
std::uint64_t history_of(const Greeting& greeting);

HelloBytes encode_hello(const cluster_transport::MessageCodec& codec, const Greeting& greeting,
                        const Hello& hello);
bool verify_hello(const cluster_transport::MessageCodec& codec, const Greeting& greeting,
                  const HelloBytes& bytes);
Hello decode_hello(const HelloBytes& bytes);

}  // namespace sumackeel::consensus
