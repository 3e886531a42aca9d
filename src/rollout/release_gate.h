// Forwarding header for the former path of release_watch.h.
#pragma once

#include "rollout/release_watch.h"  // IWYU pragma: export
