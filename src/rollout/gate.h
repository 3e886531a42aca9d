// The gate after each wave of a release: whether the changed members are worse than the unchanged ones by
// more than the plan allows and chance explains. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "rollout/member_metrics.h"
#include "rollout/release_plan.h"

namespace sumackeel::rollout {

enum class GateOutcome : std::uint8_t { undecided, passed, failed };

struct GateResult {
    GateOutcome outcome = GateOutcome::undecided;
    std::string reason;  // of a failure
};

// Compares sums over the same span of time. A gate may fail at any time, and passes only once the soak is
// complete and both sides have GateThresholds::min_requests.
GateResult evaluate_gate(const MetricsSum& changed, const MetricsSum& unchanged,
                         const GateThresholds& thresholds, bool soak_complete);

}  // namespace sumackeel::rollout
