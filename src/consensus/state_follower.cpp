#include "consensus/state_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "consensus/consensus_messages.h"

namespace sumackeel::consensus {

using base::Micros;

namespace {

// The state is polled at once when StateConfirmer finds it behind; these polls are for a network that only
// lets streams pass. The interval grows with the number of members up to the maximum.
constexpr Micros kMinPollInterval = 250'000, kPollIntervalPerMember = 10'000, kMaxPollInterval = 3'000'000;
// The minimum while the state is not known yet: startup waits for it.
constexpr Micros kUnknownPollInterval = 100'000;
constexpr Micros kPollTimeout = 5'000'000;

}  // namespace

StateFollower::StateFollower(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup,
                             Hooks hooks)
    : loop_(loop),
      transport_(transport),
      setup_(setup),
      hooks_(std::move(hooks)),
      known_from_(loop.clock().now()) {}

StateFollower::~StateFollower() {
    close();
}

void StateFollower::close() {
    alive_.reset();
    stop_polling();
}

void StateFollower::stop_polling() {
    if (!poll_timer_) return;
    loop_.timers().cancel(*poll_timer_);
    poll_timer_.reset();
}

Micros StateFollower::poll_interval() const {
    const auto members = static_cast<Micros>(transport_.membership().member_count());
    return std::clamp(kPollIntervalPerMember * members, known_ ? kMinPollInterval : kUnknownPollInterval,
                      kMaxPollInterval);
}

void StateFollower::start_polling() {
    const std::string voter = next_voter();
    const Micros interval = poll_interval();
    poll_timer_ = loop_.timers().schedule(loop_.clock().now() + interval, [this] { start_polling(); });
    poll(voter);
}

std::string StateFollower::next_voter() {
    auto voter = setup_.voters.begin();
    std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
    return voter->first;
}

// A reply counts however late it is: by when it was asked for, and only with newer revisions.
void StateFollower::poll(const std::string& voter) {
    std::erase_if(polls_, [](const auto& of_voter) { return of_voter.second.empty(); });
    const std::weak_ptr<bool> alive = alive_;
    const KnownRevision known{state_.revision(), needs_full_kv_store_ ? 0 : kv_store_.revision(), history_};
    const Micros asked_at = loop_.clock().now();
    const auto number = std::make_shared<base::CallId>();
    *number = transport_.call(voter, kStateVerb, encode(known), kPollTimeout,
                              [this, alive, voter, asked_at, number](std::optional<std::string> body) {
                                  if (alive.expired()) return;
                                  if (!body) return void(polls_[voter].take(*number));
                                  end_poll(voter, *number);
                                  try {
                                      on_reply(voter, *body, asked_at);
                                  } catch (const std::exception& error) {
                                      log::warn("consensus: state reply rejected reason={}", error.what());
                                  }
                              });
    for (const base::CallId given_up :
         polls_[voter].add({.id = *number, .begun_at = asked_at}, base::PendingCalls::kMaxPending))
        transport_.abandon(given_up);
}

// Polls that were made before the one that was answered would bring an older state.
void StateFollower::end_poll(const std::string& voter, base::CallId poll) {
    for (const base::PendingCalls::Call& ended : polls_[voter].take_through(poll))
        if (ended.id != poll) transport_.abandon(ended.id);
}

// Ignores replies from an earlier history. A later history, as after a forced start, invalidates the copy,
// which is replaced once a voter with an up-to-date state replies.
void StateFollower::on_reply(const std::string& voter, const std::string& body, Micros asked_at) {
    const ConsensusReply reply = decode_reply(body);
    if (reply.history < history_) return;
    if (!reply.leader.empty()) leader_ = reply.leader;
    if (reply.history > history_) {
        if (!reply.done) return;
        state_ = {};
        kv_store_ = {};
        confirmed_at_.reset();
        history_ = reply.history;
    }
    if (!reply.kv_store_update.empty()) apply_kv_store_update(reply.kv_store_update);
    if (!reply.body.empty()) apply_state(reply.body);
    // The voter's state was confirmed no later than this, as the age counts until after the query was sent.
    if (reply.confirmed_age && !needs_full_kv_store_) confirm(asked_at - *reply.confirmed_age, voter);
}

void StateFollower::confirm(Micros at, const std::string& source) {
    if (confirmed_at_ && *confirmed_at_ >= at) return;
    confirmed_at_ = at;
    if (at >= known_from_) mark_known(source);
}

void StateFollower::forget_known() {
    known_ = false;
    known_from_ = loop_.clock().now();
}

void StateFollower::mark_known(const std::string& source) {
    if (std::exchange(known_, true)) return;
    log::info("consensus: state_known source={} leader={} revision={} leases={}", source, leader_,
              state_.revision(), state_.leases().size());
}

// A voter that is behind sends its complete state, which is older than the copy; the revision tells.
void StateFollower::apply_kv_store_update(const std::string& update) {
    if (kv_store::revision_of_update(update) <= kv_store_.revision()) return;
    needs_full_kv_store_ = !kv_store_.apply_update(update);  // if it throws, nothing has changed
    abandon_polls();
    if (!needs_full_kv_store_) hooks_.kv_store_changed();
}

// Their updates begin at the revision that was known when they were made.
void StateFollower::abandon_polls() {
    for (auto& [voter, polls] : polls_)
        for (const base::PendingCalls::Call& poll : polls.take_all()) transport_.abandon(poll.id);
}

void StateFollower::apply_state(const std::string& body) {
    rollout::State state = rollout::State::decode(body);
    if (state.revision() <= state_.revision()) return;
    state_ = std::move(state);
    hooks_.state_changed(state_);
}

void StateFollower::adopt(const RaftNode& node) {
    if (node.state().revision() > state_.revision()) state_ = node.state();
    if (node.kv_store().revision() > kv_store_.revision()) kv_store_ = node.kv_store();
    raise_history(node.history());
}

void StateFollower::reset(std::uint64_t history) {
    state_ = {};
    kv_store_ = {};
    confirmed_at_.reset();
    forget_known();
    leader_.clear();
    history_ = history;
}

}  // namespace sumackeel::consensus
