// Scenarios: the faults of a fleet while one proxy of one zone handles requests, as a list of events. The
// enumeration is deterministic: the same fleet, settings and seed give the same scenarios.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "expectations/parser.h"

namespace sumackeel::expectations {

enum class FaultKind {
    drain,        // announced at `at`; still responds
    dies,         // refuses connections from `at` on; the list removes it 2 s later
    vanishes,     // unresponsive from `at` on; the list removes it 2 s later
    back_cold,    // responds again from `at` on, empty and cold, which is announced at once
    fails_fills,  // as a source: rejects fills
    full,         // responds as overloaded
    stale_report  // reports an outdated load: overloaded, though it is idle
};
const char* name_of(FaultKind fault);
std::optional<FaultKind> fault_named(const std::string& name);

struct FaultEvent {
    Micros at = 0;  // since the scenario's start
    FaultKind fault = FaultKind::drain;
    int member = -1;

    bool operator==(const FaultEvent&) const = default;
};

struct SimulatedRequest {
    Micros at = 0;  // since the scenario's start
    int number = 0;
    int class_index = 0;
    int object = 0;
    int part = 0;
    double size_kb = 0;

    bool operator==(const SimulatedRequest&) const = default;
};
// The name in requests to the proxy; group_of gives its purge group, one of 256.
std::string object_name(int object);
int group_of(int object);

struct Scenario {
    int number = 0;
    std::string title;       // "all up", "s-1 dies", …
    int zone = 0;            // zone of the proxy
    std::uint64_t seed = 0;  // for the router and the traffic
    std::vector<FaultEvent> faults;
};

std::vector<Scenario> enumerate(const FleetModel& fleet, const Suite& suite);
// The requests of a scenario, ordered by time.
std::vector<SimulatedRequest> traffic_of(const Scenario& scenario, const FleetModel& fleet,
                                         const Traffic& traffic);

}  // namespace sumackeel::expectations
