// `sumackeel rollout`: who is out and why, leaves asked for at one proxy, and plans rehearsed.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

struct RolloutFlags {
    bool force = false, json = false;  // force: also where the rules say no, on record
    double change_s = 30;              // simulate: from a turn to serving again
    double requests_per_s = 50;        // simulate: of each proxy
};

// Words: show (the default), explain MEMBER, simulate PLAN, down ID, up ID, drain, undrain. False: the proxy
// said no, or the plan did not end as done. Throws ConfigError where it can't be asked.
bool rollout_command(const std::string& address, const std::vector<std::string>& words,
                     const RolloutFlags& flags);

}  // namespace sumackeel::cli
