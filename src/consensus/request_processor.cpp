#include "consensus/request_processor.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "base/log.h"

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

// What a request returned that may be repeated; none: the caller may ask again.
RequestOutcome outcome_of(const std::optional<CommandResult>& result) {
    return result ? RequestOutcome::of(*result) : RequestOutcome::refused(Refusal::not_leading);
}

// What the change replaces, for ChangeAdmission. Changes of the store have versions for this.
std::string target_of(const ConsensusRequest& request) {
    switch (request.kind) {
        case RequestKind::request_lease:
        case RequestKind::return_lease:
        case RequestKind::upgrade_lease:
            return fmt::format("lease {} {}", rollout::name_of(request.member_kind), request.member);
        case RequestKind::release_command:
            return "release";
        case RequestKind::change:
        case RequestKind::read:
        case RequestKind::take_leadership:
            return {};
    }
    return {};
}

}  // namespace

void RequestProcessor::process(const ConsensusRequest& request, const Callback& done) {
    RaftNode& node = context_.voter.node();
    if (request.kind == RequestKind::read)
        return node.read(request.member, [done](const auto& result) { done(outcome_of(result)); });
    if (request.kind == RequestKind::change) {
        const auto purge = kv_store::purge_of_origin(request.body);
        if (purge && node.kv_store().has_purge_of_origin(*purge))
            return done(
                RequestOutcome::of({rollout::Outcome::granted, node.kv_store().last_purge(), {}, {}}));
        if (purge) return propose_repeatable(request, done);
    }
    const ChangeGuard guard = request.guard ? *request.guard : guard_on_arrival();
    const Micros now = context_.loop.clock().now();
    if (const auto refusal = admission_.check_time(guard, leader_term(), now))
        return done(refused_with_token(*refusal));
    if (request.kind == RequestKind::take_leadership) return take_leadership(request, done);
    process_change(request, guard, done);
}

// Repeated or late, it changes nothing: the caller asks again until this member leads, or its time is over.
void RequestProcessor::take_leadership(const ConsensusRequest& request, const Callback& done) {
    context_.voter.node().transfer_leadership(request.member,
                                              [done](const auto& result) { done(outcome_of(result)); });
}

// A purge that a change log told of: repeated it is recognized, and late it only drops copies.
void RequestProcessor::propose_repeatable(const ConsensusRequest& request, const Callback& done) {
    const bool proposed = context_.voter.node().propose(
        encode_command(request), [done](const auto& result) { done(outcome_of(result)); });
    if (!proposed) done(outcome_of(std::nullopt));
}

void RequestProcessor::process_change(const ConsensusRequest& request, const ChangeGuard& guard,
                                      const Callback& done) {
    const Micros now = context_.loop.clock().now();
    switch (open_changes_.join(guard.id, deadline_of(guard), now, done)) {
        case OpenChanges::Joined::is_repeat:
            return;
        case OpenChanges::Joined::no_room:
            return done(RequestOutcome::refused(Refusal::busy));
        case OpenChanges::Joined::is_new:
            break;
    }
    const std::weak_ptr<bool> alive = alive_;
    const Finish finish = [this, alive, id = guard.id](const RequestOutcome& outcome, bool proposed) {
        if (alive.expired()) return;
        open_changes_.finish(id, outcome, !proposed, context_.loop.clock().now());
    };
    if (const auto result = result_without_change(request)) return finish(RequestOutcome::of(*result), false);
    propose_once_confirmed(request, guard, finish);
}

// Proposes in another iteration of the loop, not from within the library's callback.
void RequestProcessor::propose_once_confirmed(const ConsensusRequest& request, const ChangeGuard& guard,
                                              Finish finish) {
    const Micros began = context_.loop.clock().now();
    const std::weak_ptr<bool> alive = alive_;
    context_.voter.node().confirm_leadership(
        [this, alive, request, guard, began, finish = std::move(finish)](bool confirmed) {
            if (alive.expired()) return;
            if (!confirmed) return finish(RequestOutcome::refused(Refusal::not_leading), false);
            context_.loop.timers().schedule(context_.loop.clock().now(),
                                            [this, alive, request, guard, began, finish] {
                                                if (!alive.expired())
                                                    propose_if_admitted(request, guard, began, finish);
                                            });
        });
}

// The commit will take about as long as the empty entry's, and has to be known by the caller's deadline.
void RequestProcessor::propose_if_admitted(const ConsensusRequest& request, const ChangeGuard& guard,
                                           Micros confirming_since, const Finish& finish) {
    RaftNode& node = context_.voter.node();
    if (!context_.voter.is_leader()) return finish(RequestOutcome::refused(Refusal::not_leading), false);
    const Micros now = context_.loop.clock().now();
    const Micros expected_commit = now + (now - confirming_since);
    if (const auto refusal = admission_.check_time(guard, leader_term(), expected_commit))
        return finish(refused_with_token(*refusal), false);
    const std::string target = target_of(request);
    if (admission_.is_superseded(target, *guard.token))
        return finish(refused_with_token(Refusal::superseded), false);
    if (const auto result = result_without_change(request)) return finish(RequestOutcome::of(*result), false);
    std::string command;
    try {
        command = encode_command(request);
    } catch (const std::exception& error) {
        log::warn("consensus: request rejected kind={} reason={}", name_of(request.kind), error.what());
        return finish(RequestOutcome::refused(Refusal::not_leading), false);
    }
    const bool proposed = node.propose(command, [finish](const auto& result) {
        finish(result ? RequestOutcome::of(*result) : RequestOutcome::refused(Refusal::undecided), true);
    });
    if (!proposed) return finish(RequestOutcome::refused(Refusal::not_leading), false);
    admission_.admit(target, leader_term());
}

// A rejection needs no log entry: one based on an outdated state makes no member unavailable, and clients
// retry. Without an active release there is no upgrade lease; proposed as a plain lease it would be granted.
std::optional<CommandResult> RequestProcessor::result_without_change(const ConsensusRequest& request) const {
    const rollout::State& state = context_.voter.node().state();
    if (request.kind == RequestKind::upgrade_lease && !state.releases().active())
        return CommandResult{rollout::Outcome::none, 0, "no release is under way", {}};
    if (!is_lease_request(request.kind)) return std::nullopt;
    const CommandResult result = state.evaluate(lease_request(request));
    return result.outcome == rollout::Outcome::granted ? std::nullopt : std::optional(result);
}

// For a change of a version without admission tokens: it counts from its arrival, and is never a repeat.
ChangeGuard RequestProcessor::guard_on_arrival() {
    return {.id = {.caller = {}, .start = 0, .number = ++last_unguarded_},
            .token = issue_token(),
            .time_left = kRequestTimeout};
}

AdmissionToken RequestProcessor::issue_token() {
    return admission_.issue(leader_term(), context_.loop.clock().now());
}

RequestOutcome RequestProcessor::refused_with_token(Refusal refusal) {
    return RequestOutcome::refused(refusal, issue_token());
}

LeaderTerm RequestProcessor::leader_term() const {
    return {context_.transport.membership().self().incarnation.start, context_.voter.node().term()};
}

std::string RequestProcessor::encode_command(const ConsensusRequest& request) const {
    if (request.kind == RequestKind::return_lease)
        return rollout::encode(rollout::LeaseReturn{request.member_kind, request.member, request.by,
                                                    context_.loop.clock().now(), request.running});
    if (request.kind == RequestKind::release_command) return encode_release_command(request);
    if (request.kind == RequestKind::change)
        return kv_store::with_leader_time(request.body, context_.loop.clock().now());
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
