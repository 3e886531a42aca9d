// `sumackeel rollout`: who is out and why, and leaves asked for at one proxy.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Words: show (the default), down ID, up ID, drain, undrain. `force`: also where the rules say no, on record.
// False: the proxy said no. Throws ConfigError where it can't be asked.
bool rollout_command(const std::string& address, const std::vector<std::string>& words, bool force,
                     bool json);

}  // namespace sumackeel::cli
