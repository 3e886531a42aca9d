#include "rollout/codec.h"

#include <cmath>

#include "rollout/codec_fields.h"

namespace sumackeel::rollout {

namespace {

using base::MsgpackReader;
using base::MsgpackWriter;

enum class CommandType : int {
    lease_request = 1,
    lease_return = 2,
    release_command = 3,
    release_step = 4,
};

constexpr std::size_t kHeaderSize = 2;  // version and type
constexpr std::size_t kMinCommandSize = 6;
constexpr std::size_t kMinLeaseRequestSize = 12;  // as encoded by versions without releases
constexpr std::size_t kReleaseCommandSize = 7;
constexpr std::size_t kFleetMemberSize = 6;
constexpr std::size_t kResultSize = 4;
constexpr std::size_t kReportSize = 4;
constexpr std::size_t kMetricsSize = 7;

MsgpackWriter& begin_command(MsgpackWriter& writer, CommandType type, std::size_t fields) {
    return writer.array(kHeaderSize + fields).add(fields::kVersion, static_cast<int>(type));
}

FleetMember read_fleet_member(MsgpackReader reader) {
    FleetMember member;
    member.name = reader.text(kMaxNameLength);
    member.zone = reader.text(kMaxNameLength);
    member.parent_region = reader.text(kMaxNameLength);
    member.weight = reader.next<double>();
    member.unavailable = reader.next<bool>();
    member.unavailable_reason = reader.text(kMaxNameLength);
    fields::require(std::isfinite(member.weight) && member.weight >= 0, CodecError::Code::inconsistent);
    return member;
}

LeaseRequest read_lease_request(MsgpackReader& reader) {
    LeaseRequest request;
    request.kind = reader.enumeration(MemberKind::pop_cache);
    request.member = reader.text(kMaxNameLength);
    request.requested_by = reader.text(kMaxNameLength);
    request.forced = reader.next<bool>();
    request.now = reader.next<Micros>();
    request.budget.max_unavailable_in_zone = reader.next<int>();
    request.budget.max_zone_weight_share = reader.next<double>();
    request.budget.max_unavailable = reader.next<int>();
    request.budget.min_interval_in_zone = reader.next<Micros>();
    for (MsgpackReader fleet = reader.list(kMaxMembers); fleet.remaining() > 0;)
        request.fleet.push_back(read_fleet_member(fleet.array(kFleetMemberSize)));
    if (reader.remaining() < 3) return request;  // encoded by a version without releases
    request.release = reader.next<std::uint64_t>();
    request.running = fields::read_running_version(reader);
    return request;
}

LeaseReturn read_lease_return(MsgpackReader& reader) {
    LeaseReturn lease_return;
    lease_return.kind = reader.enumeration(MemberKind::pop_cache);
    lease_return.member = reader.text(kMaxNameLength);
    lease_return.requested_by = reader.text(kMaxNameLength);
    lease_return.now = reader.next<Micros>();
    if (reader.remaining() < 2) return lease_return;  // encoded by a version without releases
    lease_return.running = fields::read_running_version(reader);
    return lease_return;
}

ReleaseCommand read_release_command(MsgpackReader& reader) {
    ReleaseCommand command;
    command.action = reader.enumeration(ReleaseAction::roll_back);
    command.requested_by = reader.text(kMaxNameLength);
    command.now = reader.next<Micros>();
    command.plan = fields::read_plan(reader.array(fields::kPlanSize));
    command.live_members = fields::read_names(reader.list(kMaxMembers));
    return command;
}

ReleaseStep read_release_step(MsgpackReader& reader) {
    ReleaseStep step;
    step.release = reader.next<std::uint64_t>();
    step.expected_steps = reader.next<std::uint64_t>();
    step.to = reader.enumeration(ReleaseStage::rolled_back);
    step.wave = reader.next<std::uint32_t>();
    step.now = reader.next<Micros>();
    step.reason = reader.text(kMaxReasonLength);
    step.baseline = fields::read_metrics_sum(reader.array(0));
    return step;
}

MemberMetrics read_member_metrics(MsgpackReader reader) {
    MemberMetrics metrics;
    metrics.served = reader.next<std::uint64_t>();
    metrics.rejected = reader.next<std::uint64_t>();
    metrics.failed = reader.next<std::uint64_t>();
    MsgpackReader buckets = reader.list(kLatencyBuckets);
    for (std::uint64_t& bucket : metrics.latency_histogram) bucket = buckets.next<std::uint64_t>();
    metrics.dispatch_time_us = reader.next<std::uint64_t>();
    metrics.dispatched = reader.next<std::uint64_t>();
    metrics.memory_kb = reader.next<std::uint64_t>();
    return metrics;
}

}  // namespace

std::string encode(const LeaseRequest& request) {
    const DisruptionBudget& budget = request.budget;
    MsgpackWriter writer;
    begin_command(writer, CommandType::lease_request, 13)
        .add(static_cast<int>(request.kind), request.member, request.requested_by, request.forced,
             request.now, budget.max_unavailable_in_zone, budget.max_zone_weight_share,
             budget.max_unavailable, budget.min_interval_in_zone)
        .array(request.fleet.size());
    for (const FleetMember& member : request.fleet)
        writer.array(kFleetMemberSize)
            .add(member.name, member.zone, member.parent_region, member.weight, member.unavailable,
                 member.unavailable_reason);
    return writer.add(request.release, request.running.start, request.running.version).bytes();
}

std::string encode(const LeaseReturn& lease_return) {
    MsgpackWriter writer;
    return begin_command(writer, CommandType::lease_return, 6)
        .add(static_cast<int>(lease_return.kind), lease_return.member, lease_return.requested_by,
             lease_return.now, lease_return.running.start, lease_return.running.version)
        .bytes();
}

std::string encode(const ReleaseCommand& command) {
    MsgpackWriter writer;
    begin_command(writer, CommandType::release_command, 5)
        .add(static_cast<int>(command.action), command.requested_by, command.now);
    fields::write(writer, command.plan);
    return writer.add(command.live_members).bytes();
}

std::string encode(const ReleaseStep& step) {
    MsgpackWriter writer;
    begin_command(writer, CommandType::release_step, 7)
        .add(step.release, step.expected_steps, static_cast<int>(step.to), step.wave, step.now, step.reason);
    fields::write(writer, step.baseline);
    return writer.bytes();
}

ReleaseCommand decode_release_command(std::string_view command) {
    return fields::decode_array(command, kReleaseCommandSize, [](MsgpackReader& reader) {
        fields::require_version(reader);
        fields::require(reader.next<int>() == static_cast<int>(CommandType::release_command),
                        CodecError::Code::unknown_command);
        return read_release_command(reader);
    });
}

CommandResult apply(State& state, std::string_view command) {
    return fields::decode_array(command, kMinCommandSize, [&](MsgpackReader& reader) {
        fields::require_version(reader);
        switch (static_cast<CommandType>(reader.next<int>())) {
            case CommandType::lease_request:
                fields::require(reader.remaining() + kHeaderSize >= kMinLeaseRequestSize,
                                CodecError::Code::malformed);
                return state.apply(read_lease_request(reader));
            case CommandType::lease_return:
                return state.apply(read_lease_return(reader));
            case CommandType::release_command:
                return state.apply(read_release_command(reader));
            case CommandType::release_step:
                return state.apply(read_release_step(reader));
        }
        throw CodecError(CodecError::Code::unknown_command);
    });
}

std::string encode(const CommandResult& result) {
    MsgpackWriter writer;
    return writer.array(kResultSize)
        .add(static_cast<int>(result.outcome), result.number, result.reason, result.blocked_by)
        .bytes();
}

CommandResult decode_result(std::string_view bytes) {
    return fields::decode_array(bytes, kResultSize, [](MsgpackReader& reader) {
        CommandResult result;
        result.outcome = reader.enumeration(Outcome::none);
        result.number = reader.next<std::uint64_t>();
        result.reason = reader.next<std::string>();
        result.blocked_by = fields::read_names(reader.list(kMaxMembers));
        return result;
    });
}

std::string encode(const MemberReport& report) {
    const MemberMetrics& metrics = report.metrics;
    MsgpackWriter writer;
    return writer.array(kReportSize)
        .add(report.member, report.version, report.start)
        .array(kMetricsSize)
        .add(metrics.served, metrics.rejected, metrics.failed, metrics.latency_histogram,
             metrics.dispatch_time_us, metrics.dispatched, metrics.memory_kb)
        .bytes();
}

MemberReport decode_member_report(std::string_view bytes) {
    return fields::decode_array(bytes, kReportSize, [](MsgpackReader& reader) {
        MemberReport report;
        report.member = reader.text(kMaxNameLength);
        report.version = reader.text(kMaxNameLength);
        report.start = reader.next<std::uint64_t>();
        report.metrics = read_member_metrics(reader.array(kMetricsSize));
        return report;
    });
}

}  // namespace sumackeel::rollout
