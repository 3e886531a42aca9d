// The gate after each wave of a release. It fails if the changed members perform worse than the unchanged
// ones by more than the plan allows and by a statistically significant difference. Pure functions.
#pragma once

#include <cstdint>
#include <string>

#include "rollout/member_metrics.h"
#include "rollout/release_plan.h"

namespace sumackeel::rollout {

enum class GateOutcome : std::uint8_t { undecided, passed, failed };

struct GateResult {
    GateOutcome outcome = GateOutcome::undecided;
    std::string reason;  // set if the gate failed
};

// Compares metrics collected over the same period. The gate may fail at any time; it passes only once the
// soak is complete and both groups have served GateThresholds::min_requests.
GateResult evaluate_gate(const MetricsSum& changed, const MetricsSum& unchanged,
                         const GateThresholds& thresholds, bool soak_complete);

}  // namespace sumackeel::rollout
