#include "expectations/evaluator.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <set>

namespace sumackeel::expectations {

namespace {

constexpr int kMaxShrinkRuns = 600;  // simulation runs for the search of a smaller counterexample

}  // namespace

const char* name_of(Conclusion conclusion) {
    switch (conclusion) {
        case Conclusion::yes:
            return "holds";
        case Conclusion::broken:
            return "broken";
        case Conclusion::undecided:
            return "undecided";
        case Conclusion::never_applied:
            return "never applied";
    }
    return "?";
}

bool is_share(Rule rule) {
    return rule == Rule::share_at_most || rule == Rule::share_at_least || rule == Rule::refused_at_most;
}

void Counts::add(const Counts& other) {
    applied += other.applied;
    counted += other.counted;
    broken += other.broken;
    if (other.first &&
        (!first || std::tie(other.first->world, other.first->at) < std::tie(first->world, first->at)))
        first = other.first;
}

Bounds bounds_of(std::uint64_t counted, std::uint64_t of, double confidence) {
    using boost::math::beta_distribution;
    if (of == 0) return {};
    const auto k = static_cast<double>(counted), n = static_cast<double>(of);
    const double tail = (1 - confidence) / 2;
    return {k / n, k > 0 ? boost::math::quantile(beta_distribution<>(k, n - k + 1), tail) : 0,
            k < n ? boost::math::quantile(beta_distribution<>(k + 1, n - k), 1 - tail) : 1};
}

Evaluation verdict_of(const Expectation& expectation, const Counts& counts) {
    Evaluation evaluation;
    if (counts.applied == 0) {
        evaluation.text = "no run came to what it is about";
        return evaluation;
    }
    if (!is_share(expectation.rule)) {
        evaluation.holds = counts.broken ? Conclusion::broken : Conclusion::yes;
        evaluation.text = fmt::format("{} times, {} broken", counts.applied, counts.broken);
        return evaluation;
    }
    const Bounds bounds = evaluation.bounds =
        bounds_of(counts.counted, counts.applied, expectation.confidence);
    const bool is_minimum = expectation.rule == Rule::share_at_least;
    const bool satisfied = is_minimum ? bounds.lower >= expectation.limit : bounds.upper <= expectation.limit;
    const bool violated = is_minimum ? bounds.upper < expectation.limit : bounds.lower > expectation.limit;
    evaluation.holds = satisfied ? Conclusion::yes : violated ? Conclusion::broken : Conclusion::undecided;
    evaluation.text = fmt::format("{} of {}, {:.4f} ({:.4f} to {:.4f})", counts.counted, counts.applied,
                                  bounds.share, bounds.lower, bounds.upper);
    return evaluation;
}

std::string Evaluator::name(int member) const {
    return member < 0 ? "nobody" : fleet_.name(static_cast<std::size_t>(member));
}

bool Evaluator::conditions_hold(std::size_t index, const std::vector<NotifiedStateSince>& notified) const {
    const auto& conditions = expectations_[index].conditions;
    for (std::size_t c = 0; c < conditions.size(); ++c) {
        const std::vector<bool>& members = conditions_[index][c];
        bool any = false, every = true;
        for (std::size_t i = 0; i < notified.size(); ++i) {
            if (!members[i]) continue;
            const bool in_state = notified[i].notified == conditions[c].is;
            any = any || in_state;
            every = every && in_state;
        }
        if (!(conditions[c].all ? every : any)) return false;
    }
    return true;
}

// `describe` is only called for the first violation.
template <typename Words>
void Evaluator::record_check(std::size_t index, bool allowed, Micros at, int request, const Words& describe) {
    Counts& counts = counts_[index];
    ++counts.applied;
    if (allowed) return;
    ++counts.broken;
    if (!counts.first) counts.first = Violation{scenario_.number, at, request, describe()};
}

// NOLINTNEXTLINE(readability-function-size): one case per rule
void Evaluator::on_decision(const SimulatedRequest& request, const Decision& decision,
                            const std::vector<NotifiedStateSince>& notified) {
    ++decisions_;
    const std::string object = has_patterns_ ? object_name(request.object) : "";
    const int group = group_of(request.object);
    const bool fill = decision.source >= 0;
    const auto in_group = [&](std::size_t index, int member) {
        return member >= 0 && groups_[index][member];
    };
    const auto describe_decision = [&] {
        return fmt::format("request {}, attempt {}, goes to {}{}", decision.request, decision.attempt,
                           name(decision.target), fill ? ", filled from " + name(decision.source) : "");
    };
    for (std::size_t i = 0; i < expectations_.size(); ++i) {
        const Expectation& expectation = expectations_[i];
        if (!expectation.concerns(request.class_index, scenario_.zone, object, group)) continue;
        if (!expectation.conditions.empty() && !conditions_hold(i, notified)) continue;
        const auto check = [&](bool allowed, const auto& describe) {
            record_check(i, allowed, decision.at, decision.request, describe);
        };
        switch (expectation.rule) {
            case Rule::never_fills_from:
                if (fill) check(!in_group(i, decision.source), describe_decision);
                break;
            case Rule::fills_from:
                if (fill) check(in_group(i, decision.source), describe_decision);
                break;
            case Rule::only_at:
                check(in_group(i, decision.target), describe_decision);
                break;
            case Rule::share_at_most:
            case Rule::share_at_least:
                ++counts_[i].applied;
                counts_[i].counted += in_group(i, decision.target);
                break;
            case Rule::fails_over_within:
                if (decision.attempt > 0 && decision.target != decision.first_target) {
                    const double ms = static_cast<double>(decision.at - decision.first_at) / 1e3;
                    check(ms <= expectation.limit, [&] {
                        return fmt::format("{}, {:.0f} ms after its first attempt", describe_decision(), ms);
                    });
                }
                break;
            case Rule::never_twice:
                if (fleet_.site.settings.classes[request.class_index].retry_safety !=
                    routing::RetrySafety::idempotent)
                    check(!decision.may_have_run,
                          [&] { return describe_decision() + ", though it may have run"; });
                break;
            case Rule::kept_at_rank:
                if (fill && fleet_.kind_of(decision.target) == Kind::cache &&
                    !fleet_.site.settings.classes[request.class_index].uncacheable)
                    check(decision.rank == static_cast<int>(expectation.limit), [&] {
                        return fmt::format("{}, kept at rank {}", describe_decision(), decision.rank);
                    });
                break;
            case Rule::no_new_work_after: {
                const auto bound = static_cast<Micros>(expectation.limit * 1e6);
                bool out = false, late = false;
                std::string late_member;
                for (const int member : {decision.target, decision.source}) {
                    if (member < 0) continue;
                    const NotifiedStateSince& state = notified[member];
                    if (state.notified != NotifiedState::draining && state.notified != NotifiedState::gone)
                        continue;
                    out = true;
                    if (decision.at - state.since > bound) late = true, late_member = name(member);
                }
                // Applies to each decision made while a member has been out for longer: only those can
                // violate it.
                const bool any_out =
                    std::any_of(notified.begin(), notified.end(), [&](const NotifiedStateSince& state) {
                        return (state.notified == NotifiedState::draining ||
                                state.notified == NotifiedState::gone) &&
                               decision.at - state.since > bound;
                    });
                if (any_out || out)
                    check(!late, [&] {
                        return fmt::format("{}, though {} was told to be out", describe_decision(),
                                           late_member);
                    });
                break;
            }
            case Rule::refused_at_most:
            case Rule::attempts_at_most:
                break;  // checked in on_request_finished
        }
    }
}

void Evaluator::on_request_finished(const SimulatedRequest& request, const RequestResult& result,
                                    const std::vector<NotifiedStateSince>& notified) {
    const std::string object = has_patterns_ ? object_name(request.object) : "";
    for (std::size_t i = 0; i < expectations_.size(); ++i) {
        const Expectation& expectation = expectations_[i];
        if (expectation.rule != Rule::refused_at_most && expectation.rule != Rule::attempts_at_most) continue;
        if (!expectation.concerns(request.class_index, scenario_.zone, object, group_of(request.object)))
            continue;
        if (!expectation.conditions.empty() && !conditions_hold(i, notified)) continue;
        if (expectation.rule == Rule::attempts_at_most) {
            record_check(
                i, result.attempts <= expectation.limit, request.at + result.elapsed, result.request,
                [&] { return fmt::format("request {} took {} attempts", result.request, result.attempts); });
            continue;
        }
        ++counts_[i].applied;
        counts_[i].counted += result.outcome != RequestOutcome::served;
    }
}

Outcome run_world(const Scenario& scenario, const FleetModel& fleet, const Suite& suite) {
    Evaluator evaluator(fleet, suite.expectations, scenario);
    const std::vector<SimulatedRequest> requests = traffic_of(scenario, fleet, suite.traffic);
    simulate(scenario, fleet, requests, evaluator);
    return {evaluator.tallies(), evaluator.decisions(), requests.size()};
}

namespace {

// The first violation of the one expectation, if there is any.
std::optional<Violation> find_violation(const Scenario& scenario, const FleetModel& fleet,
                                        const std::vector<Expectation>& expectations,
                                        const std::vector<SimulatedRequest>& requests) {
    Evaluator evaluator(fleet, expectations, scenario);
    simulate(scenario, fleet, requests, evaluator);
    return evaluator.tallies()[0].first;
}

std::size_t members_in(const std::vector<FaultEvent>& faults) {
    std::set<int> members;
    for (const FaultEvent& event : faults) members.insert(event.member);
    return members.size();
}

}  // namespace

std::optional<Counterexample> shrink(const Scenario& scenario, const FleetModel& fleet, const Suite& suite,
                                     std::size_t index) {
    const std::vector<Expectation> expectations{suite.expectations[index]};
    Counterexample best{scenario, traffic_of(scenario, fleet, suite.traffic), {}, 0};
    auto violation = find_violation(best.world, fleet, expectations, best.asks);
    if (!violation) return std::nullopt;
    best.broken = *violation;
    const auto try_smaller = [&](const Scenario& smaller, const std::vector<SimulatedRequest>& requests) {
        if (best.tried >= kMaxShrinkRuns) return false;
        ++best.tried;
        const auto broken = find_violation(smaller, fleet, expectations, requests);
        if (!broken) return false;
        best.world = smaller;
        best.asks = requests;
        best.broken = *broken;
        return true;
    };
    const auto drop_requests_after_violation = [&] {
        std::vector<SimulatedRequest> requests;
        for (const SimulatedRequest& request : best.asks)
            if (request.at <= best.broken.at) requests.push_back(request);
        if (requests.size() < best.asks.size()) try_smaller(best.world, requests);
    };
    drop_requests_after_violation();
    // Drops all fault events of a member first, then single ones.
    for (bool smaller = true; smaller;) {
        smaller = false;
        std::set<int> members;
        for (const FaultEvent& fault : best.world.faults) members.insert(fault.member);
        for (const int member : members) {
            Scenario without = best.world;
            std::erase_if(without.faults, [&](const FaultEvent& h) { return h.member == member; });
            smaller = try_smaller(without, best.asks) || smaller;
        }
        for (std::size_t i = 0; i < best.world.faults.size(); ++i) {
            Scenario without = best.world;
            without.faults.erase(without.faults.begin() + static_cast<std::ptrdiff_t>(i));
            if (try_smaller(without, best.asks)) smaller = true, --i;
        }
    }
    // Drops requests: halves first, then quarters, down to single ones.
    drop_requests_after_violation();
    for (std::size_t chunk = std::max<std::size_t>(1, best.asks.size() / 2);; chunk /= 2) {
        for (std::size_t from = 0; from < best.asks.size();) {
            std::vector<SimulatedRequest> rest = best.asks;
            rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(from),
                       rest.begin() + static_cast<std::ptrdiff_t>(std::min(from + chunk, rest.size())));
            if (rest.empty() || !try_smaller(best.world, rest)) from += chunk;
        }
        if (chunk == 1) break;
    }
    best.world.title = fmt::format("{} members in trouble, {} requests, out of: {}",
                                   members_in(best.world.faults), best.asks.size(), scenario.title);
    return best;
}

}  // namespace sumackeel::expectations
