// A value that fades exponentially with time: the means and reports that the estimates are made of.
#pragma once

#include <cmath>

#include "routing/router.h"

namespace sumackeel::routing {

// A running mean, or a reported value, as of `at`.
struct DecayedMean {
    double value = 0;
    Micros at = 0;

    // The value at `now` (not before `at`), faded into `towards` with the time constant `memory`
    // (microseconds).
    double faded(Micros now, double towards, double memory) const {
        return towards + (value - towards) * std::exp(-static_cast<double>(now - at) / memory);
    }
};

}  // namespace sumackeel::routing
