#include "consensus/consensus_client.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "consensus/consensus_status.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::CommandResult;
using rollout::MemberKind;

namespace {

// Admin API calls are answered within 1 s; a request that is not committed by then is reported as failed.
constexpr Micros kRequestTimeout = 850'000;
constexpr Micros kAttemptTimeout = 350'000;  // without a reply another attempt is made beside it
constexpr Micros kRetryInterval = 60'000;    // while there is no leader

}  // namespace

// A request that has neither a result nor timed out yet.
struct ConsensusClient::PendingRequest {
    ConsensusRequest request;
    ResultCallback done;
    Micros deadline = 0;
    bool finished = false;
    std::uint64_t last_attempt = 0;  // its number
    bool awaits_reply = false;       // to the last attempt, before the next is due
    int leaderless_replies = 0;      // of voters that did not lead

    bool awaits_reply_to(std::uint64_t attempt) const {
        return !finished && awaits_reply && attempt == last_attempt;
    }
    void finish(std::optional<CommandResult> result) {
        if (!std::exchange(finished, true)) done(std::move(result));
    }
    void time_out() {
        if (finished) return;
        log::warn("consensus: request timed out kind={} attempts={} leaderless_replies={}",
                  name_of(request.kind), last_attempt, leaderless_replies);
        finish(std::nullopt);
    }
};

ConsensusClient::ConsensusClient(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup,
                                 const Options& options, FleetView fleet, StateCallback state_changed)
    : loop_(loop),
      transport_(transport),
      setup_(setup),
      state_changed_(std::move(state_changed)),
      follower_(loop, transport, setup_,
                {[this](const rollout::State& state) { state_changed_(state); },
                 [this] {
                     if (kv_store_changed_) kv_store_changed_();
                 }}),
      voter_(loop, transport, setup_, follower_,
             {[this](const rollout::State& state) { state_changed_(state); },
              [this] {
                  if (kv_store_changed_) kv_store_changed_();
              }}),
      view_(voter_, follower_),
      processor_({loop, transport, setup_, voter_, view_, std::move(fleet)}),
      server_(loop.clock(), transport, voter_, view_, processor_, purge_relay_),
      confirmer_({loop, transport, setup_, voter_, view_, purge_relay_, follower_},
                 options.max_confirmed_age) {
    voter_.start(options.wait_for_folder);
    log::info("consensus: started member={} role={}", self(), voter_.votes() ? "voter" : "follower");
    if (!voter_.votes()) follower_.start_polling();
    confirmer_.start();
}

ConsensusClient::~ConsensusClient() {
    close_now();
}

void ConsensusClient::update_config(const config::Consensus& setup) {
    setup_.voters = setup.voters;
    setup_.proxies = setup.proxies;
    setup_.pop_caches = setup.pop_caches;
    voter_.on_config_changed();
}

void ConsensusClient::close() {
    voter_.close();
}

void ConsensusClient::close_now() {
    alive_.reset();
    server_.close();
    confirmer_.close();
    follower_.close();
    voter_.close_now();
}

// --- Requests, by kind ---

void ConsensusClient::request_lease(MemberKind kind, const std::string& member, const std::string& by,
                                    bool forced, ResultCallback done) {
    submit({.kind = RequestKind::request_lease,
            .forced = forced,
            .member_kind = kind,
            .member = member,
            .by = by},
           std::move(done));
}

void ConsensusClient::return_lease(MemberKind kind, const std::string& member, const std::string& by,
                                   ResultCallback done) {
    submit({.kind = RequestKind::return_lease, .member_kind = kind, .member = member, .by = by},
           std::move(done));
}

void ConsensusClient::request_upgrade_lease(const std::string& member, bool forced, ResultCallback done) {
    submit({.kind = RequestKind::upgrade_lease,
            .forced = forced,
            .member_kind = MemberKind::proxy,
            .member = member},
           std::move(done));
}

void ConsensusClient::submit_release_command(const rollout::ReleaseCommand& command, ResultCallback done) {
    submit({.kind = RequestKind::release_command,
            .member_kind = MemberKind::proxy,
            .by = command.requested_by,
            .body = rollout::encode(command)},
           std::move(done));
}

void ConsensusClient::submit_release_step(rollout::ReleaseStep step, ResultCallback done) {
    if (!is_leader()) return done(std::nullopt);
    step.now = loop_.clock().now();
    voter_.node().propose(rollout::encode(step), std::move(done));
}

void ConsensusClient::submit_change(const kv_store::Transaction& change, ResultCallback done) {
    if (std::string error = kv_store::validate(change); !error.empty())
        return done(CommandResult{rollout::Outcome::rejected, 0, std::move(error), {}});
    submit({.kind = RequestKind::change,
            .member_kind = MemberKind::pop_cache,
            .by = change.by,
            .body = kv_store::encode(change)},
           std::move(done));
}

void ConsensusClient::submit_purge(const kv_store::Purge& purge, ResultCallback done) {
    submit({.kind = RequestKind::change,
            .member_kind = MemberKind::pop_cache,
            .by = purge.by,
            .body = kv_store::encode(purge)},
           std::move(done));
}

