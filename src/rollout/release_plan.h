// The plan of a staged release: which members change to which version, in which waves, and what the gate
// after each wave demands. Read from the TOML text that an operator writes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace sumackeel::rollout {

using base::Micros;

constexpr std::size_t kMaxReleaseMembers = 4'096;

// How much worse the changed members may be than the unchanged ones. Increases are differences of shares of
// all requests; ratios are factors.
struct GateThresholds {
    Micros in_time = 1'024'000;  // a response within this is in time; rounded up to a power of two ms
    double max_late_increase = 0.02;
    double max_failure_increase = 0.01;
    double max_rejection_increase = 0.02;
    double max_dispatch_time_ratio = 2;
    double max_memory_ratio = 1.5;
    std::uint64_t min_requests = 200;  // that a passed gate needs, on each side
    bool operator==(const GateThresholds&) const = default;
};

struct Plan {
    std::string name;
    std::string subject = "program";    // program, settings or fleet; for people
    std::string from;                   // the version before, as members report it
    std::string to;                     // the version after
    std::vector<std::string> members;   // in the order in which they change
    std::vector<std::size_t> waves;     // members in each; they add up to all
    Micros soak = 60'000'000;           // how long a changed wave is observed
    Micros wave_timeout = 900'000'000;  // for one wave to change
    GateThresholds gate;

    // The number of members in all waves up to and with this one (from 0).
    std::size_t members_through(std::size_t wave) const;
    bool operator==(const Plan&) const = default;
};

// Reads a plan. `file` names the text in errors; `all` is every proxy there is, for a plan without a list of
// its own. Throws config::ConfigError with line and column.
Plan parse_plan(const std::string& text, const std::string& file, const std::vector<std::string>& all);

}  // namespace sumackeel::rollout
