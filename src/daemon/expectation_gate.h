// Runs expectation suites on several threads, and checks a configuration against one before it is applied.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "config/operator.h"
#include "expectations/evaluator.h"

namespace sumackeel::daemon {

// The results of all fault scenarios of a suite. They depend neither on the number of threads nor on the
// order in which the threads run the scenarios.
struct SuiteRun {
    std::vector<expectations::Scenario> worlds;
    std::vector<expectations::Counts> tallies;  // by expectation
    std::uint64_t decisions = 0, requests = 0;
    std::size_t worlds_run = 0;
};
// `threads` 0: one per core. `should_continue` is called from this thread several times a second with the
// number of scenarios run; if it returns false, no further scenario is started.
SuiteRun run_suite(const expectations::FleetModel& fleet, const expectations::Suite& suite, int threads,
                   const std::function<bool(std::size_t run, std::size_t of)>& should_continue);

// The settings of a platform configuration as text, and the fleet model of its settings and endpoint list.
// Both throw config::ConfigError.
std::string settings_of_config(const std::string& config_file);
expectations::FleetModel fleet_of_config(const std::string& config_file);
// The fleet model of a configuration's text; `config_file`: where it was read, for error messages.
expectations::FleetModel fleet_of_text(const std::string& text, const std::string& config_file);
// Reads an expectation file. Throws config::Complaints with all errors.
expectations::Suite load_suite(const std::string& file, const expectations::FleetModel& fleet);

struct GateVerdict {
    std::vector<std::string> broken;  // a line for each broken expectation
    std::size_t worlds_run = 0, worlds = 0;
};
// Checks the configuration's endpoint list against the expectation file within the time budget. Throws
// config::ConfigError if the file can't be read or the configuration has no list to check. `stop` ends the
// check early.
GateVerdict check_expectations(const expectations::FleetModel& fleet, const config::Expectations& setup,
                               int threads, const std::atomic<bool>& stop);
// Logs the verdict. Returns true if no expectation is broken.
bool log_verdict(const GateVerdict& verdict, const config::Expectations& setup);

}  // namespace sumackeel::daemon
