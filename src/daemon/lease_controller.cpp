#include "daemon/lease_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

#include "base/log.h"
#include "daemon/release_api.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

constexpr Micros kReturnRetryDelay = 500'000;
constexpr Micros kReplyTimeout = 950'000;  // operators' calls are answered within 1 s
constexpr std::size_t kBytesPerKilobyte = 1024;

}  // namespace

void LeaseController::start(const config::Consensus& settings, Micros max_confirmed_age) {
    Components& parts = components_;
    parts.budget_view =
        std::make_unique<DisruptionBudgetView>(parts.config.site, settings.removed_counts_for);
    parts.consensus_client = std::make_unique<consensus::ConsensusClient>(
        parts.loop, *parts.cluster_transport, settings,
        consensus::ConsensusClient::Options{
            .wait_for_folder = parts.has_inherited_socket(),
            .max_confirmed_age = max_confirmed_age,
        },
        [&parts](rollout::MemberKind kind) {
            return kind == rollout::MemberKind::proxy
                       ? parts.budget_view->proxies(parts.cluster_transport->membership(),
                                                    parts.admin_state.is_draining_clients())
                       : parts.budget_view->pop_caches(parts.endpoint_manager->view(),
                                                       parts.loop.clock().now());
        },
        [this, &parts](const rollout::State& state) {
            log::info("consensus: state_changed revision={} leases={}", state.revision(),
                      state.leases().size());
            std::erase_if(parts.granted_leases,
                          [&state](const auto& granted) { return granted.second <= state.last_number(); });
            applier_.apply();
            applier_.persist();
            follow_own_lease();
            if (parts.release_coordinator) parts.release_coordinator->changed();
        });
    parts.release_coordinator = std::make_unique<consensus::ReleaseCoordinator>(
        parts.loop, *parts.cluster_transport, *parts.consensus_client, [this] { return member_metrics(); },
        [&parts] { return parts.admin_state.is_ready(); });
}

// A drain that another process of this proxy has stopped is not started again for the same lease, which this
// one may still show for a moment.
void LeaseController::adopt_drain_request() {
    const bool was_wanted = std::exchange(drain_wanted_, components_.admin_state.drain_requested());
    if (!was_wanted || drain_wanted_ || !components_.consensus_client) return;
    const std::string& self = components_.cluster_transport->membership().self().name;
    const rollout::Lease* lease =
        components_.consensus_client->state().find(rollout::MemberKind::proxy, self);
    if (lease) stopped_lease_ = lease->number;
}

// An upgrade lease is finished once this process replaced the one that it was granted to, runs the release's
// version, or no release is active.
void LeaseController::follow_own_lease() {
    Components& parts = components_;
    if (!parts.consensus_client) return;
    const cluster::MemberRecord& self = parts.cluster_transport->membership().self();
    const rollout::State& state = parts.consensus_client->state();
    const rollout::Lease* lease = state.find(rollout::MemberKind::proxy, self.name);
    const rollout::Release* release = state.releases().active();
    if (lease && lease->release != 0 && lease->number != stopped_lease_ &&
        parts.admin_state.phase() != admin::ProcessPhase::starting) {
        const bool finished = self.incarnation.start > lease->start || !release ||
                              self.software_version == release->target_version();
        if (finished == drain_wanted_) {
            drain_wanted_ = !finished;
            if (finished)
                parts.admin_state.stop_drain();
            else
                parts.admin_state.start_drain();
            applier_.on_drain_called();
        }
    }
    return_own_lease();
}

// If this proxy serves again, or a process that serves has replaced it, nobody else returns its lease.
void LeaseController::return_own_lease() {
    Components& parts = components_;
    const std::string& name =
        parts.cluster_transport ? parts.cluster_transport->membership().self().name : parts.config.name;
    if (!parts.consensus_client || drain_wanted_ || return_in_progress_ || !parts.admin_state.is_ready() ||
        !parts.consensus_client->state().find(rollout::MemberKind::proxy, name))
        return;
    return_in_progress_ = true;
    parts.consensus_client->return_lease(rollout::MemberKind::proxy, name, name,
                                         [this, &parts](const std::optional<rollout::CommandResult>& result) {
                                             return_in_progress_ = false;
                                             if (result) return;
                                             parts.loop.timers().schedule(
                                                 parts.loop.clock().now() + kReturnRetryDelay,
                                                 [this] { return_own_lease(); });
                                         });
}

bool LeaseController::handle_lease_call(const admin::ApiCall& call,
                                        const admin_server::DeferredReply& respond_later) {
    using Action = admin::ParsedPath::Action;
    const admin::ParsedPath parsed = admin::parse_path(call.path.substr(0, call.path.find('?')));
    if (call.method != "POST" || parsed.action == Action::other) return false;
    const bool is_drain = parsed.action == Action::drain_start || parsed.action == Action::drain_stop;
    // An unknown endpoint is rejected by the handler for calls that need no lease.
    if (!is_drain && (!admin::is_valid_id(parsed.id) || !components_.endpoint_manager->is_known(parsed.id)))
        return false;
    const std::string self = components_.cluster_transport->membership().self().name;
    const LeaseCall lease_call{
        .target = is_drain ? Target{rollout::MemberKind::proxy, self}
                           : Target{rollout::MemberKind::pop_cache, parsed.id},
        .requested_by = self,
        .forced = call.path.ends_with("?force=1"),
        .called_at = call.received_at.value_or(components_.loop.clock().now()),
    };
    if (parsed.action == Action::down || parsed.action == Action::drain_start)
        request_lease(lease_call, respond_later);
    else
        return_lease(lease_call, respond_later);
    return true;
}

