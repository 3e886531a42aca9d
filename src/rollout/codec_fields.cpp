#include "rollout/codec_fields.h"

namespace sumackeel::rollout::fields {

namespace {

constexpr std::size_t kGateRatios = 2;  // encoded as a nested array
constexpr std::size_t kReportedVersionSize = 3;

void write_sum(MsgpackWriter& writer, const MetricsSum& sum) {
    writer.array(8).add(sum.requests, sum.in_time, sum.rejected, sum.failed, sum.dispatch_time_us,
                        sum.dispatched, sum.memory_kb, sum.members);
}

}  // namespace

void require(bool condition, CodecError::Code code) {
    if (!condition) throw CodecError(code);
}

void require_version(MsgpackReader& reader) {
    require(reader.next<int>() == kVersion, CodecError::Code::unsupported_version);
}

void write(MsgpackWriter& writer, const Lease& lease) {
    writer.array(9).add(lease.number, static_cast<int>(lease.kind), lease.member, lease.zone,
                        lease.requested_by, lease.since, lease.forced, lease.release, lease.start);
}

Lease read_lease(MsgpackReader reader) {
    Lease lease;
    lease.number = reader.next<std::uint64_t>();
    lease.kind = reader.enumeration(MemberKind::pop_cache);
    lease.member = reader.text(kMaxNameLength);
    lease.zone = reader.text(kMaxNameLength);
    lease.requested_by = reader.text(kMaxNameLength);
    lease.since = reader.next<Micros>();
    lease.forced = reader.next<bool>();
    if (reader.remaining() < 2) return lease;  // encoded by a version without releases
    lease.release = reader.next<std::uint64_t>();
    lease.start = reader.next<std::uint64_t>();
    return lease;
}

void write(MsgpackWriter& writer, const std::optional<MetricsSum>& sum) {
    if (sum)
        write_sum(writer, *sum);
    else
        writer.array(0);
}

std::optional<MetricsSum> read_metrics_sum(MsgpackReader reader) {
    if (reader.remaining() == 0) return std::nullopt;
    MetricsSum sum;
    sum.requests = reader.next<std::uint64_t>();
    sum.in_time = reader.next<std::uint64_t>();
    sum.rejected = reader.next<std::uint64_t>();
    sum.failed = reader.next<std::uint64_t>();
    sum.dispatch_time_us = reader.next<std::uint64_t>();
    sum.dispatched = reader.next<std::uint64_t>();
    sum.memory_kb = reader.next<std::uint64_t>();
    sum.members = reader.next<std::uint64_t>();
    return sum;
}

void write(MsgpackWriter& writer, const Plan& plan) {
    const GateThresholds& gate = plan.gate;
    writer.array(14)
        .add(plan.name, plan.subject, plan.from, plan.to, plan.members, plan.waves, plan.soak,
             plan.wave_timeout, gate.in_time, gate.max_late_increase, gate.max_failure_increase,
             gate.max_rejection_increase)
        .array(kGateRatios)
        .add(gate.max_dispatch_time_ratio, gate.max_memory_ratio)
        .add(gate.min_requests);
}

Plan read_plan(MsgpackReader reader) {
    Plan plan;
    plan.name = reader.text(kMaxNameLength);
    plan.subject = reader.text(kMaxNameLength);
    plan.from = reader.text(kMaxNameLength);
    plan.to = reader.text(kMaxNameLength);
    plan.members = read_names(reader.list(kMaxReleaseMembers));
    for (MsgpackReader waves = reader.list(kMaxReleaseMembers); waves.remaining() > 0;)
        plan.waves.push_back(waves.next<std::uint32_t>());
    plan.soak = reader.next<Micros>();
    plan.wave_timeout = reader.next<Micros>();
    plan.gate.in_time = reader.next<Micros>();
    plan.gate.max_late_increase = reader.next<double>();
    plan.gate.max_failure_increase = reader.next<double>();
    plan.gate.max_rejection_increase = reader.next<double>();
    MsgpackReader ratios = reader.array(kGateRatios);
    plan.gate.max_dispatch_time_ratio = ratios.next<double>();
    plan.gate.max_memory_ratio = ratios.next<double>();
    plan.gate.min_requests = reader.next<std::uint64_t>();
    return plan;
}

void write(MsgpackWriter& writer, const Release& release) {
    writer.array(kReleaseSize).add(release.number, release.steps);
    write(writer, release.plan);
    writer.add(static_cast<int>(release.stage), static_cast<int>(release.halted_stage), release.wave,
               release.since, release.reason, release.by);
    write(writer, release.baseline);
    writer.add(release.skipped_members).array(release.reported_versions.size());
    for (const auto& [member, running] : release.reported_versions)
        writer.array(kReportedVersionSize).add(member, running.start, running.version);
}

Release read_release(MsgpackReader reader) {
    Release release;
    release.number = reader.next<std::uint64_t>();
    release.steps = reader.next<std::uint64_t>();
    release.plan = read_plan(reader.array(kPlanSize));
    release.stage = reader.enumeration(ReleaseStage::rolled_back);
    release.halted_stage = reader.enumeration(ReleaseStage::rolled_back);
    release.wave = reader.next<std::uint32_t>();
    release.since = reader.next<Micros>();
    release.reason = reader.text(kMaxReasonLength);
    release.by = reader.text(kMaxNameLength);
    release.baseline = read_metrics_sum(reader.array(0));
    release.skipped_members = read_names(reader.list(kMaxReleaseMembers));
    for (MsgpackReader versions = reader.list(kMaxReleaseMembers); versions.remaining() > 0;) {
        MsgpackReader version = versions.array(kReportedVersionSize);
        const std::string member = version.text(kMaxNameLength);
        release.reported_versions[member] = read_running_version(version);
    }
    const Plan& plan = release.plan;
    require(
        release.wave < plan.waves.size() && plan.members_through(plan.waves.size()) == plan.members.size(),
        CodecError::Code::inconsistent);
    return release;
}

RunningVersion read_running_version(MsgpackReader& reader) {
    RunningVersion running;
    running.start = reader.next<std::uint64_t>();
    running.version = reader.text(kMaxNameLength);
    return running;
}

std::vector<std::string> read_names(MsgpackReader reader) {
    std::vector<std::string> names;
    while (reader.remaining() > 0) names.push_back(reader.text(kMaxNameLength));
    return names;
}

}  // namespace sumackeel::rollout::fields
