// Runs suites of expectations on threads, and keeps a configuration that breaks one from being taken up.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "config/operator.h"
#include "expectations/evaluator.h"

namespace sumackeel::daemon {

// All worlds of a suite. The sums do not depend on the number of threads, nor on the order they come to
// worlds in.
struct SuiteRun {
    std::vector<expectations::Scenario> worlds;
    std::vector<expectations::Counts> tallies;  // by expectation
    std::uint64_t decisions = 0, requests = 0;
    std::size_t worlds_run = 0;
};
// `threads` 0: one a core. `go_on` is called from this thread several times a second with the number of
// worlds run; false: no further world is begun.
SuiteRun run_suite(const expectations::FleetModel& fleet, const expectations::Suite& suite, int threads,
                   const std::function<bool(std::size_t run, std::size_t of)>& go_on);

// The settings of a platform configuration as text; and with the list that stands in it. Throw
// config::ConfigError.
std::string settings_of_config(const std::string& config_file);
expectations::FleetModel fleet_of_config(const std::string& config_file);
// Of the text of a configuration; `config_file`: where it was read, for faults.
expectations::FleetModel fleet_of_text(const std::string& text, const std::string& config_file);
// A file of expectations. Throws config::Complaints with all that is wrong.
expectations::Suite load_suite(const std::string& file, const expectations::FleetModel& fleet);

struct GateVerdict {
    std::vector<std::string> broken;  // a line for each expectation that is
    std::size_t worlds_run = 0, worlds = 0;
};
// Checks the configuration's list against the file of expectations within the budget. Throws
// config::ConfigError where the file can't be read or the configuration has no list to check. `stop` ends it
// early.
GateVerdict check_expectations(const expectations::FleetModel& fleet, const config::Expectations& setup,
                               int threads, const std::atomic<bool>& stop);
// The lines of a verdict go to the log. True: none is broken.
bool log_verdict(const GateVerdict& verdict, const config::Expectations& setup);

}  // namespace sumackeel::daemon