void LeaseController::request_lease(const LeaseCall& call, const admin_server::DeferredReply& respond_later) {
    if (call.target.kind == rollout::MemberKind::proxy) drain_wanted_ = true;
    components_.consensus_client->request_lease(
        call.target.kind, call.target.member, call.requested_by, call.forced,
        [this, respond_later, target = call.target,
         called_at = call.called_at](const std::optional<rollout::CommandResult>& result) {
            reply_when_durable(on_lease_result(result, target), respond_later, called_at);
        },
        call.called_at);
}

void LeaseController::return_lease(const LeaseCall& call, const admin_server::DeferredReply& respond_later) {
    Components& parts = components_;
    const auto& [kind, member] = call.target;
    if (kind == rollout::MemberKind::proxy) {
        if (const rollout::Lease* lease = parts.consensus_client->state().find(kind, member))
            stopped_lease_ = lease->number;
        drain_wanted_ = false;
        parts.admin_state.stop_drain();
        applier_.on_drain_called();
    }
    parts.consensus_client->return_lease(
        kind, member, call.requested_by,
        [this, &parts, respond_later, target = call.target,
         called_at = call.called_at](const std::optional<rollout::CommandResult>& result) {
            if (!result) return respond_later(no_majority_reply());
            if (target.kind == rollout::MemberKind::pop_cache) parts.granted_leases.erase(target.member);
            reply_when_durable({200, "up " + target.member + "\n", false}, respond_later, called_at);
        },
        call.called_at);
}

admin::ApiReply LeaseController::on_lease_result(const std::optional<rollout::CommandResult>& result,
                                                 const Target& target) {
    Components& parts = components_;
    const bool granted = result && result->outcome == rollout::Outcome::granted;
    if (target.kind != rollout::MemberKind::proxy) {
        if (granted) on_pop_cache_granted(target.member, result->number);
        return lease_reply(result, target.member);
    }
    if (!granted) {
        drain_wanted_ = parts.admin_state.drain_requested();
        return lease_reply(result, target.member);
    }
    // A process that is shutting down or not ready yet can't drain; the lease goes back.
    if (parts.admin_state.start_drain() != admin::ChangeResult::accepted) {
        drain_wanted_ = false;
        parts.consensus_client->return_lease(rollout::MemberKind::proxy, target.member, target.member,
                                             [](const auto&) {});
        return {409, fmt::format("not while {}\n", admin::name_of(parts.admin_state.phase())), false};
    }
    applier_.on_drain_called();
    return lease_reply(result, target.member);
}

// Applied at once, and written to disk before the call is answered: of the proxies that know of the lease
// this one may be the only one that returns after a loss of power.
void LeaseController::on_pop_cache_granted(const std::string& id, std::uint64_t number) {
    Components& parts = components_;
    if (number > parts.consensus_client->state().last_number() &&
        parts.granted_leases.size() < admin::kMaxBans)
        parts.granted_leases[id] = number;
    applier_.on_state_changed();
}

void LeaseController::reply_when_durable(admin::ApiReply reply,
                                         const admin_server::DeferredReply& respond_later, Micros called_at) {
    if (reply.status != 200) return respond_later(reply);
    const Micros wait = called_at + kReplyTimeout - components_.loop.clock().now();
    if (auto at_once = components_.durable_replies.reply_when_durable(std::move(reply), respond_later, wait))
        respond_later(*at_once);
}

std::optional<admin::ApiReply> LeaseController::handle_release_call(
    const admin::ApiCall& call, const admin_server::DeferredReply& respond_later) {
    Components& parts = components_;
    if (call.path == "/ops/release" && call.method == "GET")
        return admin::ApiReply{200, parts.release_coordinator->as_json(), false};
    const cluster::Membership& membership = parts.cluster_transport->membership();
    std::vector<std::string> proxies;
    for (const rollout::FleetMember& proxy : parts.budget_view->proxies(membership, false))
        proxies.push_back(proxy.name);
    std::sort(proxies.begin(), proxies.end());
    return daemon::handle_release_call(*parts.consensus_client, call, respond_later, proxies,
                                       membership.self().name, [this] { on_upgrade_lease_granted(); });
}

// Does not wait for the state change of the replicated log, which arrives later.
void LeaseController::on_upgrade_lease_granted() {
    if (std::exchange(drain_wanted_, true)) return;
    components_.admin_state.start_drain();
    applier_.on_drain_called();
}

rollout::MemberMetrics LeaseController::member_metrics() const {
    const core::Metrics& metrics = components_.core.metrics();
    const auto count = [&metrics](core::ResponseStatus status) {
        return metrics.responses[static_cast<std::size_t>(status)];
    };
    rollout::MemberMetrics result;
    result.served = count(core::ResponseStatus::served) + count(core::ResponseStatus::not_modified);
    result.rejected = count(core::ResponseStatus::rejected);
    result.failed = count(core::ResponseStatus::failed) + count(core::ResponseStatus::deadline_exceeded);
    result.latency_histogram = metrics.latency_histogram;
    result.dispatch_time_us = metrics.dispatch_time_us;
    result.dispatched = metrics.dispatched;
    std::size_t resident_bytes = 0;
    if (uv_resident_set_memory(&resident_bytes) == 0) result.memory_kb = resident_bytes / kBytesPerKilobyte;
    return result;
}

}  // namespace sumackeel::daemon
