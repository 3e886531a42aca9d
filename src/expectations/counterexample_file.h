// A counterexample as a file that stands alone: the fleet, its settings, the expectation, the world and the
// requests. JSON, version 1; docs/operating/expectations.md lists its keys.
#pragma once

#include <string>

#include "expectations/evaluator.h"

namespace sumackeel::expectations {

struct Case {
    FleetModel fleet;
    Suite suite;  // the one expectation
    Scenario world;
    std::vector<SimulatedRequest> asks;
};

std::string write_case(const FleetModel& fleet, const Expectation& expectation,
                       const Counterexample& example);
// Throws config::ConfigError, naming `file`, on anything that can't be such a file.
Case read_case(const std::string& text, const std::string& file);

}  // namespace sumackeel::expectations
