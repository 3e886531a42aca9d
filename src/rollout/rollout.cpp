#include "rollout/rollout.h"

#include <fmt/format.h>

#include <algorithm>

namespace sumackeel::rollout {

const char* name_of(Kind kind) {
    return kind == Kind::proxy ? "proxy" : "pop cache";
}

const Lease* State::find(Kind kind, const std::string& member) const {
    const auto found = leases_.find({kind, member});
    return found == leases_.end() ? nullptr : &found->second;
}

Answer State::judge(const Ask& ask) const {
    const auto refused = [](std::string reason, std::vector<std::string> waits_for = {}) {
        return Answer{How::refused, 0, std::move(reason), std::move(waits_for)};
    };
    const Release* release = ask.release != 0 ? releases_.active() : nullptr;
    if (ask.release != 0) {
        const auto needless = [](std::string why) { return Answer{How::nothing, 0, std::move(why), {}}; };
        if (!release || release->number != ask.release) return needless("that release is over");
        if (!release->has(ask.member)) return needless(ask.member + " is not in the plan");
        if (ask.runs.version == release->wanted())
            return needless(fmt::format("{} runs {}", ask.member, ask.runs.version));
    }
    // A turn's answer names what the member is to run.
    const auto granted = [&](std::uint64_t number) {
        return Answer{How::granted, number, release ? release->wanted() : std::string{}, {}};
    };
    if (const Lease* held = find(ask.kind, ask.member)) {
        if (ask.release == 0 || held->release == ask.release) return granted(held->number);
        return refused(fmt::format("{} is out by lease {} of {}", ask.member, held->number, held->by));
    }
    const auto mine = std::find_if(ask.world.begin(), ask.world.end(),
                                   [&](const Seen& seen) { return seen.name == ask.member; });
    if (mine == ask.world.end())
        return refused(fmt::format("no {} {} is known", name_of(ask.kind), ask.member));
    if (release)
        if (std::string why = release->no_turn(ask.member); !why.empty()) return refused(std::move(why));
    if (leases_.size() >= kMostLeases) return refused("there are as many leases as there is room for");
    if (ask.forced) return granted(last_ + 1);

    // Out counts everything: by lease, and by itself.
    const auto is_out = [&](const Seen& seen) { return seen.out || find(ask.kind, seen.name); };
    std::vector<std::string> school_out, fleet_out;
    double weight = 0, weight_out = 0;
    std::size_t school = 0;
    for (const Seen& seen : ask.world) {
        const bool same = seen.school == mine->school;
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
        const bool known = std::any_of(ask.world.begin(), ask.world.end(),
                                       [&](const Seen& seen) { return seen.name == key.second; });
        if (key.first != ask.kind || known) continue;
        fleet_out.push_back(key.second);
        if (lease.school == mine->school) school_out.push_back(key.second);
    }
    // A hub and the schools that lean on it are not out together.
    std::vector<std::string> tied;
    for (const Seen& seen : ask.world)
        if (seen.name != ask.member && is_out(seen) &&
            ((!mine->leans_on.empty() && seen.school == mine->leans_on) || seen.leans_on == mine->school))
            tied.push_back(seen.name);
    if (mine->out) return granted(last_ + 1);  // it is out already: a lease adds none
    if (school_out.size() + 1 >= school)
        return refused(fmt::format("{} is the last of {} that is not out", ask.member, mine->school),
                       school_out);
    if (static_cast<int>(school_out.size()) + 1 > ask.rules.school_out)
        return refused(fmt::format("{} of {} may be out at once", ask.rules.school_out, mine->school),
                       school_out);
    if (!tied.empty())
        return refused(fmt::format("{} and those that lean on it, or that it leans on, are not out together",
                                   mine->school),
                       tied);
    if (!school_out.empty() && weight_out + mine->weight > ask.rules.school_share * weight)
        return refused(fmt::format("over {:.0f}% of {} by weight would be out", ask.rules.school_share * 100,
                                   mine->school),
                       school_out);
    if (static_cast<int>(fleet_out.size()) + 1 > ask.rules.fleet_out)
        return refused(fmt::format("{} of all may be out at once", ask.rules.fleet_out), fleet_out);
    const auto returned = returned_.find({ask.kind, mine->school});
    if (returned != returned_.end() && ask.now - returned->second < ask.rules.between)
        return refused(fmt::format("one of {} came back {} s ago, {} s are to pass", mine->school,
                                   (ask.now - returned->second) / base::kSecond,
                                   ask.rules.between / base::kSecond));
    return granted(last_ + 1);
}

Answer State::apply(const Ask& ask) {
    const Answer answer = judge(ask);
    if (answer.how != How::granted || find(ask.kind, ask.member)) return answer;
    const auto mine = std::find_if(ask.world.begin(), ask.world.end(),
                                   [&](const Seen& seen) { return seen.name == ask.member; });
    const Lease lease{answer.number, ask.kind,   ask.member,  mine->school,  ask.by,
                      ask.now,       ask.forced, ask.release, ask.runs.start};
    leases_[{ask.kind, ask.member}] = lease;
    last_ = answer.number;
    ++revision_;
    if (ask.forced) {
        if (forced_.size() >= kMostRecords) forced_.erase(forced_.begin());
        forced_.push_back(lease);
    }
    return answer;
}

Answer State::apply(const Back& back) {
    const auto found = leases_.find({back.kind, back.member});
    if (found == leases_.end()) return {How::nothing, 0, {}, {}};
    const Answer answer{How::ended, found->second.number, {}, {}};
    returned_[{back.kind, found->second.school}] = back.now;
    releases_.returned(found->second.release, back.member, back.runs);
    leases_.erase(found);
    ++revision_;
    return answer;
}

Answer State::apply(const Order& order) {
    const std::uint64_t before = releases_.active() ? releases_.active()->steps : 0;
    const bool had = releases_.active() != nullptr;
    std::string wrong = releases_.apply(order);
    if (!wrong.empty()) return {How::refused, 0, std::move(wrong), {}};
    const Release& release = *releases_.active();
    if (!had || release.steps != before) ++revision_;
    return {How::granted, release.number, {}, {}};
}

Answer State::apply(const Step& step) {
    if (!releases_.apply(step)) return {How::nothing, 0, "another step came first", {}};
    ++revision_;
    return {How::granted, step.release, {}, {}};
}

}  // namespace sumackeel::rollout
