// `sumackeel group`: what one proxy knows of the others, asked at its operators' address.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Words: show, watch (anew each second until ended) or leave. False: the proxy said no. Throws ConfigError
// where it can't be asked.
bool group_command(const std::string& address, const std::vector<std::string>& words, bool json);

}  // namespace sumackeel::cli
