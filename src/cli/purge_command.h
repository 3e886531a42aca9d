// `sumackeel purge`: purges that all proxies of a group take, whoever is told.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// object GROUP ID, group NUMBER, status, or wait NUMBER until every member there has it. Returns the exit
// status: 0 done, 1 no majority or not in time.
int purge_command(const std::string& address, const std::vector<std::string>& words, double timeout_s,
                  bool json);

}  // namespace sumackeel::cli
