// The position up to which a voter has acknowledged its log, stored outside the log. A log that ends before
// this position has lost entries that may be committed; one that ends at or after it can only have lost a
// write that was never acknowledged.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "consensus/raft_library.h"

namespace sumackeel::consensus {

// The last entry of a log. Ordered the way Raft compares logs. If two logs share an entry, all entries before
// it are identical too.
struct LogPosition {
    raft_term term = 0;
    raft_index index = 0;  // 0: no entry
    auto operator<=>(const LogPosition&) const = default;
};

struct AcknowledgedPosition {
    std::uint64_t history = 0;  // see RaftDirectory; positions of different histories are not comparable
    LogPosition position;
    bool operator==(const AcknowledgedPosition&) const = default;
};

// The file `acknowledged` in a directory. All calls block on disk I/O.
class AcknowledgementFile {
  public:
    explicit AcknowledgementFile(std::string directory) : directory_(std::move(directory)) {}

    // Returns all zeros if there is no file yet. `fault` is set to the reason if the file is unusable, and is
    // empty otherwise.
    AcknowledgedPosition read(std::string& fault) const;
    // Returns an empty string once the position is on disk, otherwise the error.
    std::string write(const AcknowledgedPosition& acknowledged) const;

  private:
    std::string directory_;
};

}  // namespace sumackeel::consensus
