#include "consensus/consensus_client.h"

#include <utility>

#include "base/log.h"
#include "consensus/consensus_status.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::CommandResult;
using rollout::MemberKind;

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
      sender_({loop, transport, voter_, view_, follower_, processor_}),
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
    sender_.close();
    server_.close();
    confirmer_.close();
    follower_.close();
    voter_.close_now();
}

// --- Requests, by kind ---

void ConsensusClient::request_lease(MemberKind kind, const std::string& member, const std::string& by,
                                    bool forced, ResultCallback done, std::optional<Micros> called_at) {
    submit({.kind = RequestKind::request_lease,
            .forced = forced,
            .member_kind = kind,
            .member = member,
            .by = by},
           std::move(done), called_at);
}

void ConsensusClient::return_lease(MemberKind kind, const std::string& member, const std::string& by,
                                   ResultCallback done, std::optional<Micros> called_at) {
    submit({.kind = RequestKind::return_lease, .member_kind = kind, .member = member, .by = by},
           std::move(done), called_at);
}

void ConsensusClient::request_upgrade_lease(const std::string& member, bool forced, ResultCallback done,
                                            std::optional<Micros> called_at) {
    submit({.kind = RequestKind::upgrade_lease,
            .forced = forced,
            .member_kind = MemberKind::proxy,
            .member = member},
           std::move(done), called_at);
}

void ConsensusClient::submit_release_command(const rollout::ReleaseCommand& command, ResultCallback done,
                                             std::optional<Micros> called_at) {
    submit({.kind = RequestKind::release_command,
            .member_kind = MemberKind::proxy,
            .by = command.requested_by,
            .body = rollout::encode(command)},
           std::move(done), called_at);
}

void ConsensusClient::submit_release_step(rollout::ReleaseStep step, const ResultCallback& done) {
    if (!is_leader()) return done(std::nullopt);
    step.now = loop_.clock().now();
    if (!voter_.node().propose(rollout::encode(step), done)) done(std::nullopt);
}

void ConsensusClient::submit_change(const kv_store::Transaction& change, ResultCallback done,
                                    std::optional<Micros> called_at) {
    if (std::string error = kv_store::validate(change); !error.empty())
        return done(CommandResult{rollout::Outcome::rejected, 0, std::move(error), {}});
    submit({.kind = RequestKind::change,
            .member_kind = MemberKind::pop_cache,
            .by = change.by,
            .body = kv_store::encode(change)},
           std::move(done), called_at);
}

void ConsensusClient::submit_purge(const kv_store::Purge& purge, ResultCallback done,
                                   std::optional<Micros> called_at) {
    submit({.kind = RequestKind::change,
            .member_kind = MemberKind::pop_cache,
            .by = purge.by,
            .body = kv_store::encode(purge)},
           std::move(done), called_at);
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

// From a call that operators made at `called_at`, or from now on.
void ConsensusClient::submit(ConsensusRequest request, ResultCallback done, std::optional<Micros> called_at) {
    sender_.submit(std::move(request), called_at.value_or(loop_.clock().now()), std::move(done));
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
