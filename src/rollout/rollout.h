// Umbrella header for the replicated state of the rollout module: drain leases, the disruption budget, staged
// releases and the command codec. The leader's observation of a release is in release_watch.h, the simulation
// in release_simulation.h.
#pragma once

#include "rollout/codec.h"    // IWYU pragma: export
#include "rollout/lease.h"    // IWYU pragma: export
#include "rollout/release.h"  // IWYU pragma: export
#include "rollout/state.h"    // IWYU pragma: export
