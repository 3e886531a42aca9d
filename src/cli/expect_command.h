// `sumackeel expect`: checks routing expectations by simulation, without traffic, on all cores by default.
#pragma once

#include <string>
#include <vector>

#include "expectations/evaluator.h"

namespace sumackeel::cli {

// Source of a fleet: the platform's configuration gives the settings and, unless another source is named, the
// endpoint list.
struct FleetSource {
    std::string config;
    std::string list;     // a saved list or its directory
    std::string changes;  // change log events, one JSON object per line
    std::string fleet;    // a description in TOML
};

struct ExpectFlags {
    std::string file;                // the expectations; replay: a counterexample
    FleetSource source, new_source;  // new_source: the new fleet of diff
    std::string name;                // explain: the expectation's name
    std::string junit;               // run: path of the JUnit report for CI
    std::string cases;               // run: output directory of counterexamples
    int threads = 0;                 // 0: one per core
    bool json = false;
    bool quiet = false;  // no progress
};

// Status 0: holds; 1: broken, or diff found changes; 2: can't be checked.
int expect_run(const ExpectFlags& flags);
int expect_list(const ExpectFlags& flags);
int expect_explain(const ExpectFlags& flags);
int expect_replay(const ExpectFlags& flags);
int expect_diff(const ExpectFlags& flags);

expectations::FleetModel load_fleet(const FleetSource& from);

}  // namespace sumackeel::cli
