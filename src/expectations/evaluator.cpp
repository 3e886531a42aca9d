#include "expectations/evaluator.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <set>

namespace sumackeel::expectations {

namespace {

constexpr int kMostTries = 600;  // runs that a search for a smaller counterexample may take

}  // namespace

const char* name_of(Conclusion holds) {
    switch (holds) {
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

Evaluation verdict_of(const Expectation& one, const Counts& tally) {
    Evaluation verdict;
    if (tally.applied == 0) {
        verdict.text = "no run came to what it is about";
        return verdict;
    }
    if (!is_share(one.rule)) {
        verdict.holds = tally.broken ? Conclusion::broken : Conclusion::yes;
        verdict.text = fmt::format("{} times, {} broken", tally.applied, tally.broken);
        return verdict;
    }
    const Bounds bounds = verdict.bounds = bounds_of(tally.counted, tally.applied, one.confidence);
    const bool least = one.rule == Rule::share_at_least;
    const bool kept = least ? bounds.lower >= one.limit : bounds.upper <= one.limit;
    const bool past = least ? bounds.upper < one.limit : bounds.lower > one.limit;
    verdict.holds = kept ? Conclusion::yes : past ? Conclusion::broken : Conclusion::undecided;
    verdict.text = fmt::format("{} of {}, {:.4f} ({:.4f} to {:.4f})", tally.counted, tally.applied,
                               bounds.share, bounds.lower, bounds.upper);
    return verdict;
}

std::string Evaluator::name(int member) const {
    return member < 0 ? "nobody" : fleet_.name(static_cast<std::size_t>(member));
}

bool Evaluator::conditions_hold(std::size_t place, const std::vector<NotifiedStateSince>& notified) const {
    const auto& conditions = expectations_[place].conditions;
    for (std::size_t c = 0; c < conditions.size(); ++c) {
        const std::vector<bool>& members = conditions_[place][c];
        bool any = false, every = true;
        for (std::size_t i = 0; i < notified.size(); ++i) {
            if (!members[i]) continue;
            const bool is = notified[i].notified == conditions[c].is;
            any = any || is;
            every = every && is;
        }
        if (!(conditions[c].all ? every : any)) return false;
    }
    return true;
}

// `words` is only called for the first break.
template <typename Words>
void Evaluator::allow(std::size_t place, bool allowed, Micros at, int request, const Words& words) {
    Counts& tally = tallies_[place];
    ++tally.applied;
    if (allowed) return;
    ++tally.broken;
    if (!tally.first) tally.first = Violation{world_.number, at, request, words()};
}

// NOLINTNEXTLINE(readability-function-size): one case a rule
void Evaluator::on_decision(const SimulatedRequest& ask, const Decision& made,
                            const std::vector<NotifiedStateSince>& notified) {
    ++decisions_;
    const std::string object = has_patterns_ ? object_name(ask.object) : "";
    const int group = group_of(ask.object);
    const bool fill = made.source >= 0;
    const auto in_group = [&](std::size_t place, int member) {
        return member >= 0 && groups_[place][member];
    };
    const auto what = [&] {
        return fmt::format("request {}, attempt {}, goes to {}{}", made.request, made.attempt,
                           name(made.target), fill ? ", filled from " + name(made.source) : "");
    };
    for (std::size_t i = 0; i < expectations_.size(); ++i) {
        const Expectation& one = expectations_[i];
        if (!one.concerns(ask.class_index, world_.zone, object, group)) continue;
        if (!one.conditions.empty() && !conditions_hold(i, notified)) continue;
        const auto judge = [&](bool allowed, const auto& words) {
            allow(i, allowed, made.at, made.request, words);
        };
        switch (one.rule) {
            case Rule::never_fills_from:
                if (fill) judge(!in_group(i, made.source), what);
                break;
            case Rule::fills_from:
                if (fill) judge(in_group(i, made.source), what);
                break;
            case Rule::only_at:
                judge(in_group(i, made.target), what);
                break;
            case Rule::share_at_most:
            case Rule::share_at_least:
                ++tallies_[i].applied;
                tallies_[i].counted += in_group(i, made.target);
                break;
            case Rule::fails_over_within:
                if (made.attempt > 0 && made.target != made.first_target) {
                    const double ms = static_cast<double>(made.at - made.first_at) / 1e3;
                    judge(ms <= one.limit,
                          [&] { return fmt::format("{}, {:.0f} ms after its first attempt", what(), ms); });
                }
                break;
            case Rule::never_twice:
                if (fleet_.site.settings.classes[ask.class_index].retry_safety !=
                    routing::RetrySafety::idempotent)
                    judge(!made.may_have_run, [&] { return what() + ", though it may have run"; });
                break;
            case Rule::kept_at_rank:
                if (fill && fleet_.kind_of(made.target) == Kind::cache &&
                    !fleet_.site.settings.classes[ask.class_index].uncacheable)
                    judge(made.rank == static_cast<int>(one.limit),
                          [&] { return fmt::format("{}, kept at rank {}", what(), made.rank); });
                break;
            case Rule::no_new_work_after: {
                const auto bound = static_cast<Micros>(one.limit * 1e6);
                bool out = false, late = false;
                std::string who;
                for (const int member : {made.target, made.source}) {
                    if (member < 0) continue;
                    const NotifiedStateSince& state = notified[member];
                    if (state.notified != NotifiedState::draining && state.notified != NotifiedState::gone)
                        continue;
                    out = true;
                    if (made.at - state.since > bound) late = true, who = name(member);
                }
                // It is about each decision taken while somebody is out: there it could have been broken.
                const bool somebody =
                    std::any_of(notified.begin(), notified.end(), [&](const NotifiedStateSince& state) {
                        return (state.notified == NotifiedState::draining ||
                                state.notified == NotifiedState::gone) &&
                               made.at - state.since > bound;
                    });
                if (somebody || out)
                    judge(!late,
                          [&] { return fmt::format("{}, though {} was told to be out", what(), who); });
                break;
            }
            case Rule::refused_at_most:
            case Rule::attempts_at_most:
                break;  // at the request's end
        }
    }
}

void Evaluator::on_request_finished(const SimulatedRequest& ask, const RequestResult& end,
                                    const std::vector<NotifiedStateSince>& notified) {
    const std::string object = has_patterns_ ? object_name(ask.object) : "";
    for (std::size_t i = 0; i < expectations_.size(); ++i) {
        const Expectation& one = expectations_[i];
        if (one.rule != Rule::refused_at_most && one.rule != Rule::attempts_at_most) continue;
        if (!one.concerns(ask.class_index, world_.zone, object, group_of(ask.object))) continue;
        if (!one.conditions.empty() && !conditions_hold(i, notified)) continue;
        if (one.rule == Rule::attempts_at_most) {
            allow(i, end.attempts <= one.limit, ask.at + end.elapsed, end.request,
                  [&] { return fmt::format("request {} took {} attempts", end.request, end.attempts); });
            continue;
        }
        ++tallies_[i].applied;
        tallies_[i].counted += end.outcome != RequestOutcome::served;
    }
}

Outcome run_world(const Scenario& world, const FleetModel& fleet, const Suite& suite) {
    Evaluator judge(fleet, suite.expectations, world);
    const std::vector<SimulatedRequest> asks = traffic_of(world, fleet, suite.traffic);
    simulate(world, fleet, asks, judge);
    return {judge.tallies(), judge.decisions(), asks.size()};
}

namespace {

// Whether this still breaks the one expectation, and where first.
std::optional<Violation> breaks(const Scenario& world, const FleetModel& fleet,
                                const std::vector<Expectation>& one,
                                const std::vector<SimulatedRequest>& asks) {
    Evaluator judge(fleet, one, world);
    simulate(world, fleet, asks, judge);
    return judge.tallies()[0].first;
}

std::size_t members_in(const std::vector<FaultEvent>& happenings) {
    std::set<int> members;
    for (const FaultEvent& one : happenings) members.insert(one.member);
    return members.size();
}

}  // namespace

std::optional<Counterexample> shrink(const Scenario& world, const FleetModel& fleet, const Suite& suite,
                                     std::size_t place) {
    const std::vector<Expectation> one{suite.expectations[place]};
    Counterexample best{world, traffic_of(world, fleet, suite.traffic), {}, 0};
    auto found = breaks(best.world, fleet, one, best.asks);
    if (!found) return std::nullopt;
    best.broken = *found;
    const auto still = [&](const Scenario& smaller, const std::vector<SimulatedRequest>& asks) {
        if (best.tried >= kMostTries) return false;
        ++best.tried;
        const auto broken = breaks(smaller, fleet, one, asks);
        if (!broken) return false;
        best.world = smaller;
        best.asks = asks;
        best.broken = *broken;
        return true;
    };
    const auto only_until_the_break = [&] {
        std::vector<SimulatedRequest> asks;
        for (const SimulatedRequest& ask : best.asks)
            if (ask.at <= best.broken.at) asks.push_back(ask);
        if (asks.size() < best.asks.size()) still(best.world, asks);
    };
    only_until_the_break();
    // Whole members first, then single happenings.
    for (bool smaller = true; smaller;) {
        smaller = false;
        std::set<int> members;
        for (const FaultEvent& happening : best.world.faults) members.insert(happening.member);
        for (const int member : members) {
            Scenario without = best.world;
            std::erase_if(without.faults, [&](const FaultEvent& h) { return h.member == member; });
            smaller = still(without, best.asks) || smaller;
        }
        for (std::size_t i = 0; i < best.world.faults.size(); ++i) {
            Scenario without = best.world;
            without.faults.erase(without.faults.begin() + static_cast<std::ptrdiff_t>(i));
            if (still(without, best.asks)) smaller = true, --i;
        }
    }
    // Requests: halves, quarters, … are left out, down to single ones.
    only_until_the_break();
    for (std::size_t chunk = std::max<std::size_t>(1, best.asks.size() / 2);; chunk /= 2) {
        for (std::size_t from = 0; from < best.asks.size();) {
            std::vector<SimulatedRequest> rest = best.asks;
            rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(from),
                       rest.begin() + static_cast<std::ptrdiff_t>(std::min(from + chunk, rest.size())));
            if (rest.empty() || !still(best.world, rest)) from += chunk;
        }
        if (chunk == 1) break;
    }
    best.world.title = fmt::format("{} members in trouble, {} requests, out of: {}",
                                   members_in(best.world.faults), best.asks.size(), world.title);
    return best;
}

}  // namespace sumackeel::expectations
