// The outer form of a hand-over text: a first line with its version, lines, and a checksum as the last line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sumackeel::admin {

// The text of `version` with these lines, each of which ends with a line feed.
std::string seal_text(int version, std::string_view lines);

struct UnsealedText {
    std::vector<std::string_view> lines;  // without the first and the last; they refer to the text
    std::string error;                    // empty: the text is sound
};
// Checks a text of `version`, of `max_size` bytes at the most.
UnsealedText unseal_text(std::string_view text, int version, std::size_t max_size);

}  // namespace sumackeel::admin
