// The language of expectations, in the operator's form (TOML):
//
//     [[expect]]
//     name = "inland video stays inland"
//     reason = "the coast's links are full in recital weeks"
//     class = ["video"]
//     school = ["school-7"]
//     never_fills_from = { hub = "coast" }
//     while = { hub = "hinterland", some = "up" }
//
// Each has one name and one rule. `class`, `school`, `object` (a pattern with * and ?) and `group` say which
// requests it is about, `while` under which conditions. A [traffic] table says what is asked for, a [worlds]
// table what is tried. docs/operating/expectations.md explains each rule.
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
    share_at_most,      // of the attempts, the part that goes to the group; with `share` and `confidence`
    share_at_least,     //
    refused_at_most,    // of the requests, the part that ends refused, failed or unanswered
    fails_over_within,  // ms from a request's first attempt to the first at another target
    attempts_at_most,   // of one request
    never_twice,        // no second attempt once one may have run
    kept_at_rank,       // the rank that a fill is kept at
    no_new_work_after   // seconds from being told of a drain or an end; nothing new to it, nor as a source
};
const char* name_of(Rule rule);

// The state of a member as the proxy was told it.
enum class NotifiedState { up, cold, draining, gone };
const char* name_of(NotifiedState state);

struct Condition {
    MemberSelector group;
    bool all = true;  // else: some
    NotifiedState is = NotifiedState::up;

    bool operator==(const Condition&) const = default;
};

struct Expectation {
    std::string name, reason;
    config::SourceLocation place;
    config::Node source;  // as it was read
    Rule rule = Rule::never_twice;
    std::vector<int> classes;  // places in Site::classes; empty: all
    std::vector<int> zones;    // zones; empty: all
    std::string object;        // pattern; empty: any
    int group_number = -1;     // of the object; -1: any
    MemberSelector group;      // what the rule speaks of
    double limit = 0;          // share, ms, attempts, rank or seconds
    double confidence = 0.99;  // of shares
    std::vector<Condition> conditions;

    bool concerns(int service, int zone, const std::string& asked, int asked_group) const;
    std::string text() const;  // the rule in words
};

// What is asked for.
struct Traffic {
    double per_s = 60;  // at one proxy
    double seconds = 6;
    int objects = 300;
    double zipf = 0.9;
    std::vector<double> mix;      // by class; equal parts where nothing is said
    std::vector<double> size_kb;  // mean by class; a third of the aim at top pace where nothing is said
};

// What is tried. Pairs of troubles are drawn by seed where there are more than `most_pairs`.
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

// Complains, with file, line and column, of what can't be read, of names that the fleet does not have, of
// expectations that can never apply and of two that contradict each other. Throws config::Complaints.
Suite read_suite(const config::Node& root, const std::string& file, const FleetModel& fleet);

// "a*c?" against a whole text.
bool matches_pattern(std::string_view pattern, std::string_view text);

}  // namespace sumackeel::expectations
