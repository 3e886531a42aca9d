// Worlds: what goes wrong with a fleet while one proxy of one school is asked, as a list of events. Which
// worlds are tried is enumerated here, the same for the same fleet, settings and seed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "expectations/parser.h"

namespace sumackeel::expectations {

enum class FaultKind {
    drain,        // told at `at`; it goes on answering
    dies,         // from `at` on connections are refused; told gone 2 s later
    vanishes,     // from `at` on it says nothing; told gone 2 s later
    back_cold,    // from `at` on it answers again, empty and at its coldest, and is told so at once
    fails_fills,  // as a source: refuses what it is asked for fills
    full,         // answers 'full'
    stale_report  // reports a load that is long over: full, though it is idle
};
const char* name_of(FaultKind trouble);
std::optional<FaultKind> fault_named(const std::string& name);

struct FaultEvent {
    Micros at = 0;  // from the world's start
    FaultKind fault = FaultKind::drain;
    int member = -1;

    bool operator==(const FaultEvent&) const = default;
};

struct SimulatedRequest {
    Micros at = 0;  // from the world's start
    int number = 0;
    int class_index = 0;
    int object = 0;
    int part = 0;
    double size_kb = 0;

    bool operator==(const SimulatedRequest&) const = default;
};
// As the proxy is asked for it; `group` is its group of 256.
std::string object_name(int object);
int group_of(int object);

struct Scenario {
    int number = 0;
    std::string title;       // "all up", "s-1 dies", …
    int zone = 0;            // zone of the proxy
    std::uint64_t seed = 0;  // of the router and the traffic
    std::vector<FaultEvent> faults;
};

std::vector<Scenario> enumerate(const FleetModel& fleet, const Suite& suite);
// The requests of a world, in order of time.
std::vector<SimulatedRequest> traffic_of(const Scenario& world, const FleetModel& fleet,
                                         const Traffic& traffic);

}  // namespace sumackeel::expectations
