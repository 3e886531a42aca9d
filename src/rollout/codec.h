// MessagePack encoding of rollout commands, command results and member reports. Each command starts with a
// format version. The bytes are stored in the replicated log and exchanged between proxies of different
// versions, so new fields may only be appended to an array.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rollout/state.h"

namespace sumackeel::rollout {

// Thrown by all decoding functions of this module when the bytes cannot be decoded.
class CodecError : public std::runtime_error {
  public:
    enum class Code : std::uint8_t {
        malformed,            // not MessagePack, a missing or mistyped field, or a size limit exceeded
        unsupported_version,  // written by a newer version
        unknown_command,
        inconsistent,  // well formed, but the values contradict each other
    };
    explicit CodecError(Code code) : std::runtime_error("bytes that can't be read"), code_(code) {}
    Code code() const { return code_; }

  private:
    Code code_;
};

std::string encode(const LeaseRequest& request);
std::string encode(const LeaseReturn& lease_return);
std::string encode(const ReleaseCommand& command);
std::string encode(const ReleaseStep& step);
// Decodes any of the commands above and applies it. Throws CodecError, leaving the state unchanged.
CommandResult apply(State& state, std::string_view command);
// Throws CodecError, also if the bytes hold another type of command.
ReleaseCommand decode_release_command(std::string_view command);

std::string encode(const CommandResult& result);
CommandResult decode_result(std::string_view bytes);  // throws CodecError

std::string encode(const MemberReport& report);
MemberReport decode_member_report(std::string_view bytes);  // throws CodecError

}  // namespace sumackeel::rollout
