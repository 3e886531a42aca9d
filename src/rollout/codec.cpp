// The state's and the commands' form in the log and in snapshots: MessagePack, a version first.
#include <cmath>
#include <stdexcept>

#include "base/packed.h"
#include "rollout/rollout.h"

namespace sumackeel::rollout {

namespace {

using base::Fields;
using base::Packed;

constexpr int kVersion = 1;
enum class Command : int { ask = 1, back = 2, order = 3, step = 4 };
constexpr std::size_t kLeastAsk = 12;  // without what releases added

void need(bool holds) {
    if (!holds) Fields::broken();
}

base::Unpacked opened(std::string_view bytes) {
    return base::unpacked(bytes, 2 * kMostSeen, 4 * kLongestName);
}

void pack(Packed& out, const Lease& lease) {
    out.array(9).add(lease.number, static_cast<int>(lease.kind), lease.member, lease.school, lease.by,
                     lease.since, lease.forced, lease.release, lease.start);
}
Lease lease_in(Fields at) {
    Lease lease;
    lease.number = at.next<std::uint64_t>();
    lease.kind = at.word(Kind::pop_cache);
    lease.member = at.text(kLongestName), lease.school = at.text(kLongestName);
    lease.by = at.text(kLongestName);
    lease.since = at.next<Micros>(), lease.forced = at.next<bool>();
    if (at.left() < 2) return lease;
    lease.release = at.next<std::uint64_t>(), lease.start = at.next<std::uint64_t>();
    return lease;
}

// The next two of an array.
Runs runs_in(Fields& at) {
    Runs runs;
    runs.start = at.next<std::uint64_t>(), runs.version = at.text(kLongestName);
    return runs;
}

Ask ask_in(Fields at) {
    Ask ask;
    ask.kind = at.word(Kind::pop_cache);
    ask.member = at.text(kLongestName), ask.by = at.text(kLongestName);
    ask.forced = at.next<bool>(), ask.now = at.next<Micros>();
    ask.rules.school_out = at.next<int>(), ask.rules.school_share = at.next<double>();
    ask.rules.fleet_out = at.next<int>(), ask.rules.between = at.next<Micros>();
    for (Fields world = at.list(kMostSeen); world.left() > 0;) {
        Fields one = world.array(6);
        Seen seen;
        seen.name = one.text(kLongestName), seen.school = one.text(kLongestName);
        seen.leans_on = one.text(kLongestName), seen.weight = one.next<double>();
        seen.out = one.next<bool>(), seen.why = one.text(kLongestName);
        need(std::isfinite(seen.weight) && seen.weight >= 0);
        ask.world.push_back(std::move(seen));
    }
    if (at.left() < 3) return ask;
    ask.release = at.next<std::uint64_t>();
    ask.runs = runs_in(at);
    return ask;
}

Packed& command(Packed& out, Command what, std::size_t more) {
    return out.array(2 + more).add(kVersion, static_cast<int>(what));
}

void pack(Packed& out, const Sum& sum) {
    out.array(8).add(sum.requests, sum.in_time, sum.refused, sum.failed, sum.own_us, sum.sent, sum.memory_kb,
                     sum.members);
}
void pack(Packed& out, const std::optional<Sum>& sum) {
    if (sum)
        pack(out, *sum);
    else
        out.array(0);
}
std::optional<Sum> sum_in(Fields at) {
    if (at.left() == 0) return std::nullopt;
    Sum sum;
    for (std::uint64_t* value : {&sum.requests, &sum.in_time, &sum.refused, &sum.failed, &sum.own_us,
                                 &sum.sent, &sum.memory_kb, &sum.members})
        *value = at.next<std::uint64_t>();
    return sum;
}

void pack(Packed& out, const Plan& plan) {
    out.array(14).add(plan.name, plan.what, plan.from, plan.to, plan.members, plan.waves, plan.soak,
                      plan.patience, plan.gate.in_time, plan.gate.late, plan.gate.failures,
                      plan.gate.refusals);
    out.array(2).add(plan.gate.own_time, plan.gate.memory).add(plan.gate.least);
}
std::vector<std::string> names_in(Fields at) {
    std::vector<std::string> names;
    while (at.left() > 0) names.push_back(at.text(kLongestName));
    return names;
}
Plan plan_in(Fields at) {
    Plan plan;
    plan.name = at.text(kLongestName), plan.what = at.text(kLongestName);
    plan.from = at.text(kLongestName), plan.to = at.text(kLongestName);
    plan.members = names_in(at.list(kMostOfRelease));
    for (Fields waves = at.list(kMostOfRelease); waves.left() > 0;)
        plan.waves.push_back(waves.next<std::uint32_t>());
    plan.soak = at.next<Micros>(), plan.patience = at.next<Micros>();
    plan.gate.in_time = at.next<Micros>(), plan.gate.late = at.next<double>();
    plan.gate.failures = at.next<double>(), plan.gate.refusals = at.next<double>();
    Fields factors = at.array(2);
    plan.gate.own_time = factors.next<double>(), plan.gate.memory = factors.next<double>();
    plan.gate.least = at.next<std::uint64_t>();
    return plan;
}

Order order_in(Fields at) {
    Order order;
    order.verb = at.word(Verb::back);
    order.by = at.text(kLongestName), order.now = at.next<Micros>();
    order.plan = plan_in(at.array(13));
    order.there = names_in(at.list(kMostSeen));
    return order;
}

void pack(Packed& out, const Release& release) {
    out.array(12).add(release.number, release.steps);
    pack(out, release.plan);
    out.add(static_cast<int>(release.stage), static_cast<int>(release.held), release.wave, release.since,
            release.reason, release.by);
    pack(out, release.base);
    out.add(release.without).array(release.told.size());
    for (const auto& [member, runs] : release.told) out.array(3).add(member, runs.start, runs.version);
}
Release release_in(Fields at) {
    Release release;
    release.number = at.next<std::uint64_t>(), release.steps = at.next<std::uint64_t>();
    release.plan = plan_in(at.array(13));
    release.stage = at.word(Stage::back), release.held = at.word(Stage::back);
    release.wave = at.next<std::uint32_t>(), release.since = at.next<Micros>();
    release.reason = at.text(kLongestReason), release.by = at.text(kLongestName);
    release.base = sum_in(at.array(0));
    release.without = names_in(at.list(kMostOfRelease));
    for (Fields told = at.list(kMostOfRelease); told.left() > 0;) {
        Fields one = told.array(3);
        const std::string member = one.text(kLongestName);
        release.told[member] = runs_in(one);
    }
    need(release.wave < release.plan.waves.size() &&
         release.plan.upto(release.plan.waves.size()) == release.plan.members.size());
    return release;
}

void pack(Packed& out, const Tally& tally) {
    out.array(7).add(tally.served, tally.refused, tally.failed, tally.took, tally.own_us, tally.sent,
                     tally.memory_kb);
}

}  // namespace

std::string encode(const Ask& ask) {
    Packed out;
    command(out, Command::ask, 13)
        .add(static_cast<int>(ask.kind), ask.member, ask.by, ask.forced, ask.now, ask.rules.school_out,
             ask.rules.school_share, ask.rules.fleet_out, ask.rules.between);
    out.array(ask.world.size());
    for (const Seen& seen : ask.world)
        out.array(6).add(seen.name, seen.school, seen.leans_on, seen.weight, seen.out, seen.why);
    return out.add(ask.release, ask.runs.start, ask.runs.version).bytes();
}

std::string encode(const Back& back) {
    Packed out;
    return command(out, Command::back, 6)
        .add(static_cast<int>(back.kind), back.member, back.by, back.now, back.runs.start, back.runs.version)
        .bytes();
}

std::string encode(const Order& order) {
    Packed out;
    command(out, Command::order, 5).add(static_cast<int>(order.verb), order.by, order.now);
    pack(out, order.plan);
    return out.add(order.there).bytes();
}

Order order_in(std::string_view bytes) {
    const base::Unpacked whole = opened(bytes);
    Fields at = whole.fields(7);
    need(at.next<int>() == kVersion && at.next<int>() == static_cast<int>(Command::order));
    return order_in(at);
}

std::string encode(const Step& step) {
    Packed out;
    command(out, Command::step, 7)
        .add(step.release, step.behind, static_cast<int>(step.to), step.wave, step.now, step.reason);
    pack(out, step.base);
    return out.bytes();
}

Answer apply(State& state, std::string_view bytes) {
    const base::Unpacked whole = opened(bytes);
    Fields at = whole.fields(6);
    need(at.next<int>() == kVersion);
    switch (static_cast<Command>(at.next<int>())) {
        case Command::ask:
            need(at.left() + 2 >= kLeastAsk);
            return state.apply(ask_in(at));
        case Command::back: {
            Back back;
            back.kind = at.word(Kind::pop_cache);
            back.member = at.text(kLongestName), back.by = at.text(kLongestName);
            back.now = at.next<Micros>();
            if (at.left() >= 2) back.runs = runs_in(at);
            return state.apply(back);
        }
        case Command::order:
            return state.apply(order_in(at));
        case Command::step: {
            Step step;
            step.release = at.next<std::uint64_t>(), step.behind = at.next<std::uint64_t>();
            step.to = at.word(Stage::back), step.wave = at.next<std::uint32_t>();
            step.now = at.next<Micros>(), step.reason = at.text(kLongestReason);
            step.base = sum_in(at.array(0));
            return state.apply(step);
        }
    }
    Fields::broken();
}

std::string encode(const Answer& answer) {
    Packed out;
    return out.array(4)
        .add(static_cast<int>(answer.how), answer.number, answer.reason, answer.waits_for)
        .bytes();
}

Answer decode_answer(std::string_view bytes) {
    const base::Unpacked whole = opened(bytes);
    Fields at = whole.fields(4);
    Answer answer;
    answer.how = at.word(How::nothing), answer.number = at.next<std::uint64_t>();
    answer.reason = at.next<std::string>(), answer.waits_for = names_in(at.list(kMostSeen));
    return answer;
}

std::string encode(const Report& report) {
    Packed out;
    out.array(4).add(report.member, report.version, report.start);
    pack(out, report.tally);
    return out.bytes();
}

Report report_in(std::string_view bytes) {
    const base::Unpacked whole = opened(bytes);
    Fields at = whole.fields(4);
    Report report;
    report.member = at.text(kLongestName), report.version = at.text(kLongestName);
    report.start = at.next<std::uint64_t>();
    Fields tally = at.array(7);
    for (std::uint64_t* value : {&report.tally.served, &report.tally.refused, &report.tally.failed})
        *value = tally.next<std::uint64_t>();
    Fields took = tally.list(kBuckets);
    for (std::size_t i = 0; i < kBuckets; ++i) report.tally.took[i] = took.next<std::uint64_t>();
    for (std::uint64_t* value : {&report.tally.own_us, &report.tally.sent, &report.tally.memory_kb})
        *value = tally.next<std::uint64_t>();
    return report;
}

std::string State::encode() const {
    Packed out;
    out.array(8).add(kVersion, last_, revision_);
    out.array(leases_.size());
    for (const auto& [key, lease] : leases_) pack(out, lease);
    out.array(returned_.size());
    for (const auto& [key, at] : returned_) out.array(3).add(static_cast<int>(key.first), key.second, at);
    out.array(forced_.size());
    for (const Lease& lease : forced_) pack(out, lease);
    out.add(releases_.last_);
    out.array(releases_.past_.size() + (releases_.active_ ? 1 : 0));
    for (const Release& release : releases_.past_) pack(out, release);
    if (releases_.active_) pack(out, *releases_.active_);
    return out.bytes();
}

State State::decode(std::string_view bytes) {
    const base::Unpacked whole = opened(bytes);
    Fields at = whole.fields(6);
    need(at.next<int>() == kVersion);
    State state;
    state.last_ = at.next<std::uint64_t>(), state.revision_ = at.next<std::uint64_t>();
    for (Fields leases = at.list(kMostLeases); leases.left() > 0;) {
        Lease lease = lease_in(leases.array(7));
        need(lease.number <= state.last_);
        state.leases_[{lease.kind, lease.member}] = std::move(lease);
    }
    for (Fields returned = at.list(2 * kMostSeen); returned.left() > 0;) {
        Fields one = returned.array(3);
        const Kind kind = one.word(Kind::pop_cache);
        const std::string school = one.text(kLongestName);
        state.returned_[{kind, school}] = one.next<Micros>();
    }
    for (Fields forced = at.list(kMostRecords); forced.left() > 0;)
        state.forced_.push_back(lease_in(forced.array(7)));
    if (at.left() < 2) return state;  // of the version before releases
    state.releases_.last_ = at.next<std::uint64_t>();
    for (Fields all = at.list(kMostPast + 1); all.left() > 0;) {
        Release release = release_in(all.array(12));
        need(!state.releases_.active_);  // one that is under way is the last
        if (release.over())
            state.releases_.past_.push_back(std::move(release));
        else
            state.releases_.active_ = std::move(release);
    }
    return state;
}

}  // namespace sumackeel::rollout
