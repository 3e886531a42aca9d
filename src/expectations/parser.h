// Parser of the expectations that operators write in TOML:
//
//     [[expect]]
//     name = "inland video stays inland"
//     reason = "the coast's links are full in recital weeks"
//     class = ["video"]
//     school = ["school-7"]
//     never_fills_from = { hub = "coast" }
//     while = { hub = "hinterland", some = "up" }
//
// Each has one name and one rule. `class`, `school`, `object` (a pattern with * and ?) and `group` select the
// requests that it applies to, `while` the conditions. A [traffic] table sets the simulated traffic, a
// [worlds] table the scenarios. docs/operating/expectations.md explains each rule.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/keys.h"
#include "expectations/fleet_model.h"

namespace sumackeel::expectations {

enum class Rule {
    never_fills_from,   // no attempt names one of the group as the source of a fill
    fills_from,         // each fill names one of the group
    only_at,            // each attempt goes to one of the group
    share_at_most,      // share of the attempts that go to the group; with `share` and `confidence`
    share_at_least,     //
    refused_at_most,    // share of the requests that end rejected, failed or unanswered
    fails_over_within,  // ms from a request's first attempt to the first at another target
    attempts_at_most,   // of one request
    never_twice,        // no further attempt after one that may have been executed
    kept_at_rank,       // cache priority of fills
    no_new_work_after   // seconds after the notice of a drain or removal; no attempts to the member or fills
                        // from it
};
const char* name_of(Rule rule);

// The state of a member as the proxy was notified of it.
enum class NotifiedState { up, cold, draining, gone };
const char* name_of(NotifiedState state);

struct Condition {
    MemberSelector group;
    bool all = true;  // false: some
    NotifiedState is = NotifiedState::up;

    bool operator==(const Condition&) const = default;
};

struct Expectation {
    std::string name, reason;
    config::SourceLocation place;
    config::Node source;  // as parsed; written into counterexample files
    Rule rule = Rule::never_twice;
    std::vector<int> classes;  // indices into Site::classes; empty: all
    std::vector<int> zones;    // indices into Site::zones; empty: all
    std::string object;        // pattern; empty: any
    int group_number = -1;     // of the object; -1: any
    MemberSelector group;      // the members that the rule is about
    double limit = 0;          // share, ms, attempts, rank or seconds
    double confidence = 0.99;  // of shares
    std::vector<Condition> conditions;

    bool concerns(int service, int zone, const std::string& asked, int asked_group) const;
    std::string text() const;  // description of the rule
};

// Simulated traffic.
struct Traffic {
    double per_s = 60;  // requests at one proxy
    double seconds = 6;
    int objects = 300;
    double zipf = 0.9;
    std::vector<double> mix;  // weight by class; equal weights by default
    std::vector<double>
        size_kb;  // mean by class; by default a third of the latency objective at full transfer rate
};

// Limits of the enumerated scenarios: up to `most_pairs` pairs of faults are drawn by seed.
struct ScenarioLimits {
    int most_pairs = 60;
    int most = 2000;
    std::uint64_t seed = 1;
};

struct Suite {
    std::vector<Expectation> expectations;
    Traffic traffic;
    ScenarioLimits worlds;
};

// Throws config::ValidationErrors, with file, line and column of each error: values that can't be read, names
// that the fleet does not have, expectations that can never apply, and pairs that contradict each other.
Suite read_suite(const config::Node& root, const std::string& file, const FleetModel& fleet);

// Whether the pattern, such as "a*c?", matches the whole text.
bool matches_pattern(std::string_view pattern, std::string_view text);

}  // namespace sumackeel::expectations
