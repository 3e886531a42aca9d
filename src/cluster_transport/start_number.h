// The number of a member's start, stored on its disk: a restarted process has a later incarnation than its
// predecessor without relying on clocks.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/files.h"

namespace sumackeel::cluster_transport {

class StartNumber {
  public:
    // Creates the folder if it is missing.
    explicit StartNumber(std::string folder) : folder_(std::move(folder)) {}

    // The number of the last start; 0: none is stored. `fault` says why if the file can't be used: a damaged
    // file is renamed, and the number is then learned from the other members.
    std::uint64_t read(std::string& fault) const;
    // Synced to disk before it returns. Returns an error message, empty on success.
    std::string write(std::uint64_t number) const;

    // Stores `number` unless it or a greater one is stored. Returns an error message, also where another
    // process of this member holds the lock; empty on success.
    std::string raise_to(std::uint64_t number) const;
    // Protects reading and writing against another process of the same member.
    std::unique_ptr<base::DirectoryLock> lock() const;

  private:
    std::string folder_;
};

// Why a start number could not be stored.
class StartNumberError : public std::runtime_error {
  public:
    enum class Code { directory_hangs, write_failed };
    StartNumberError(Code code, const std::string& text) : std::runtime_error(text), code_(code) {}
    Code code() const { return code_; }

  private:
    Code code_;
};

// The number of this start: one more than the stored one, and stored before it returns, so that no two starts
// get the same number. Blocks for a bounded time; throws StartNumberError.
std::uint64_t claim_start_number(const StartNumber& stored);

}  // namespace sumackeel::cluster_transport
