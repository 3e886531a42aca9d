// `sumackeel expect`: routing expectations checked without traffic. Reads files, runs worlds on all cores,
// prints.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "expect/judge.h"

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

expect::Fleet load_fleet(const FleetFrom& from);

// All worlds of a suite on `threads` threads; the sums do not depend on how many, nor on their order. `done`
// is called from this thread now and then with the number of worlds run; false: stop there.
struct SuiteRun {
    std::vector<expect::World> worlds;
    std::vector<expect::Tally> tallies;  // by expectation
    std::uint64_t decisions = 0, requests = 0;
    std::size_t worlds_run = 0;
};
SuiteRun run_suite(const expect::Fleet& fleet, const expect::Suite& suite, int threads,
                   const std::function<bool(std::size_t run, std::size_t of)>& done);

}  // namespace sumackeel::cli
