// The raft library's log files that hold entries ("segments"), as <raft/uv.h> describes them: a format
// version and then batches of entries, each with two checksums. Open segments are written in place and are
// filled up with zeros.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sumackeel::consensus {

// The number of bytes by which the file is too short for its last batch, as far as that can be told from what
// there is of it; 0: it is complete.
std::size_t missing_bytes(std::string_view segment);

// Appends zeros to each open segment in `directory` that ends within a batch, so that the library (0.15)
// finds a batch with a wrong checksum, as after a torn write: where a file ends so, it frees memory twice. To
// be called before the library loads the log. Returns an empty string, otherwise why a segment can't be
// loaded: a closed one ends within a batch. Blocks on disk I/O.
std::string complete_segments(const std::string& directory);

}  // namespace sumackeel::consensus
