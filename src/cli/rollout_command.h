// `sumackeel rollout`: shows which members are out and why, requests leaves, and simulates plans.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

struct RolloutFlags {
    bool force = false, json = false;  // force: overrides the rules, recorded
    double change_s = 30;              // simulate: time from a turn to serving again
    double requests_per_s = 50;        // simulate: per proxy
};

// Arguments: show (the default), explain MEMBER, simulate PLAN, down ID, up ID, drain, undrain. Returns false
// if the proxy refuses or the simulated plan does not reach `done`. Throws ConfigError if the call fails.
bool rollout_command(const std::string& address, const std::vector<std::string>& arguments,
                     const RolloutFlags& flags);

}  // namespace sumackeel::cli
