#include "daemon/release_api.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace sumackeel::daemon {

using rollout::CommandResult;
using rollout::Outcome;

namespace {

constexpr std::string_view kReleasePrefix = "/ops/release/", kUpgradeLeasePrefix = "turn/";

// The rule that rejected the command, and the members that are out.
std::string rejection_reason(const CommandResult& result) {
    return fmt::format("{}{}{}", result.reason,
                       result.blocked_by.empty() ? "" : "; out: ", fmt::join(result.blocked_by, ","));
}

std::optional<rollout::ReleaseAction> parse_action(std::string_view name) {
    for (const auto action : {rollout::ReleaseAction::start, rollout::ReleaseAction::halt,
                              rollout::ReleaseAction::resume, rollout::ReleaseAction::roll_back})
        if (name == name_of(action)) return action;
    return std::nullopt;
}

}  // namespace

admin::ApiReply no_majority_reply() {
    return {503, "no majority of the voters answered, call again\n", false};
}

admin::ApiReply lease_reply(const std::optional<CommandResult>& result, const std::string& member) {
    if (!result) return no_majority_reply();
    if (result->outcome == Outcome::granted)
        return {200,
                fmt::format("{} out by lease {}{}{}\n", member, result->number,
                            result->reason.empty() ? "" : ", to run ", result->reason),
                false};
    return {409, fmt::format("not now: {}\n", rejection_reason(*result)), false};
}

admin::ApiReply explain_lease(const consensus::ConsensusClient& client, const std::string& member) {
    const auto result = client.explain(member);
    if (!result) return {404, fmt::format("nobody knows {}\n", member), false};
    for (const auto kind : {rollout::MemberKind::proxy, rollout::MemberKind::pop_cache})
        if (const rollout::Lease* lease = client.state().find(kind, member))
            return {200,
                    fmt::format("{} is out by lease {}, asked for by {}\n", member, lease->number,
                                lease->requested_by),
                    false};
    if (result->outcome == Outcome::granted) return {200, fmt::format("{} may leave\n", member), false};
    return {200, fmt::format("{} may not leave: {}\n", member, rejection_reason(*result)), false};
}

std::optional<admin::ApiReply> handle_release_call(consensus::ConsensusClient& client,
                                                   const admin::ApiCall& call,
                                                   const admin_server::DeferredReply& respond_later,
                                                   const std::vector<std::string>& proxies,
                                                   const std::string& self,
                                                   const std::function<void()>& on_own_lease_granted) {
    const bool forced = call.path.ends_with("?force=1");
    std::string_view action_name = call.path.substr(0, call.path.find('?'));
    action_name.remove_prefix(std::min(action_name.size(), kReleasePrefix.size()));
    if (call.method != "POST") return admin::ApiReply{405, "POST alone\n", false};
    if (action_name.starts_with(kUpgradeLeasePrefix)) {
        const std::string member(action_name.substr(kUpgradeLeasePrefix.size()));
        if (!admin::is_valid_id(member)) return admin::ApiReply{400, "no member in the path\n", false};
        client.request_upgrade_lease(
            member, forced,
            [respond_later, member, self, on_own_lease_granted](const std::optional<CommandResult>& result) {
                if (result && result->outcome == Outcome::none)
                    return respond_later({404, fmt::format("nothing to do: {}\n", result->reason), false});
                if (result && result->outcome == Outcome::granted && member == self) on_own_lease_granted();
                respond_later(lease_reply(result, member));
            },
            call.received_at);
        return std::nullopt;
    }
    const auto action = parse_action(action_name);
    if (!action) return admin::ApiReply{404, fmt::format("no call {}\n", call.path), false};
    rollout::ReleaseCommand command{.action = *action, .requested_by = self, .plan = {}, .live_members = {}};
    if (*action == rollout::ReleaseAction::start) try {
            command.plan = rollout::parse_plan(std::string(call.body), "plan", proxies);
        } catch (const std::exception& error) {
            return admin::ApiReply{400, fmt::format("{}\n", error.what()), false};
        }
    client.submit_release_command(
        command,
        [respond_later, action](const std::optional<CommandResult>& result) {
            if (!result) return respond_later(no_majority_reply());
            if (result->outcome != Outcome::granted)
                return respond_later({409, fmt::format("not now: {}\n", result->reason), false});
            respond_later({200, fmt::format("release {}: {}\n", result->number, name_of(*action)), false});
        },
        call.received_at);
    return std::nullopt;
}

}  // namespace sumackeel::daemon
