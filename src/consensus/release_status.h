// The status of releases as JSON, for the admin API.
#pragma once

#include <string>
#include <vector>

#include "rollout/release_gate.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

struct ReleaseStatus {
    const rollout::State& state;
    std::string leader;                            // empty if none is known
    bool known = false;                            // see StateView::is_known()
    const rollout::ReleaseWatch* watch = nullptr;  // set on the leader only
    std::vector<rollout::MemberStatus> members;
};

// Returns a single line.
std::string release_status_json(const ReleaseStatus& status);

}  // namespace sumackeel::consensus
