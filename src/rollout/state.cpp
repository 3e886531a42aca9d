#include "rollout/state.h"

#include <fmt/format.h>

#include <algorithm>

#include "rollout/disruption_budget.h"

namespace sumackeel::rollout {

namespace {

CommandResult rejected(std::string reason, std::vector<std::string> blocked_by = {}) {
    return {Outcome::rejected, 0, std::move(reason), std::move(blocked_by)};
}

CommandResult not_needed(std::string reason) {
    return {Outcome::none, 0, std::move(reason), {}};
}

// The requesting member's entry in the fleet; null if the fleet does not list it.
const FleetMember* find_requested(const LeaseRequest& request) {
    const auto found = std::find_if(request.fleet.begin(), request.fleet.end(),
                                    [&](const FleetMember& member) { return member.name == request.member; });
    return found == request.fleet.end() ? nullptr : &*found;
}

}  // namespace

const char* name_of(MemberKind kind) {
    return kind == MemberKind::proxy ? "proxy" : "pop cache";
}

const Lease* State::find(MemberKind kind, const std::string& member) const {
    const auto found = leases_.find({kind, member});
    return found == leases_.end() ? nullptr : &found->second;
}

// For upgrade leases only.
std::optional<CommandResult> State::upgrade_not_needed(const LeaseRequest& request) const {
    const Release* release = releases_.active();
    if (!release || release->number != request.release) return not_needed("that release is over");
    if (!release->contains(request.member)) return not_needed(request.member + " is not in the plan");
    if (request.running.version == release->target_version())
        return not_needed(fmt::format("{} runs {}", request.member, request.running.version));
    return std::nullopt;
}

CommandResult State::evaluate(const LeaseRequest& request) const {
    const bool is_upgrade = request.release != 0;
    if (is_upgrade)
        if (std::optional<CommandResult> result = upgrade_not_needed(request)) return *std::move(result);
    const Release* release = is_upgrade ? releases_.active() : nullptr;
    // The result of an upgrade lease request contains the version that the member has to run.
    const auto granted = [&](std::uint64_t number) {
        return CommandResult{
            Outcome::granted, number, release ? release->target_version() : std::string{}, {}};
    };
    if (const Lease* held = find(request.kind, request.member)) {
        if (!is_upgrade || held->release == request.release) return granted(held->number);
        return rejected(
            fmt::format("{} is out by lease {} of {}", request.member, held->number, held->requested_by));
    }
    const FleetMember* member = find_requested(request);
    if (!member) return rejected(fmt::format("no {} {} is known", name_of(request.kind), request.member));
    if (release)
        if (std::string reason = release->lease_rejection(request.member); !reason.empty())
            return rejected(std::move(reason));
    if (leases_.size() >= kMaxLeases) return rejected("there are as many leases as there is room for");
    if (request.forced) return granted(last_number_ + 1);

    const auto last_return = last_return_by_zone_.find({request.kind, member->zone});
    const std::optional<Micros> last_return_in_zone =
        last_return == last_return_by_zone_.end() ? std::nullopt : std::optional(last_return->second);
    if (auto rejection = check_disruption_budget(request, *member, leases_, last_return_in_zone))
        return rejected(std::move(rejection->reason), std::move(rejection->blocked_by));
    return granted(last_number_ + 1);
}

CommandResult State::apply(const LeaseRequest& request) {
    CommandResult result = evaluate(request);
    if (result.outcome != Outcome::granted || find(request.kind, request.member)) return result;
    const Lease lease{.number = result.number,
                      .kind = request.kind,
                      .member = request.member,
                      .zone = find_requested(request)->zone,
                      .requested_by = request.requested_by,
                      .since = request.now,
                      .forced = request.forced,
                      .release = request.release,
                      .start = request.running.start};
    leases_[{request.kind, request.member}] = lease;
    last_number_ = result.number;
    ++revision_;
    if (request.forced) {
        if (forced_.size() >= kMaxForcedRecords) forced_.erase(forced_.begin());
        forced_.push_back(lease);
    }
    return result;
}

CommandResult State::apply(const LeaseReturn& lease_return) {
    const auto found = leases_.find({lease_return.kind, lease_return.member});
    if (found == leases_.end()) return {Outcome::none, 0, {}, {}};
    const Lease& lease = found->second;
    CommandResult result{Outcome::returned, lease.number, {}, {}};
    last_return_by_zone_[{lease_return.kind, lease.zone}] = lease_return.now;
    releases_.on_lease_returned(lease.release, lease_return.member, lease_return.running);
    leases_.erase(found);
    ++revision_;
    return result;
}

CommandResult State::apply(const ReleaseCommand& command) {
    const Release* before = releases_.active();
    const bool was_active = before != nullptr;
    const std::uint64_t steps_before = was_active ? before->steps : 0;
    if (std::string reason = releases_.apply(command); !reason.empty()) return rejected(std::move(reason));
    const Release& release = *releases_.active();
    if (!was_active || release.steps != steps_before) ++revision_;
    return {Outcome::granted, release.number, {}, {}};
}

CommandResult State::apply(const ReleaseStep& step) {
    if (!releases_.apply(step)) return not_needed("another step came first");
    ++revision_;
    return {Outcome::granted, step.release, {}, {}};
}

}  // namespace sumackeel::rollout
