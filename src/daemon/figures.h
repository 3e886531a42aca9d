// The counters that GET /ops/stats shows: connections by state, why they ended, what requests came to.
#pragma once

#include <vector>

#include "core/core.h"
#include "front_platform/front.h"
#include "front_signed/front.h"
#include "ops/calls.h"

namespace sumackeel::daemon {

// `signed_front` may be null.
std::vector<ops::Counter> counters_of(const core::Core& core, const front_platform::Front& front,
                                      const front_signed::Front* signed_front);

}  // namespace sumackeel::daemon
