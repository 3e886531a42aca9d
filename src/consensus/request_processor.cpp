#include "consensus/request_processor.h"

#include <algorithm>
#include <utility>

namespace sumackeel::consensus {

using base::Micros;
using rollout::CommandResult;
using rollout::MemberKind;

namespace {

rollout::DisruptionBudget budget_of(const config::DisruptionBudget& setup) {
    return {setup.max_unavailable_in_zone, setup.max_zone_weight_share, setup.max_unavailable,
            setup.min_interval_in_zone};
}

bool is_lease_request(RequestKind kind) {
    return kind == RequestKind::request_lease || kind == RequestKind::upgrade_lease;
}

}  // namespace

void RequestProcessor::process(const ConsensusRequest& request, RaftNode::ResultCallback done) {
    RaftNode& node = context_.voter.node();
    if (request.kind == RequestKind::read) return node.read(request.member, std::move(done));
    if (request.kind == RequestKind::take_leadership)
        return node.transfer_leadership(request.member, std::move(done));
    if (request.kind == RequestKind::change) {
        const auto purge = kv_store::purge_of_origin(request.body);
        if (purge && node.kv_store().has_purge_of_origin(*purge))
            return done(CommandResult{rollout::Outcome::granted, node.kv_store().last_purge(), {}, {}});
        return node.propose(kv_store::with_leader_time(request.body, context_.loop.clock().now()),
                            std::move(done));
    }
    // Without an active release there is no upgrade lease; proposed as a plain lease it would be granted.
    if (request.kind == RequestKind::upgrade_lease && !node.state().releases().active())
        return done(CommandResult{rollout::Outcome::none, 0, "no release is under way", {}});
    // A rejection needs no log entry: one based on an outdated state makes no member unavailable, and clients
    // retry.
    if (is_lease_request(request.kind)) {
        const CommandResult result = node.state().evaluate(lease_request(request));
        if (result.outcome != rollout::Outcome::granted) return done(result);
    }
    node.propose(encode_command(request), std::move(done));
}

std::string RequestProcessor::encode_command(const ConsensusRequest& request) const {
    if (request.kind == RequestKind::return_lease)
        return rollout::encode(rollout::LeaseReturn{request.member_kind, request.member, request.by,
                                                    context_.loop.clock().now(), request.running});
    if (request.kind == RequestKind::release_command) return encode_release_command(request);
    return rollout::encode(lease_request(request));
}

std::string RequestProcessor::encode_release_command(const ConsensusRequest& request) const {
    rollout::ReleaseCommand command = rollout::decode_release_command(request.body);
    command.now = context_.loop.clock().now();
    command.live_members.clear();
    for (const rollout::FleetMember& member : context_.fleet(MemberKind::proxy))
        if (!member.unavailable) command.live_members.push_back(member.name);
    return rollout::encode(command);
}

rollout::LeaseRequest RequestProcessor::lease_request(const ConsensusRequest& request) const {
    const bool is_proxy = request.member_kind == MemberKind::proxy;
    rollout::LeaseRequest lease{request.member_kind,
                                request.member,
                                request.by,
                                request.forced,
                                context_.loop.clock().now(),
                                budget_of(is_proxy ? context_.setup.proxies : context_.setup.pop_caches),
                                context_.fleet(request.member_kind)};
    if (!is_proxy) return lease;
    lease.running = context_.view.running_version_of(context_.transport.record_of(request.member));
    if (request.running.start >= lease.running.start) lease.running = request.running;
    const rollout::Release* release = context_.view.state().releases().active();
    if (request.kind == RequestKind::upgrade_lease && release) {
        lease.release = release->number;
        lease.requested_by = "release " + release->plan.name;
    }
    return lease;
}

std::optional<CommandResult> RequestProcessor::explain(const std::string& member) const {
    const rollout::State& state = context_.view.state();
    for (const MemberKind kind : {MemberKind::proxy, MemberKind::pop_cache}) {
        const rollout::LeaseRequest lease = lease_request(
            {.kind = RequestKind::request_lease, .forced = false, .member_kind = kind, .member = member});
        const bool in_fleet =
            std::any_of(lease.fleet.begin(), lease.fleet.end(),
                        [&](const rollout::FleetMember& seen) { return seen.name == member; });
        if (in_fleet || state.find(kind, member)) return state.evaluate(lease);
    }
    return std::nullopt;
}

}  // namespace sumackeel::consensus
