// `sumackeel purge`: purges applied by all proxies of a group, whichever of them is called.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Arguments: object GROUP ID, group NUMBER, status, or wait NUMBER (until every member has applied it).
// Returns the exit status. 0: success; 1: no majority, or timed out.
int purge_command(const std::string& address, const std::vector<std::string>& arguments, double timeout_s,
                  bool json);

}  // namespace sumackeel::cli
