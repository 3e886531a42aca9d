// The state's and the commands' form in the log and in snapshots: MessagePack, a version first.
#include <cmath>
#include <stdexcept>

#include "base/msgpack.h"
#include "rollout/rollout.h"

namespace sumackeel::rollout {

namespace {

using base::MsgpackReader;
using base::MsgpackWriter;

constexpr int kVersion = 1;
enum class Command : int { ask = 1, back = 2, order = 3, step = 4 };
constexpr std::size_t kLeastAsk = 12;  // without what releases added

void need(bool holds) {
    if (!holds) MsgpackReader::fail();
}

base::MsgpackDocument opened(std::string_view bytes) {
    return base::parse_msgpack(bytes, 2 * kMaxMembers, 4 * kMaxNameLength);
}

void pack(MsgpackWriter& out, const Lease& lease) {
    out.array(9).add(lease.number, static_cast<int>(lease.kind), lease.member, lease.zone, lease.requested_by,
                     lease.since, lease.forced, lease.release, lease.start);
}
Lease lease_in(MsgpackReader at) {
    Lease lease;
    lease.number = at.next<std::uint64_t>();
    lease.kind = at.enumeration(MemberKind::pop_cache);
    lease.member = at.text(kMaxNameLength), lease.zone = at.text(kMaxNameLength);
    lease.requested_by = at.text(kMaxNameLength);
    lease.since = at.next<Micros>(), lease.forced = at.next<bool>();
    if (at.remaining() < 2) return lease;
    lease.release = at.next<std::uint64_t>(), lease.start = at.next<std::uint64_t>();
    return lease;
}

// The next two of an array.
RunningVersion runs_in(MsgpackReader& at) {
    RunningVersion runs;
    runs.start = at.next<std::uint64_t>(), runs.version = at.text(kMaxNameLength);
    return runs;
}

LeaseRequest ask_in(MsgpackReader at) {
    LeaseRequest ask;
    ask.kind = at.enumeration(MemberKind::pop_cache);
    ask.member = at.text(kMaxNameLength), ask.requested_by = at.text(kMaxNameLength);
    ask.forced = at.next<bool>(), ask.now = at.next<Micros>();
    ask.budget.max_unavailable_in_zone = at.next<int>(), ask.budget.max_zone_weight_share = at.next<double>();
    ask.budget.max_unavailable = at.next<int>(), ask.budget.min_interval_in_zone = at.next<Micros>();
    for (MsgpackReader world = at.list(kMaxMembers); world.remaining() > 0;) {
        MsgpackReader one = world.array(6);
        FleetMember seen;
        seen.name = one.text(kMaxNameLength), seen.zone = one.text(kMaxNameLength);
        seen.parent_region = one.text(kMaxNameLength), seen.weight = one.next<double>();
        seen.unavailable = one.next<bool>(), seen.unavailable_reason = one.text(kMaxNameLength);
        need(std::isfinite(seen.weight) && seen.weight >= 0);
        ask.fleet.push_back(std::move(seen));
    }
    if (at.remaining() < 3) return ask;
    ask.release = at.next<std::uint64_t>();
    ask.running = runs_in(at);
    return ask;
}

MsgpackWriter& command(MsgpackWriter& out, Command what, std::size_t more) {
    return out.array(2 + more).add(kVersion, static_cast<int>(what));
}

void pack(MsgpackWriter& out, const MetricsSum& sum) {
    out.array(8).add(sum.requests, sum.in_time, sum.rejected, sum.failed, sum.dispatch_time_us,
                     sum.dispatched, sum.memory_kb, sum.members);
}
void pack(MsgpackWriter& out, const std::optional<MetricsSum>& sum) {
    if (sum)
        pack(out, *sum);
    else
        out.array(0);
}
std::optional<MetricsSum> sum_in(MsgpackReader at) {
    if (at.remaining() == 0) return std::nullopt;
    MetricsSum sum;
    for (std::uint64_t* value : {&sum.requests, &sum.in_time, &sum.rejected, &sum.failed,
                                 &sum.dispatch_time_us, &sum.dispatched, &sum.memory_kb, &sum.members})
        *value = at.next<std::uint64_t>();
    return sum;
}

void pack(MsgpackWriter& out, const Plan& plan) {
    out.array(14).add(plan.name, plan.subject, plan.from, plan.to, plan.members, plan.waves, plan.soak,
                      plan.wave_timeout, plan.gate.in_time, plan.gate.max_late_increase,
                      plan.gate.max_failure_increase, plan.gate.max_rejection_increase);
    out.array(2)
        .add(plan.gate.max_dispatch_time_ratio, plan.gate.max_memory_ratio)
        .add(plan.gate.min_requests);
}
std::vector<std::string> names_in(MsgpackReader at) {
    std::vector<std::string> names;
    while (at.remaining() > 0) names.push_back(at.text(kMaxNameLength));
    return names;
}
Plan plan_in(MsgpackReader at) {
    Plan plan;
    plan.name = at.text(kMaxNameLength), plan.subject = at.text(kMaxNameLength);
    plan.from = at.text(kMaxNameLength), plan.to = at.text(kMaxNameLength);
    plan.members = names_in(at.list(kMaxReleaseMembers));
    for (MsgpackReader waves = at.list(kMaxReleaseMembers); waves.remaining() > 0;)
        plan.waves.push_back(waves.next<std::uint32_t>());
    plan.soak = at.next<Micros>(), plan.wave_timeout = at.next<Micros>();
    plan.gate.in_time = at.next<Micros>(), plan.gate.max_late_increase = at.next<double>();
    plan.gate.max_failure_increase = at.next<double>(), plan.gate.max_rejection_increase = at.next<double>();
    MsgpackReader factors = at.array(2);
    plan.gate.max_dispatch_time_ratio = factors.next<double>(),
    plan.gate.max_memory_ratio = factors.next<double>();
    plan.gate.min_requests = at.next<std::uint64_t>();
    return plan;
}

ReleaseCommand decode_release_command(MsgpackReader at) {
    ReleaseCommand order;
    order.action = at.enumeration(ReleaseAction::roll_back);
    order.requested_by = at.text(kMaxNameLength), order.now = at.next<Micros>();
    order.plan = plan_in(at.array(13));
    order.live_members = names_in(at.list(kMaxMembers));
    return order;
}

void pack(MsgpackWriter& out, const Release& release) {
    out.array(12).add(release.number, release.steps);
    pack(out, release.plan);
    out.add(static_cast<int>(release.stage), static_cast<int>(release.halted_stage), release.wave,
            release.since, release.reason, release.by);
    pack(out, release.baseline);
    out.add(release.skipped_members).array(release.reported_versions.size());
    for (const auto& [member, runs] : release.reported_versions)
        out.array(3).add(member, runs.start, runs.version);
}
Release release_in(MsgpackReader at) {
    Release release;
    release.number = at.next<std::uint64_t>(), release.steps = at.next<std::uint64_t>();
    release.plan = plan_in(at.array(13));
    release.stage = at.enumeration(ReleaseStage::rolled_back),
    release.halted_stage = at.enumeration(ReleaseStage::rolled_back);
    release.wave = at.next<std::uint32_t>(), release.since = at.next<Micros>();
    release.reason = at.text(kMaxReasonLength), release.by = at.text(kMaxNameLength);
    release.baseline = sum_in(at.array(0));
    release.skipped_members = names_in(at.list(kMaxReleaseMembers));
    for (MsgpackReader told = at.list(kMaxReleaseMembers); told.remaining() > 0;) {
        MsgpackReader one = told.array(3);
        const std::string member = one.text(kMaxNameLength);
        release.reported_versions[member] = runs_in(one);
    }
    need(release.wave < release.plan.waves.size() &&
         release.plan.members_through(release.plan.waves.size()) == release.plan.members.size());
    return release;
}

void pack(MsgpackWriter& out, const MemberMetrics& tally) {
    out.array(7).add(tally.served, tally.rejected, tally.failed, tally.latency_histogram,
                     tally.dispatch_time_us, tally.dispatched, tally.memory_kb);
}

}  // namespace

std::string encode(const LeaseRequest& ask) {
    MsgpackWriter out;
    command(out, Command::ask, 13)
        .add(static_cast<int>(ask.kind), ask.member, ask.requested_by, ask.forced, ask.now,
             ask.budget.max_unavailable_in_zone, ask.budget.max_zone_weight_share, ask.budget.max_unavailable,
             ask.budget.min_interval_in_zone);
    out.array(ask.fleet.size());
    for (const FleetMember& seen : ask.fleet)
        out.array(6).add(seen.name, seen.zone, seen.parent_region, seen.weight, seen.unavailable,
                         seen.unavailable_reason);
    return out.add(ask.release, ask.running.start, ask.running.version).bytes();
}

std::string encode(const LeaseReturn& back) {
    MsgpackWriter out;
    return command(out, Command::back, 6)
        .add(static_cast<int>(back.kind), back.member, back.requested_by, back.now, back.running.start,
             back.running.version)
        .bytes();
}

std::string encode(const ReleaseCommand& order) {
    MsgpackWriter out;
    command(out, Command::order, 5).add(static_cast<int>(order.action), order.requested_by, order.now);
    pack(out, order.plan);
    return out.add(order.live_members).bytes();
}

ReleaseCommand decode_release_command(std::string_view bytes) {
    const base::MsgpackDocument whole = opened(bytes);
    MsgpackReader at = whole.reader(7);
    need(at.next<int>() == kVersion && at.next<int>() == static_cast<int>(Command::order));
    return decode_release_command(at);
}

std::string encode(const ReleaseStep& step) {
    MsgpackWriter out;
    command(out, Command::step, 7)
        .add(step.release, step.expected_steps, static_cast<int>(step.to), step.wave, step.now, step.reason);
    pack(out, step.baseline);
    return out.bytes();
}

CommandResult apply(State& state, std::string_view bytes) {
    const base::MsgpackDocument whole = opened(bytes);
    MsgpackReader at = whole.reader(6);
    need(at.next<int>() == kVersion);
    switch (static_cast<Command>(at.next<int>())) {
        case Command::ask:
            need(at.remaining() + 2 >= kLeastAsk);
            return state.apply(ask_in(at));
        case Command::back: {
            LeaseReturn back;
            back.kind = at.enumeration(MemberKind::pop_cache);
            back.member = at.text(kMaxNameLength), back.requested_by = at.text(kMaxNameLength);
            back.now = at.next<Micros>();
            if (at.remaining() >= 2) back.running = runs_in(at);
            return state.apply(back);
        }
        case Command::order:
            return state.apply(decode_release_command(at));
        case Command::step: {
            ReleaseStep step;
            step.release = at.next<std::uint64_t>(), step.expected_steps = at.next<std::uint64_t>();
            step.to = at.enumeration(ReleaseStage::rolled_back), step.wave = at.next<std::uint32_t>();
            step.now = at.next<Micros>(), step.reason = at.text(kMaxReasonLength);
            step.baseline = sum_in(at.array(0));
            return state.apply(step);
        }
    }
    MsgpackReader::fail();
}

std::string encode(const CommandResult& answer) {
    MsgpackWriter out;
    return out.array(4)
        .add(static_cast<int>(answer.outcome), answer.number, answer.reason, answer.blocked_by)
        .bytes();
}

CommandResult decode_result(std::string_view bytes) {
    const base::MsgpackDocument whole = opened(bytes);
    MsgpackReader at = whole.reader(4);
    CommandResult answer;
    answer.outcome = at.enumeration(Outcome::none), answer.number = at.next<std::uint64_t>();
    answer.reason = at.next<std::string>(), answer.blocked_by = names_in(at.list(kMaxMembers));
    return answer;
}

std::string encode(const MemberReport& report) {
    MsgpackWriter out;
    out.array(4).add(report.member, report.version, report.start);
    pack(out, report.metrics);
    return out.bytes();
}

MemberReport decode_member_report(std::string_view bytes) {
    const base::MsgpackDocument whole = opened(bytes);
    MsgpackReader at = whole.reader(4);
    MemberReport report;
    report.member = at.text(kMaxNameLength), report.version = at.text(kMaxNameLength);
    report.start = at.next<std::uint64_t>();
    MsgpackReader tally = at.array(7);
    for (std::uint64_t* value : {&report.metrics.served, &report.metrics.rejected, &report.metrics.failed})
        *value = tally.next<std::uint64_t>();
    MsgpackReader took = tally.list(kLatencyBuckets);
    for (std::size_t i = 0; i < kLatencyBuckets; ++i)
        report.metrics.latency_histogram[i] = took.next<std::uint64_t>();
    for (std::uint64_t* value :
         {&report.metrics.dispatch_time_us, &report.metrics.dispatched, &report.metrics.memory_kb})
        *value = tally.next<std::uint64_t>();
    return report;
}

std::string State::encode() const {
    MsgpackWriter out;
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
    const base::MsgpackDocument whole = opened(bytes);
    MsgpackReader at = whole.reader(6);
    need(at.next<int>() == kVersion);
    State state;
    state.last_ = at.next<std::uint64_t>(), state.revision_ = at.next<std::uint64_t>();
    for (MsgpackReader leases = at.list(kMaxLeases); leases.remaining() > 0;) {
        Lease lease = lease_in(leases.array(7));
        need(lease.number <= state.last_);
        state.leases_[{lease.kind, lease.member}] = std::move(lease);
    }
    for (MsgpackReader returned = at.list(2 * kMaxMembers); returned.remaining() > 0;) {
        MsgpackReader one = returned.array(3);
        const MemberKind kind = one.enumeration(MemberKind::pop_cache);
        const std::string school = one.text(kMaxNameLength);
        state.returned_[{kind, school}] = one.next<Micros>();
    }
    for (MsgpackReader forced = at.list(kMaxForcedRecords); forced.remaining() > 0;)
        state.forced_.push_back(lease_in(forced.array(7)));
    if (at.remaining() < 2) return state;  // of the version before releases
    state.releases_.last_ = at.next<std::uint64_t>();
    for (MsgpackReader all = at.list(kMaxPastReleases + 1); all.remaining() > 0;) {
        Release release = release_in(all.array(12));
        need(!state.releases_.active_);  // one that is under way is the last
        if (release.is_finished())
            state.releases_.past_.push_back(std::move(release));
        else
            state.releases_.active_ = std::move(release);
    }
    return state;
}

}  // namespace sumackeel::rollout
