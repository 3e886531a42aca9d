// The envelope of a handover text: a header line with the version, the content, and a checksum as the last
// line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sumackeel::admin {

// Wraps `lines`, each of which must end with a line feed, in the envelope for `version`.
std::string add_envelope(int version, std::string_view lines);

struct EnvelopeContent {
    std::vector<std::string_view> lines;  // without header and checksum; views into the text
    std::string error;                    // empty: the text is valid
};
// Verifies a text of `version` with at most `max_size` bytes and returns its content.
EnvelopeContent remove_envelope(std::string_view text, int version, std::size_t max_size);

}  // namespace sumackeel::admin
