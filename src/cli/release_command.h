// `sumackeel release`: plans started, halted, resumed and taken back; and whose turn it is, for an installer.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

struct ReleaseFlags {
    std::string at, member;  // member: of `wait`
    std::vector<std::string> words;
    double timeout_s = 3'600;  // of `wait`
    bool force = false, json = false;
};

// 0: done, or of `wait` it is the member's turn; 1: no; 3: of `wait`, there is nothing to do. Throws
// ConfigError.
int release_command(const ReleaseFlags& flags);

}  // namespace sumackeel::cli
