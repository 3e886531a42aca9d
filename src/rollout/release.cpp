#include "rollout/release.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace sumackeel::rollout {

namespace {

bool is_listed(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool is_consistent(const Plan& plan) {
    const std::size_t in_waves = std::accumulate(plan.waves.begin(), plan.waves.end(), std::size_t{0});
    return !plan.members.empty() && !plan.waves.empty() && in_waves == plan.members.size() &&
           plan.from != plan.to;
}

}  // namespace

const char* name_of(ReleaseStage stage) {
    constexpr std::array kNames = {"changing", "soaking", "going back", "halted", "done", "back"};
    return kNames.at(static_cast<std::size_t>(stage));
}

const char* name_of(ReleaseAction action) {
    constexpr std::array kNames = {"start", "halt", "resume", "back"};
    return kNames.at(static_cast<std::size_t>(action));
}

bool Release::contains(const std::string& member) const {
    return is_listed(plan.members, member);
}

std::string Release::lease_rejection(const std::string& member) const {
    if (stage == ReleaseStage::halted) return fmt::format("release {} is halted: {}", plan.name, reason);
    if (stage == ReleaseStage::soaking)
        return fmt::format("wave {} of {} soaks", wave + 1, plan.waves.size());
    if (stage == ReleaseStage::rolling_back) return {};
    const auto found = std::find(plan.members.begin(), plan.members.end(), member);
    if (found - plan.members.begin() < static_cast<std::ptrdiff_t>(plan.members_through(wave))) return {};
    return fmt::format("wave {} of {} is changed first", wave + 1, plan.waves.size());
}

void Releases::enter(ReleaseStage stage, Micros now, const std::string& reason, const std::string& by) {
    if (stage == ReleaseStage::halted) active_->halted_stage = active_->stage;
    active_->stage = stage;
    active_->since = now;
    active_->reason = reason;
    active_->by = by;
    ++active_->steps;
}

std::string Releases::apply(const ReleaseCommand& command) {
    if (command.action == ReleaseAction::start) return on_start(command);
    if (!active_) return "no release is under way";
    switch (command.action) {
        case ReleaseAction::start:
            break;
        case ReleaseAction::halt:
            return on_halt(command);
        case ReleaseAction::resume:
            return on_resume(command);
        case ReleaseAction::roll_back:
            return on_roll_back(command);
    }
    return {};
}

std::string Releases::on_start(const ReleaseCommand& command) {
    if (active_) {
        if (active_->plan == command.plan) return {};  // a repeated command
        return fmt::format("release {} is under way ({})", active_->plan.name, name_of(active_->stage));
    }
    const Plan& plan = command.plan;
    if (!is_consistent(plan)) return "the plan does not add up";
    for (const std::string& member : plan.members)
        if (!is_listed(command.live_members, member)) return fmt::format("{} is not there", member);
    active_.emplace();
    active_->number = ++last_number_;
    active_->plan = plan;
    enter(ReleaseStage::changing, command.now, "started", command.requested_by);
    return {};
}

std::string Releases::on_halt(const ReleaseCommand& command) {
    if (active_->stage != ReleaseStage::halted)
        enter(ReleaseStage::halted, command.now, "told to halt", command.requested_by);
    return {};
}

std::string Releases::on_resume(const ReleaseCommand& command) {
    if (active_->stage != ReleaseStage::halted)
        return fmt::format("release {} is not halted", active_->plan.name);
    active_->skipped_members.clear();
    for (const std::string& member : active_->plan.members)
        if (!is_listed(command.live_members, member)) active_->skipped_members.push_back(member);
    enter(active_->halted_stage, command.now, "told to go on", command.requested_by);
    return {};
}

std::string Releases::on_roll_back(const ReleaseCommand& command) {
    if (active_->stage != ReleaseStage::rolling_back)
        enter(ReleaseStage::rolling_back, command.now, "told to go back", command.requested_by);
    return {};
}

void Releases::on_lease_returned(std::uint64_t release, const std::string& member,
                                 const RunningVersion& running) {
    if (active_ && active_->number == release && running.start > 0 && active_->contains(member))
        active_->reported_versions[member] = running;
}

bool Releases::apply(const ReleaseStep& step) {
    if (!active_ || active_->number != step.release || active_->steps != step.expected_steps) return false;
    if (active_->stage == ReleaseStage::halted || step.wave >= active_->plan.waves.size()) return false;
    active_->wave = step.wave;
    if (step.baseline) active_->baseline = step.baseline;
    enter(step.to, step.now, step.reason.substr(0, kMaxReasonLength), {});
    if (!active_->is_finished()) return true;
    if (past_.size() >= kMaxPastReleases) past_.erase(past_.begin());
    past_.push_back(std::move(*active_));
    active_.reset();
    return true;
}

}  // namespace sumackeel::rollout
