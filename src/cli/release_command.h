// `sumackeel release`: starts, halts, resumes and rolls back releases; tells an installer when it is its
// turn.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

struct ReleaseFlags {
    std::string at, member;  // member: for `wait`
    std::vector<std::string> arguments;
    double timeout_s = 3'600;  // for `wait`
    bool force = false, json = false;
};

// Exit status. 0: success, for `wait` the member's turn; 1: refused or timed out; 3: `wait` has nothing to
// do. Throws ConfigError.
int release_command(const ReleaseFlags& flags);

}  // namespace sumackeel::cli
