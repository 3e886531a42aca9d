// The error type of the daemon module.
#pragma once

#include <stdexcept>
#include <string>

namespace sumackeel::daemon {

enum class DaemonErrorCode {
    signals_unavailable,     // the system gave no descriptors for signal handling
    expectation_run_failed,  // a fault scenario of an expectation suite could not be simulated
    invalid_store_request,   // a request to the store's socket API has a field of the wrong type
};

// Thrown by this module; what() is the text that operators see.
class DaemonError : public std::runtime_error {
  public:
    DaemonError(DaemonErrorCode code, const std::string& text) : std::runtime_error(text), code_(code) {}
    DaemonErrorCode code() const { return code_; }

  private:
    DaemonErrorCode code_;
};

}  // namespace sumackeel::daemon
