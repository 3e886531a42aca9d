// Judges expectations on what a run decides, adds up runs, and finds the smallest counterexample.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "expectations/simulation.h"

namespace sumackeel::expectations {

// One decision, or one request's end, that an expectation does not allow.
struct Violation {
    int world = -1;
    Micros at = 0;
    int request = 0;
    std::string what;  // in words
};

// Of one expectation, over any number of runs.
struct Counts {
    std::uint64_t applied = 0;       // decisions or requests that it was about
    std::uint64_t counted = 0;       // of those, the ones that shares count
    std::uint64_t broken = 0;        // of rules that allow none
    std::optional<Violation> first;  // in the lowest world, the earliest there

    void add(const Counts& other);
    bool operator==(const Counts& other) const {
        return applied == other.applied && counted == other.counted && broken == other.broken;
    }
};

// A share with the exact bounds of Clopper and Pearson (1934) at a confidence between 0 and 1.
struct Bounds {
    double share = 0, lower = 0, upper = 1;
};
Bounds bounds_of(std::uint64_t counted, std::uint64_t of, double confidence);

enum class Conclusion { yes, broken, undecided, never_applied };
const char* name_of(Conclusion holds);

struct Evaluation {
    Conclusion holds = Conclusion::never_applied;
    Bounds bounds;  // of rules on shares
    std::string text;
};
// Shares by Clopper and Pearson's exact bounds at the expectation's confidence: broken if the lower bound of
// the share is past the limit, held if the upper one keeps it, else undecided.
Evaluation verdict_of(const Expectation& expectation, const Counts& tally);
bool is_share(Rule rule);

// Watches one run of one world.
class Evaluator : public SimulationObserver {
  public:
    Evaluator(const FleetModel& fleet, const std::vector<Expectation>& expectations, const Scenario& world)
        : fleet_(fleet), expectations_(expectations), world_(world), tallies_(expectations.size()) {
        for (const Expectation& one : expectations) {
            groups_.push_back(one.group.members(fleet));
            has_patterns_ = has_patterns_ || !one.object.empty();
            conditions_.emplace_back();
            for (const Condition& condition : one.conditions)
                conditions_.back().push_back(condition.group.members(fleet));
        }
    }
    void on_decision(const SimulatedRequest& ask, const Decision& decision,
                     const std::vector<NotifiedStateSince>& notified) override;
    void on_request_finished(const SimulatedRequest& ask, const RequestResult& end,
                             const std::vector<NotifiedStateSince>& notified) override;
    const std::vector<Counts>& tallies() const { return tallies_; }
    std::uint64_t decisions() const { return decisions_; }

  private:
    bool conditions_hold(std::size_t place, const std::vector<NotifiedStateSince>& notified) const;
    template <typename Words>
    void allow(std::size_t place, bool allowed, Micros at, int request, const Words& words);
    std::string name(int member) const;

    const FleetModel& fleet_;
    const std::vector<Expectation>& expectations_;
    const Scenario& world_;
    std::vector<std::vector<bool>> groups_;                   // by expectation: the members of its group
    std::vector<std::vector<std::vector<bool>>> conditions_;  // and those of each of its conditions
    std::vector<Counts> tallies_;
    bool has_patterns_ = false;
    std::uint64_t decisions_ = 0;
};

// Of one world: what a run of it comes to. Pure, so that worlds may run on any thread in any order.
struct Outcome {
    std::vector<Counts> tallies;
    std::uint64_t decisions = 0, requests = 0;
};
Outcome run_world(const Scenario& world, const FleetModel& fleet, const Suite& suite);

// A world and requests that break one expectation, as small as could be found: fewest members in trouble,
// then fewest happenings, then fewest requests.
struct Counterexample {
    Scenario world;
    std::vector<SimulatedRequest> asks;
    Violation broken;
    int tried = 0;  // runs that the search took
};
std::optional<Counterexample> shrink(const Scenario& world, const FleetModel& fleet, const Suite& suite,
                                     std::size_t expectation);

}  // namespace sumackeel::expectations
