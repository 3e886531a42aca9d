#include "rollout/release_watch.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <bit>

#include "rollout/gate.h"

namespace sumackeel::rollout {

namespace {

// A longer gap between two calls means that the leader was suspended and its observations are stale.
constexpr Micros kMaxCallInterval = 3'000'000;
// Members report every 0.5 s, less often in large fleets; after this time a member counts as silent.
constexpr Micros kReportTimeout = 10'000'000;

bool is_listed(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

ReleaseStep step_to(const Release& release, ReleaseStage stage, std::string reason) {
    return {.release = release.number,
            .expected_steps = release.steps,
            .to = stage,
            .wave = release.wave,
            .now = 0,
            .reason = std::move(reason),
            .baseline = {}};
}

ReleaseStep halt(const Release& release, std::string reason) {
    return step_to(release, ReleaseStage::halted, std::move(reason));
}

ReleaseStep fail_gate(const Release& release, const std::string& subject, const std::string& reason) {
    return halt(release, fmt::format("gate of wave {}: {}{}", release.wave + 1, subject, reason));
}

std::vector<std::string> members_of_wave(const Release& release) {
    const Plan& plan = release.plan;
    const std::size_t end = plan.members_through(release.wave);
    const std::size_t begin = end - plan.waves[release.wave];
    return {plan.members.begin() + static_cast<std::ptrdiff_t>(begin),
            plan.members.begin() + static_cast<std::ptrdiff_t>(end)};
}

// The number of latency buckets that count responses in time.
std::size_t buckets_in_time(Micros in_time) {
    const auto milliseconds = static_cast<std::uint64_t>(std::max<Micros>(1, in_time / 1'000));
    return std::min<std::size_t>(kLatencyBuckets, std::bit_width(std::bit_ceil(milliseconds)));
}

// The metrics of one member between two of its reports.
MetricsSum difference(const MemberMetrics& first, const MemberMetrics& last, Micros in_time) {
    MetricsSum sum;
    sum.requests = last.requests() - first.requests();
    sum.rejected = last.rejected - first.rejected;
    sum.failed = last.failed - first.failed;
    sum.dispatch_time_us = last.dispatch_time_us - first.dispatch_time_us;
    sum.dispatched = last.dispatched - first.dispatched;
    for (std::size_t i = 0; i < buckets_in_time(in_time); ++i)
        sum.in_time += last.latency_histogram[i] - first.latency_histogram[i];
    sum.memory_kb = last.memory_kb;
    sum.members = 1;
    return sum;
}

}  // namespace

void ReleaseWatch::on_report(const MemberReport& report, Micros now) {
    const auto [found, inserted] = observations_.try_emplace(report.member, Observation{report, report, now});
    Observation& observation = found->second;
    const MemberReport& last = observation.last;
    if (report.start < last.start) return;  // from a replaced process
    // A new process of the member, or a reload with other settings, starts a new observation.
    if (report.start > last.start || report.version != last.version ||
        report.metrics.requests() < last.metrics.requests())
        observation.first = report;
    observation.last = report;
    observation.reported_at = now;
}

void ReleaseWatch::begin_stage(const Release& release, Micros now) {
    // The known start numbers stay valid for the directly following step, so that a restart between two calls
    // is detected. After a halt or a gap they do not.
    if (release.number != release_number_ || release.steps != release_steps_ + 1) starts_.clear();
    release_number_ = release.number;
    release_steps_ = release.steps;
    stage_began_ = now;
    observations_.clear();
    changed_ = MetricsSum{};
    unchanged_ = MetricsSum{};
}

// Returns a member of the plan that restarted without a lease; empty: none.
std::string ReleaseWatch::find_unexpected_restart(const Release& release,
                                                  const std::vector<MemberStatus>& members) {
    for (const MemberStatus& member : members) {
        if (!release.contains(member.name)) continue;
        std::uint64_t start = member.start;
        const auto observed = observations_.find(member.name);
        if (observed != observations_.end()) start = std::max(start, observed->second.last.start);
        const auto [known, inserted] = starts_.try_emplace(member.name, start);
        if (start <= known->second) continue;
        // The first restart of the process that was granted the lease is expected.
        const auto lease = lease_starts_.find(member.name);
        const bool expected =
            member.leased || (lease != lease_starts_.end() && known->second <= lease->second);
        known->second = start;
        if (!expected) return member.name;
    }
    return {};
}

ReleaseWatch::Deviations ReleaseWatch::find_deviations(const Release& release,
                                                       const std::vector<MemberStatus>& members) {
    std::map<std::string, const MemberStatus*> by_name;
    for (const MemberStatus& member : members) by_name[member.name] = &member;
    const Plan& plan = release.plan;
    const bool rolling_back = release.stage == ReleaseStage::rolling_back;
    const std::size_t due = rolling_back ? plan.members.size() : plan.members_through(release.wave);
    Deviations deviations;
    for (std::size_t i = 0; i < plan.members.size(); ++i) {
        const std::string& name = plan.members[i];
        const auto found = by_name.find(name);
        const MemberStatus* member = found == by_name.end() ? nullptr : found->second;
        const bool has_target_version = member && member->version == release.target_version();
        const bool skipped = is_listed(release.skipped_members, name);
        if (!member || (member->gone && !member->leased)) {
            if (!skipped && !(rolling_back && has_target_version)) deviations.lost.push_back(name);
            continue;
        }
        const bool changed = has_target_version && member->serving;
        const bool tolerated = skipped && release.stage == ReleaseStage::soaking;
        if (i < due && !changed && !tolerated) deviations.unchanged.push_back(name);
    }
    return deviations;
}

void ReleaseWatch::sum_metrics(const Release& release, const std::vector<MemberStatus>& members) {
    changed_ = MetricsSum{};
    unchanged_ = MetricsSum{};
    by_changed_member_.clear();
    const std::vector<std::string> wave = members_of_wave(release);
    for (const MemberStatus& member : members) {
        const auto found = observations_.find(member.name);
        if (found == observations_.end() || !member.alive) continue;
        const Observation& observation = found->second;
        const bool in_wave = is_listed(wave, member.name);
        if (!in_wave && (observation.last.version != release.plan.from || !member.serving)) continue;
        const MetricsSum sum =
            difference(observation.first.metrics, observation.last.metrics, release.plan.gate.in_time);
        (in_wave ? changed_ : unchanged_) += sum;
        if (in_wave) by_changed_member_[member.name] = sum;
    }
}

// Returns a member of the wave that has not reported within kReportTimeout; empty: none.
std::string ReleaseWatch::find_silent_member(const Release& release, Micros now) const {
    for (const std::string& name : members_of_wave(release)) {
        if (is_listed(release.skipped_members, name)) continue;
        const auto found = observations_.find(name);
        if (found == observations_.end() || now - found->second.reported_at > kReportTimeout) return name;
    }
    return {};
}

std::optional<ReleaseStep> ReleaseWatch::next_step(const Release& release,
                                                   const std::vector<MemberStatus>& members, Micros now) {
    const bool same_stage = release.number == release_number_ && release.steps == release_steps_;
    if (!same_stage || now - last_call_ > kMaxCallInterval) begin_stage(release, now);
    last_call_ = now;
    if (release.stage == ReleaseStage::halted || release.is_finished()) return std::nullopt;

    const Deviations deviations = find_deviations(release, members);
    if (release.stage == ReleaseStage::rolling_back) return on_rolling_back(release, deviations, now);
    if (const std::string name = find_unexpected_restart(release, members); !name.empty())
        return halt(release, name + " started anew without a turn");
    if (!deviations.lost.empty())
        return halt(release, fmt::format("lost {}", fmt::join(deviations.lost, ",")));
    if (release.stage == ReleaseStage::changing) return on_changing(release, deviations, now);
    if (!deviations.unchanged.empty())
        return halt(release, fmt::format("{} went back or out while wave {} soaked",
                                         fmt::join(deviations.unchanged, ","), release.wave + 1));
    return on_soaking(release, members, now);
}

std::optional<ReleaseStep> ReleaseWatch::on_rolling_back(const Release& release, const Deviations& deviations,
                                                         Micros now) const {
    const Plan& plan = release.plan;
    if (!deviations.unchanged.empty()) return std::nullopt;
    // Lost members get the time limit of one wave to return: an operator may be reinstalling them.
    if (!deviations.lost.empty() && now - stage_began_ < plan.wave_timeout) return std::nullopt;
    const std::string reason = deviations.lost.empty() ? "all run " + plan.from
                                                       : fmt::format("without {}, which are not there",
                                                                     fmt::join(deviations.lost, ","));
    return step_to(release, ReleaseStage::rolled_back, reason);
}

std::optional<ReleaseStep> ReleaseWatch::on_changing(const Release& release, const Deviations& deviations,
                                                     Micros now) const {
    const Plan& plan = release.plan;
    if (deviations.unchanged.empty())
        return step_to(release, ReleaseStage::soaking,
                       fmt::format("wave {} runs {}", release.wave + 1, plan.to));
    if (now - stage_began_ < plan.wave_timeout) return std::nullopt;
    return halt(release, fmt::format("{} not back with {} in {} s", fmt::join(deviations.unchanged, ","),
                                     plan.to, plan.wave_timeout / base::kSecond));
}

std::optional<ReleaseStep> ReleaseWatch::on_soaking(const Release& release,
                                                    const std::vector<MemberStatus>& members, Micros now) {
    const Plan& plan = release.plan;
    sum_metrics(release, members);
    const bool soak_complete = now - stage_began_ >= plan.soak;
    // In the last waves too few members are unchanged; use the metrics of the last passed gate instead.
    const bool use_baseline = unchanged_.requests < plan.gate.min_requests && release.baseline;
    const MetricsSum& unchanged = use_baseline ? *release.baseline : unchanged_;
    // A single bad member among many would not be visible in the sum.
    for (const auto& [name, sum] : by_changed_member_) {
        const GateResult result = evaluate_gate(sum, unchanged, plan.gate, false);
        if (result.outcome == GateOutcome::failed) return fail_gate(release, name + ": ", result.reason);
    }
    const GateResult result = evaluate_gate(changed_, unchanged, plan.gate, soak_complete);
    if (result.outcome == GateOutcome::failed) return fail_gate(release, "", result.reason);
    if (result.outcome == GateOutcome::undecided) return std::nullopt;
    if (const std::string name = find_silent_member(release, now); !name.empty())
        return fail_gate(release, name, " reports nothing");

    const bool is_last_wave = release.wave + 1 >= plan.waves.size();
    ReleaseStep step = step_to(release, is_last_wave ? ReleaseStage::done : ReleaseStage::changing,
                               fmt::format("the gate of wave {} is passed", release.wave + 1));
    if (!is_last_wave) ++step.wave;
    if (!use_baseline) step.baseline = unchanged_;
    return step;
}

}  // namespace sumackeel::rollout