void ConsensusClient::read(const std::string& key, ResultCallback done) {
    submit({.kind = RequestKind::read, .member_kind = MemberKind::pop_cache, .member = key}, std::move(done));
}

void ConsensusClient::take_leadership(ResultCallback done) {
    if (!voter_.votes())
        return done(CommandResult{rollout::Outcome::rejected, 0, self() + " does not vote", {}});
    submit({.kind = RequestKind::take_leadership,
            .member_kind = MemberKind::pop_cache,
            .member = self(),
            .by = self()},
           std::move(done));
}

// --- Attempts ---

void ConsensusClient::submit(ConsensusRequest request, ResultCallback done) {
    const cluster::MemberRecord& record = transport_.membership().self();
    if (request.member_kind == MemberKind::proxy && request.member == record.name)
        request.running = {record.incarnation.start, record.software_version};
    attempt(std::make_shared<PendingRequest>(
        PendingRequest{std::move(request), std::move(done), loop_.clock().now() + kRequestTimeout, false}));
}

// Makes one attempt after another until the request is committed or times out. One whose reply is late is
// kept beside the next: the first result counts. An attempt whose reply was lost may have been committed.
// Requests are therefore idempotent: repeating a lease request yields the same lease, and repeating a return
// changes nothing.
void ConsensusClient::attempt(const PendingPtr& pending) {
    if (pending->finished) return;
    if (loop_.clock().now() >= pending->deadline) return pending->time_out();
    if (voter_.is_leader()) return attempt_locally(pending);
    const std::string target = next_target();
    if (target == self()) return retry_later(pending);
    attempt_at(target, pending);
}

void ConsensusClient::attempt_locally(const PendingPtr& pending) {
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(pending->deadline, [alive, pending] {
        if (!alive.expired()) pending->time_out();
    });
    processor_.process(pending->request, [this, alive, pending](std::optional<CommandResult> result) {
        if (alive.expired()) return;
        result ? pending->finish(std::move(result)) : retry_later(pending);
    });
}

void ConsensusClient::attempt_at(const std::string& voter, const PendingPtr& pending) {
    const std::weak_ptr<bool> alive = alive_;
    const Micros now = loop_.clock().now();
    const std::uint64_t number = ++pending->last_attempt;
    pending->awaits_reply = true;
    transport_.call(voter, kRequestVerb, pending->request.encode(), pending->deadline - now,
                    [this, alive, pending, number](std::optional<std::string> body) {
                        if (alive.expired()) return;
                        if (body) return on_reply(pending, number, *body);
                        on_attempt_failed(pending, number);
                    });
    loop_.timers().schedule(now + kAttemptTimeout, [this, alive, pending, number] {
        if (!alive.expired()) on_attempt_failed(pending, number);
    });
}

void ConsensusClient::on_attempt_failed(const PendingPtr& pending, std::uint64_t number) {
    if (!pending->awaits_reply_to(number)) return;
    follower_.set_leader({});
    retry_later(pending);
}

void ConsensusClient::on_reply(const PendingPtr& pending, std::uint64_t number, const std::string& body) {
    if (pending->finished) return;
    try {
        const ConsensusReply reply = decode_reply(body);
        if (pending->awaits_reply_to(number)) follower_.set_leader(reply.leader);
        if (reply.done) {
            CommandResult result = rollout::decode_result(reply.body);
            // A newer attempt may be granted what this one was not.
            const bool may_change =
                result.outcome == rollout::Outcome::rejected && number != pending->last_attempt;
            if (!may_change) pending->finish(std::move(result));
            return;
        }
    } catch (const std::exception& error) {
        log::warn("consensus: reply rejected reason={}", error.what());
        return on_attempt_failed(pending, number);
    }
    ++pending->leaderless_replies;
    if (pending->awaits_reply_to(number)) retry_later(pending);
}

void ConsensusClient::retry_later(const PendingPtr& pending) {
    pending->awaits_reply = false;
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now() + kRetryInterval, [this, alive, pending] {
        if (!alive.expired()) attempt(pending);
    });
}

// The leader, or the next voter in turn if no leader is known.
std::string ConsensusClient::next_target() {
    std::string target = leader();
    return target.empty() || target == self() ? follower_.next_voter() : target;
}

// --- State ---

// The barrier appends another entry, which carries the commit index to the voters.
void ConsensusClient::replicate_now() {
    if (is_leader()) voter_.node().read({}, [](const auto&) {});
}

void ConsensusClient::poll_now(const std::string& member) {
    if (!voter_.votes() || voter_.node().leader().empty()) follower_.poll(member);
}

std::optional<CommandResult> ConsensusClient::explain(const std::string& member) const {
    return processor_.explain(member);
}

std::string ConsensusClient::as_json() const {
    return status_json(self(), voter_, view_, setup_, processor_.fleet(), loop_.clock().now());
}

}  // namespace sumackeel::consensus
