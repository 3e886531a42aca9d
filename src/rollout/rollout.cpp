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
    if (const Lease* held = find(ask.kind, ask.member)) return {How::granted, held->number, {}, {}};
    const auto mine = std::find_if(ask.world.begin(), ask.world.end(),
                                   [&](const Seen& seen) { return seen.name == ask.member; });
    if (mine == ask.world.end())
        return refused(fmt::format("no {} {} is known", name_of(ask.kind), ask.member));
    if (leases_.size() >= kMostLeases) return refused("there are as many leases as there is room for");
    if (ask.forced) return {How::granted, last_ + 1, {}, {}};

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
    if (mine->out) return {How::granted, last_ + 1, {}, {}};  // it is out already: a lease adds none
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
    return {How::granted, last_ + 1, {}, {}};
}

Answer State::apply(const Ask& ask) {
    const Answer answer = judge(ask);
    if (answer.how != How::granted || find(ask.kind, ask.member)) return answer;
    const auto mine = std::find_if(ask.world.begin(), ask.world.end(),
                                   [&](const Seen& seen) { return seen.name == ask.member; });
    const Lease lease{answer.number, ask.kind, ask.member, mine->school, ask.by, ask.now, ask.forced};
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
    leases_.erase(found);
    ++revision_;
    return answer;
}

}  // namespace sumackeel::rollout
