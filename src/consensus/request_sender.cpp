#include "consensus/request_sender.h"

#include <set>
#include <utility>

#include "base/log.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::CommandResult;

namespace {

constexpr Micros kAttemptTimeout = 350'000;  // without a reply another attempt is made beside it
constexpr Micros kRetryInterval = 60'000;    // while there is no leader

// False for what may be carried out late or twice: a read, and a purge of the origin.
bool needs_guard(const ConsensusRequest& request) {
    if (request.kind == RequestKind::read) return false;
    return request.kind != RequestKind::change || !kv_store::purge_of_origin(request.body);
}

}  // namespace

// A request that has neither a result nor timed out yet.
struct RequestSender::PendingRequest {
    ConsensusRequest request;
    ResultCallback done;
    Micros deadline = 0;
    bool finished = false;
    std::uint64_t last_attempt = 0;  // its number
    bool awaits_reply = false;       // to the last attempt, before the next is due
    int leaderless_replies = 0;      // of voters that did not lead
    std::string token_from = {};     // the voter that issued the guard's token
    // The attempts with the token that were not refused with certainty: the change may have been proposed.
    std::set<std::uint64_t> undecided_attempts = {};

    bool awaits_reply_to(std::uint64_t attempt) const {
        return !finished && awaits_reply && attempt == last_attempt;
    }
    bool has_token() const { return request.guard && request.guard->token; }
    // Attempts to lead may be made at each leader: repeated they change nothing.
    bool may_change_leader() const {
        return undecided_attempts.empty() || request.kind == RequestKind::take_leadership;
    }
    void take_token(const AdmissionToken& token, const std::string& from, Micros received_at) {
        request.guard->token = token;
        request.guard->time_left = deadline - received_at;
        token_from = from;
    }
    void drop_token() {
        if (request.guard) request.guard->token.reset();
        token_from.clear();
    }
    void finish(std::optional<CommandResult> result) {
        if (!std::exchange(finished, true)) done(std::move(result));
    }
    void time_out() {
        if (finished) return;
        log::warn("consensus: request timed out kind={} attempts={} leaderless_replies={} undecided={}",
                  name_of(request.kind), last_attempt, leaderless_replies, undecided_attempts.size());
        finish(std::nullopt);
    }
};

void RequestSender::submit(ConsensusRequest request, Micros called_at, ResultCallback done) {
    const cluster::MemberRecord& record = context_.transport.membership().self();
    if (request.member_kind == rollout::MemberKind::proxy && request.member == record.name)
        request.running = {record.incarnation.start, record.software_version};
    if (needs_guard(request))
        request.guard =
            ChangeGuard{.id = {record.name, record.incarnation.start, ++last_change_}, .token = {}};
    attempt(std::make_shared<PendingRequest>(
        PendingRequest{std::move(request), std::move(done), called_at + kRequestTimeout}));
}

void RequestSender::attempt(const PendingPtr& pending) {
    if (pending->finished) return;
    if (context_.loop.clock().now() >= pending->deadline) return pending->time_out();
    if (!pending->may_change_leader()) return attempt_at(pending->token_from, pending);
    if (context_.voter.is_leader()) return attempt_locally(pending);
    const std::string target = next_target();
    if (target == self()) return retry_later(pending);
    attempt_at(target, pending);
}

void RequestSender::attempt_locally(const PendingPtr& pending) {
    const std::weak_ptr<bool> alive = alive_;
    context_.loop.timers().schedule(pending->deadline, [alive, pending] {
        if (!alive.expired()) pending->time_out();
    });
    if (pending->request.guard)
        pending->take_token(context_.processor.issue_token(), self(), context_.loop.clock().now());
    context_.processor.process(pending->request, [this, alive, pending](const RequestOutcome& outcome) {
        if (alive.expired()) return;
        if (outcome.result) return pending->finish(outcome.result);
        if (outcome.refusal == Refusal::undecided || outcome.refusal == Refusal::expired)
            return pending->time_out();
        retry_later(pending);
    });
}

void RequestSender::attempt_at(const std::string& voter, const PendingPtr& pending) {
    if (pending->token_from != voter) pending->drop_token();
    const std::weak_ptr<bool> alive = alive_;
    const Micros now = context_.loop.clock().now();
    const std::uint64_t number = ++pending->last_attempt;
    pending->awaits_reply = true;
    if (pending->has_token()) pending->undecided_attempts.insert(number);
    context_.transport.call(voter, kRequestVerb, pending->request.encode(), pending->deadline - now,
                            [this, alive, pending, number](std::optional<std::string> body) {
                                if (alive.expired()) return;
                                if (body) return on_response(pending, number, *body);
                                on_attempt_failed(pending, number);
                            });
    context_.loop.timers().schedule(now + kAttemptTimeout, [this, alive, pending, number] {
        if (!alive.expired()) on_attempt_failed(pending, number);
    });
}

void RequestSender::on_attempt_failed(const PendingPtr& pending, std::uint64_t number) {
    if (!pending->awaits_reply_to(number)) return;
    context_.follower.set_leader({});
    retry_later(pending);
}

void RequestSender::on_response(const PendingPtr& pending, std::uint64_t number, const std::string& body) {
    if (pending->finished) return;
    try {
        const ConsensusReply reply = decode_reply(body);
        if (pending->awaits_reply_to(number)) context_.follower.set_leader(reply.leader);
        if (!reply.done) return on_refusal(pending, number, reply);
        CommandResult result = rollout::decode_result(reply.body);
        // A newer attempt may be granted what this one was not.
        const bool may_change =
            result.outcome == rollout::Outcome::rejected && number != pending->last_attempt;
        if (!may_change) pending->finish(std::move(result));
    } catch (const std::exception& error) {
        log::warn("consensus: reply rejected reason={}", error.what());
        on_attempt_failed(pending, number);
    }
}

void RequestSender::on_refusal(const PendingPtr& pending, std::uint64_t number, const ConsensusReply& reply) {
    if (reply.refusal && *reply.refusal != Refusal::undecided) pending->undecided_attempts.erase(number);
    if (reply.refusal)
        log::debug("consensus: request refused kind={} attempt={} reason={}", name_of(pending->request.kind),
                   number, name_of(*reply.refusal));
    if (reply.refusal == Refusal::expired || reply.refusal == Refusal::undecided) return pending->time_out();
    if (reply.token && pending->request.guard && pending->may_change_leader()) {
        pending->take_token(*reply.token, reply.leader, context_.loop.clock().now());
        return attempt(pending);
    }
    ++pending->leaderless_replies;
    if (pending->awaits_reply_to(number)) retry_later(pending);
}

void RequestSender::retry_later(const PendingPtr& pending) {
    pending->awaits_reply = false;
    const std::weak_ptr<bool> alive = alive_;
    context_.loop.timers().schedule(context_.loop.clock().now() + kRetryInterval, [this, alive, pending] {
        if (!alive.expired()) attempt(pending);
    });
}

// The leader, or the next voter in turn if no leader is known.
std::string RequestSender::next_target() {
    std::string target = context_.view.leader();
    return target.empty() || target == self() ? context_.follower.next_voter() : target;
}

}  // namespace sumackeel::consensus
