// A value that decays exponentially over time, used for running means and reported values.
#pragma once

#include <cmath>

#include "routing/router.h"

namespace sumackeel::routing {

// A running mean, or a reported value, as of `at`.
struct DecayedMean {
    double value = 0;
    Micros at = 0;

    // The value at `now` (not before `at`), decayed towards `baseline` with `time_constant` in microseconds.
    double decayed(Micros now, double baseline, double time_constant) const {
        return baseline + (value - baseline) * std::exp(-static_cast<double>(now - at) / time_constant);
    }
};

}  // namespace sumackeel::routing
