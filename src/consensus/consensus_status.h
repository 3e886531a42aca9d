// The status of the replicated log as JSON, for the admin API.
#pragma once

#include <string>

#include "config/operator.h"
#include "consensus/local_voter.h"
#include "consensus/request_processor.h"
#include "consensus/state_view.h"

namespace sumackeel::consensus {

// Returns a single line. `self` is this member's name.
std::string status_json(const std::string& self, const LocalVoter& voter, const StateView& view,
                        const config::Consensus& setup, const FleetView& fleet, base::Micros now);

}  // namespace sumackeel::consensus
