// A counterexample as a self-contained file: the fleet, its settings, the expectation, the scenario and the
// requests. JSON, version 1; docs/operating/expectations.md lists its keys.
#pragma once

#include <string>

#include "expectations/evaluator.h"

namespace sumackeel::expectations {

struct Case {
    FleetModel fleet;
    Suite suite;  // with the one violated expectation
    Scenario world;
    std::vector<SimulatedRequest> asks;
};

std::string write_case(const FleetModel& fleet, const Expectation& expectation,
                       const Counterexample& example);
// Throws config::ConfigError, with the name `file`, if the text is no valid counterexample file.
Case read_case(const std::string& text, const std::string& file);

}  // namespace sumackeel::expectations
