// `sumackeel group`: one proxy's view of its group, read from its admin API.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Arguments: show, watch (repeats every second until interrupted) or leave. Returns false if the proxy
// refuses. Throws ConfigError if the call fails.
bool group_command(const std::string& address, const std::vector<std::string>& arguments, bool json);

}  // namespace sumackeel::cli
