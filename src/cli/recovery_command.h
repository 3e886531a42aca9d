// `sumackeel recovery`: the ladder of one proxy, what it kept, and an operator's hand.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Words: show (the default), go STAGE at a proxy; offline verify FOLDER of what is kept, and force FOLDER of
// the agreed log. 0: done, sound; 1: no. Throws ConfigError where it can't be asked.
int recovery_command(const std::string& address, const std::vector<std::string>& words, bool json);

}  // namespace sumackeel::cli
