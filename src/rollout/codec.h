// The encoded form of rollout commands, their results and members' reports: MessagePack, commands with a
// version first. The bytes are stored in the replicated log and sent between proxies of different versions:
// fields are only ever added at the end of an array.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rollout/state.h"

namespace sumackeel::rollout {

// Bytes that can't be decoded. All decoding functions of this module throw it.
class CodecError : public std::runtime_error {
  public:
    enum class Code : std::uint8_t {
        malformed,            // no MessagePack, a field missing or of another type, a bound exceeded
        unsupported_version,  // written by a later version
        unknown_command,
        inconsistent,  // well formed, with values that contradict each other
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
// Decodes any of the above and applies it. Throws CodecError; the state is then unchanged.
CommandResult apply(State& state, std::string_view command);
// Throws CodecError, also on another kind of command.
ReleaseCommand decode_release_command(std::string_view command);

std::string encode(const CommandResult& result);
CommandResult decode_result(std::string_view bytes);  // throws CodecError

std::string encode(const MemberReport& report);
MemberReport decode_member_report(std::string_view bytes);  // throws CodecError

}  // namespace sumackeel::rollout
