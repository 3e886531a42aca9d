// The error type of this module.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace sumackeel::consensus {

enum class ConsensusErrorCode : std::uint8_t {
    malformed_message,   // bytes from another member that can't be decoded
    unreadable_history,  // the file with the log's history can't be read
    log_not_opened,      // the log's directory or the voter's address can't be used
};

// The text is for operators; the code is for callers.
class ConsensusError : public std::runtime_error {
  public:
    ConsensusError(ConsensusErrorCode code, const std::string& text)
        : std::runtime_error(text), code_(code) {}
    ConsensusErrorCode code() const { return code_; }

  private:
    ConsensusErrorCode code_;
};

}  // namespace sumackeel::consensus
