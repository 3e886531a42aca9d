// The number of a member's start, kept on its disk: a process that restarts under its name has a later
// incarnation at once, whatever the clocks say.
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
    // Makes the folder if it is missing.
    explicit StartNumber(std::string folder) : folder_(std::move(folder)) {}

    // The number of the last start; 0: none is stored. `fault` says why where a file can't be used: a damaged
    // one is renamed, and the number is learned from the other members.
    std::uint64_t read(std::string& fault) const;
    // Synced to disk before it returns. Empty: done; else what went wrong.
    std::string write(std::uint64_t number) const;

    // Stores `number` unless a greater one is. Empty: done; else what went wrong, or that another process of
    // this member is at the file.
    std::string raise_to(std::uint64_t number) const;
    // Two processes of one member may read and write at one moment: only whoever holds this.
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

// The number of this start: one more than the stored one, and stored before it returns; no two starts get the
// same. Blocks for a bounded time; throws StartNumberError.
std::uint64_t claim_start_number(const StartNumber& stored);

}  // namespace sumackeel::cluster_transport
