// All of the rollout module's replicated state: drain leases and the disruption budget, staged releases, and
// the encoded form of their commands. The release's observation by the leader is in release_watch.h, its
// simulation in release_simulation.h.
#pragma once

#include "rollout/codec.h"    // IWYU pragma: export
#include "rollout/lease.h"    // IWYU pragma: export
#include "rollout/release.h"  // IWYU pragma: export
#include "rollout/state.h"    // IWYU pragma: export
