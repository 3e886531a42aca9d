// `sumackeel expect`: routing expectations checked without traffic. Reads files, runs worlds on all cores,
// prints.
#pragma once

#include <string>
#include <vector>

#include "expectations/evaluator.h"

namespace sumackeel::cli {

// Where a fleet comes from: the platform's configuration gives the settings and, unless another is named, the
// list.
struct FleetFrom {
    std::string config;
    std::string list;     // a saved list, or its folder
    std::string changes;  // the change log's events, one JSON object a line
    std::string fleet;    // a description in TOML
};

struct ExpectFlags {
    std::string file;      // of expectations; replay: of a counterexample
    FleetFrom from, with;  // with: diff's new fleet
    std::string name;      // explain: of an expectation
    std::string junit;     // run: a report for CI is written here
    std::string cases;     // run: counterexamples are written into this folder
    int threads = 0;       // 0: as many as there are cores
    bool json = false;
    bool quiet = false;  // no progress
};

// Status 0: holds; 1: broken, or diff found changes; 2: can't be checked.
int expect_run(const ExpectFlags& flags);
int expect_list(const ExpectFlags& flags);
int expect_explain(const ExpectFlags& flags);
int expect_replay(const ExpectFlags& flags);
int expect_diff(const ExpectFlags& flags);

expectations::FleetModel load_fleet(const FleetFrom& from);

}  // namespace sumackeel::cli
