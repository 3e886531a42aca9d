// Evaluates expectations on the decisions of a run, aggregates runs, and minimizes counterexamples.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "expectations/simulation.h"

namespace sumackeel::expectations {

// A decision or request result that violates an expectation.
struct Violation {
    int world = -1;
    Micros at = 0;
    int request = 0;
    std::string what;  // description
};

// Counts of one expectation, over any number of runs.
struct Counts {
    std::uint64_t applied = 0;       // decisions or requests that it applied to
    std::uint64_t counted = 0;       // of those, the ones in the numerator of a share
    std::uint64_t broken = 0;        // violations, of rules that allow none
    std::optional<Violation> first;  // the earliest one of the scenario with the lowest number

    void add(const Counts& other);
    bool operator==(const Counts& other) const {
        return applied == other.applied && counted == other.counted && broken == other.broken;
    }
};

// A share with its exact confidence interval by Clopper and Pearson (1934); confidence between 0 and 1.
struct Bounds {
    double share = 0, lower = 0, upper = 1;
};
Bounds bounds_of(std::uint64_t counted, std::uint64_t of, double confidence);

enum class Conclusion { yes, broken, undecided, never_applied };
const char* name_of(Conclusion conclusion);

struct Evaluation {
    Conclusion holds = Conclusion::never_applied;
    Bounds bounds;  // only for rules on shares
    std::string text;
};
// Shares are judged by their confidence interval at the expectation's confidence: broken if the whole
// interval is beyond the limit, held if all of it is within the limit, else undecided.
Evaluation verdict_of(const Expectation& expectation, const Counts& counts);
bool is_share(Rule rule);

// Evaluates one run of one scenario.
class Evaluator : public SimulationObserver {
  public:
    Evaluator(const FleetModel& fleet, const std::vector<Expectation>& expectations, const Scenario& scenario)
        : fleet_(fleet), expectations_(expectations), scenario_(scenario), counts_(expectations.size()) {
        for (const Expectation& expectation : expectations) {
            groups_.push_back(expectation.group.members(fleet));
            has_patterns_ = has_patterns_ || !expectation.object.empty();
            conditions_.emplace_back();
            for (const Condition& condition : expectation.conditions)
                conditions_.back().push_back(condition.group.members(fleet));
        }
    }
    void on_decision(const SimulatedRequest& request, const Decision& decision,
                     const std::vector<NotifiedStateSince>& notified) override;
    void on_request_finished(const SimulatedRequest& request, const RequestResult& result,
                             const std::vector<NotifiedStateSince>& notified) override;
    const std::vector<Counts>& tallies() const { return counts_; }
    std::uint64_t decisions() const { return decisions_; }

  private:
    bool conditions_hold(std::size_t index, const std::vector<NotifiedStateSince>& notified) const;
    template <typename Words>
    void record_check(std::size_t index, bool allowed, Micros at, int request, const Words& describe);
    std::string name(int member) const;

    const FleetModel& fleet_;
    const std::vector<Expectation>& expectations_;
    const Scenario& scenario_;
    std::vector<std::vector<bool>> groups_;                   // members of the group, by expectation
    std::vector<std::vector<std::vector<bool>>> conditions_;  // the same for each of its conditions
    std::vector<Counts> counts_;
    bool has_patterns_ = false;
    std::uint64_t decisions_ = 0;
};

// Result of one scenario. run_world has no side effects: scenarios may run on any thread in any order.
struct Outcome {
    std::vector<Counts> tallies;
    std::uint64_t decisions = 0, requests = 0;
};
Outcome run_world(const Scenario& scenario, const FleetModel& fleet, const Suite& suite);

// A minimized scenario and its requests that violate one expectation: fewest faulty members first, then
// fewest fault events, then fewest requests.
struct Counterexample {
    Scenario world;
    std::vector<SimulatedRequest> asks;
    Violation broken;
    int tried = 0;  // simulation runs of the search
};
std::optional<Counterexample> shrink(const Scenario& scenario, const FleetModel& fleet, const Suite& suite,
                                     std::size_t expectation);

}  // namespace sumackeel::expectations
