// How far a voter has acknowledged its log, on disk outside the log. A log that ends before that has lost
// entries that may be committed; one that ends behind it lost at the most a write that was never
// acknowledged.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "consensus/raft_library.h"

namespace sumackeel::consensus {

// The last entry of a log. Ordered as Raft compares logs: of two with the same entry, all before it is the
// same.
struct LogPosition {
    raft_term term = 0;
    raft_index index = 0;  // 0: no entry
    auto operator<=>(const LogPosition&) const = default;
};

struct AcknowledgedPosition {
    std::uint64_t history = 0;  // of the log, see RaftDirectory: positions of two histories don't compare
    LogPosition position;
    bool operator==(const AcknowledgedPosition&) const = default;
};

// The file `acknowledged` of a directory. All calls block on the disk.
class AcknowledgementFile {
  public:
    explicit AcknowledgementFile(std::string directory) : directory_(std::move(directory)) {}

    // All zero where there is none yet. `fault` says why one can't be used, and is empty otherwise.
    AcknowledgedPosition read(std::string& fault) const;
    // Empty once it is on disk, else the error.
    std::string write(const AcknowledgedPosition& acknowledged) const;

  private:
    std::string directory_;
};

}  // namespace sumackeel::consensus
