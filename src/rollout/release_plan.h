// The plan of a staged release: which members change to which version, in which waves, and the thresholds of
// the gate after each wave. Parsed from a TOML file written by an operator.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace sumackeel::rollout {

using base::Micros;

constexpr std::size_t kMaxReleaseMembers = 4'096;

// How much worse the changed members may perform than the unchanged ones. Increases are absolute differences
// between shares of all requests; ratios are factors.
struct GateThresholds {
    Micros in_time = 1'024'000;  // latency limit of a response in time; rounded up to a power of two ms
    double max_late_increase = 0.02;
    double max_failure_increase = 0.01;
    double max_rejection_increase = 0.02;
    double max_dispatch_time_ratio = 2;
    double max_memory_ratio = 1.5;
    std::uint64_t min_requests = 200;  // required in each group for the gate to pass
    bool operator==(const GateThresholds&) const = default;
};

struct Plan {
    std::string name;
    std::string subject = "program";   // program, settings or fleet; shown to operators only
    std::string from;                  // the version before the release, as reported by members
    std::string to;                    // the version after the release
    std::vector<std::string> members;  // in the order of the change
    std::vector<std::size_t> waves;    // number of members in each wave; the sum is the number of all members
    Micros soak = 60'000'000;          // how long a changed wave is observed
    Micros wave_timeout = 900'000'000;  // time limit for one wave to change
    GateThresholds gate;

    // The number of members in all waves up to and including `wave`, counted from 0.
    std::size_t members_through(std::size_t wave) const;
    bool operator==(const Plan&) const = default;
};

// Parses a plan. `file` is the file name used in errors; `all` lists all proxies and is used for a plan
// without a member list. Throws config::ConfigError with line and column.
Plan parse_plan(const std::string& text, const std::string& file, const std::vector<std::string>& all);

}  // namespace sumackeel::rollout
