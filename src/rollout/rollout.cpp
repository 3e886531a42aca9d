#include "rollout/rollout.h"

#include <fmt/format.h>

#include <algorithm>

namespace sumackeel::rollout {

const char* name_of(MemberKind kind) {
    return kind == MemberKind::proxy ? "proxy" : "pop cache";
}

const Lease* State::find(MemberKind kind, const std::string& member) const {
    const auto found = leases_.find({kind, member});
    return found == leases_.end() ? nullptr : &found->second;
}

CommandResult State::evaluate(const LeaseRequest& ask) const {
    const auto refused = [](std::string reason, std::vector<std::string> waits_for = {}) {
        return CommandResult{Outcome::rejected, 0, std::move(reason), std::move(waits_for)};
    };
    const Release* release = ask.release != 0 ? releases_.active() : nullptr;
    if (ask.release != 0) {
        const auto needless = [](std::string why) {
            return CommandResult{Outcome::none, 0, std::move(why), {}};
        };
        if (!release || release->number != ask.release) return needless("that release is over");
        if (!release->contains(ask.member)) return needless(ask.member + " is not in the plan");
        if (ask.running.version == release->target_version())
            return needless(fmt::format("{} runs {}", ask.member, ask.running.version));
    }
    // A turn's answer names what the member is to run.
    const auto granted = [&](std::uint64_t number) {
        return CommandResult{
            Outcome::granted, number, release ? release->target_version() : std::string{}, {}};
    };
    if (const Lease* held = find(ask.kind, ask.member)) {
        if (ask.release == 0 || held->release == ask.release) return granted(held->number);
        return refused(
            fmt::format("{} is out by lease {} of {}", ask.member, held->number, held->requested_by));
    }
    const auto mine = std::find_if(ask.fleet.begin(), ask.fleet.end(),
                                   [&](const FleetMember& seen) { return seen.name == ask.member; });
    if (mine == ask.fleet.end())
        return refused(fmt::format("no {} {} is known", name_of(ask.kind), ask.member));
    if (release)
        if (std::string why = release->lease_rejection(ask.member); !why.empty())
            return refused(std::move(why));
    if (leases_.size() >= kMaxLeases) return refused("there are as many leases as there is room for");
    if (ask.forced) return granted(last_ + 1);

    // Out counts everything: by lease, and by itself.
    const auto is_out = [&](const FleetMember& seen) {
        return seen.unavailable || find(ask.kind, seen.name);
    };
    std::vector<std::string> school_out, fleet_out;
    double weight = 0, weight_out = 0;
    std::size_t school = 0;
    for (const FleetMember& seen : ask.fleet) {
        const bool same = seen.zone == mine->zone;
        school += same ? 1 : 0;
        weight += same ? seen.weight : 0;
        if (seen.name == ask.member || !is_out(seen)) continue;
        fleet_out.push_back(seen.name);
        if (!same) continue;
        school_out.push_back(seen.name);
        weight_out += seen.weight;
    }
    // Leases of members that the leader's list no longer names are out as well.
    for (const auto& [key, lease] : leases_) {
        const std::string& member = key.second;
        const bool known = std::any_of(ask.fleet.begin(), ask.fleet.end(),
                                       [&](const FleetMember& seen) { return seen.name == member; });
        if (key.first != ask.kind || known) continue;
        fleet_out.push_back(key.second);
        if (lease.zone == mine->zone) school_out.push_back(key.second);
    }
    // A hub and the schools that lean on it are not out together.
    std::vector<std::string> tied;
    for (const FleetMember& seen : ask.fleet)
        if (seen.name != ask.member && is_out(seen) &&
            ((!mine->parent_region.empty() && seen.zone == mine->parent_region) ||
             seen.parent_region == mine->zone))
            tied.push_back(seen.name);
    if (mine->unavailable) return granted(last_ + 1);  // it is out already: a lease adds none
    if (school_out.size() + 1 >= school)
        return refused(fmt::format("{} is the last of {} that is not out", ask.member, mine->zone),
                       school_out);
    if (static_cast<int>(school_out.size()) + 1 > ask.budget.max_unavailable_in_zone)
        return refused(
            fmt::format("{} of {} may be out at once", ask.budget.max_unavailable_in_zone, mine->zone),
            school_out);
    if (!tied.empty())
        return refused(fmt::format("{} and those that lean on it, or that it leans on, are not out together",
                                   mine->zone),
                       tied);
    if (!school_out.empty() && weight_out + mine->weight > ask.budget.max_zone_weight_share * weight)
        return refused(fmt::format("over {:.0f}% of {} by weight would be out",
                                   ask.budget.max_zone_weight_share * 100, mine->zone),
                       school_out);
    if (static_cast<int>(fleet_out.size()) + 1 > ask.budget.max_unavailable)
        return refused(fmt::format("{} of all may be out at once", ask.budget.max_unavailable), fleet_out);
    const auto returned = returned_.find({ask.kind, mine->zone});
    if (returned != returned_.end() && ask.now - returned->second < ask.budget.min_interval_in_zone)
        return refused(fmt::format("one of {} came back {} s ago, {} s are to pass", mine->zone,
                                   (ask.now - returned->second) / base::kSecond,
                                   ask.budget.min_interval_in_zone / base::kSecond));
    return granted(last_ + 1);
}

CommandResult State::apply(const LeaseRequest& ask) {
    const CommandResult answer = evaluate(ask);
    if (answer.outcome != Outcome::granted || find(ask.kind, ask.member)) return answer;
    const auto mine = std::find_if(ask.fleet.begin(), ask.fleet.end(),
                                   [&](const FleetMember& seen) { return seen.name == ask.member; });
    const Lease lease{answer.number, ask.kind,   ask.member,  mine->zone,       ask.requested_by,
                      ask.now,       ask.forced, ask.release, ask.running.start};
    leases_[{ask.kind, ask.member}] = lease;
    last_ = answer.number;
    ++revision_;
    if (ask.forced) {
        if (forced_.size() >= kMaxForcedRecords) forced_.erase(forced_.begin());
        forced_.push_back(lease);
    }
    return answer;
}

CommandResult State::apply(const LeaseReturn& back) {
    const auto found = leases_.find({back.kind, back.member});
    if (found == leases_.end()) return {Outcome::none, 0, {}, {}};
    const CommandResult answer{Outcome::returned, found->second.number, {}, {}};
    returned_[{back.kind, found->second.zone}] = back.now;
    releases_.on_lease_returned(found->second.release, back.member, back.running);
    leases_.erase(found);
    ++revision_;
    return answer;
}

CommandResult State::apply(const ReleaseCommand& order) {
    const std::uint64_t before = releases_.active() ? releases_.active()->steps : 0;
    const bool had = releases_.active() != nullptr;
    std::string wrong = releases_.apply(order);
    if (!wrong.empty()) return {Outcome::rejected, 0, std::move(wrong), {}};
    const Release& release = *releases_.active();
    if (!had || release.steps != before) ++revision_;
    return {Outcome::granted, release.number, {}, {}};
}

CommandResult State::apply(const ReleaseStep& step) {
    if (!releases_.apply(step)) return {Outcome::none, 0, "another step came first", {}};
    ++revision_;
    return {Outcome::granted, step.release, {}, {}};
}

}  // namespace sumackeel::rollout
