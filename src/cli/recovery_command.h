// `sumackeel recovery`: one proxy's recovery stages and persisted state, and manual intervention.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Arguments: show (the default) and go STAGE call a proxy; verify FOLDER (persisted state) and force FOLDER
// (agreed log) work offline. Exit status 0: success, valid; 1: refused or invalid. Throws ConfigError if the
// call fails.
int recovery_command(const std::string& address, const std::vector<std::string>& arguments, bool json);

}  // namespace sumackeel::cli
