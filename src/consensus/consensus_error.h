// The error type of this module.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace sumackeel::consensus {

enum class ConsensusErrorCode : std::uint8_t {
    malformed_message,   // a message from another member can't be decoded
    unreadable_history,  // the log's history file can't be read
    log_not_opened,      // the log directory or the voter's address is unusable
};

// The text is meant for operators, the code for callers.
class ConsensusError : public std::runtime_error {
  public:
    ConsensusError(ConsensusErrorCode code, const std::string& text)
        : std::runtime_error(text), code_(code) {}
    ConsensusErrorCode code() const { return code_; }

  private:
    ConsensusErrorCode code_;
};

}  // namespace sumackeel::consensus
