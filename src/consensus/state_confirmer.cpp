#include "consensus/state_confirmer.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "kv_store/purge_exchange.h"

namespace sumackeel::consensus {

using base::Micros;

namespace {

// A voter asks this often within the time for which a confirmation holds.
constexpr Micros kQueriesPerMaxAge = 6;
// Other members ask as often as that in small clusters. The interval grows with their number, as few voters
// answer them all, up to this share of the time.
constexpr Micros kMinQueriesPerMaxAge = 3;
constexpr Micros kIntervalPerMember = 300;  // us
constexpr Micros kMinInterval = 10'000;
// While the state is not known yet: startup waits for it.
constexpr Micros kUnknownInterval = 50'000;
// A member that is behind fetches the state while this many more queries fit into the time: one that hears of
// each change anyway, as a voter does by its log, needs no copy.
constexpr Micros kIntervalsLeftAtFetch = 2;

}  // namespace

StateConfirmer::StateConfirmer(Context context, Micros max_age)
    : context_(context),
      max_age_(max_age),
      history_(context_.view.history()),
      next_target_(std::hash<std::string>{}(self())) {
    context_.transport.on_query_reply(
        kConfirmVerb, [this](const std::string& from, std::uint64_t number, const std::string& body) {
            try {
                on_reply(from, number, body);
            } catch (const std::exception& error) {
                log::warn("consensus: confirm reply rejected member={} reason={}", from, error.what());
            }
        });
}

void StateConfirmer::start() {
    tick();
}

void StateConfirmer::close() {
    context_.transport.remove_query_handlers(kConfirmVerb);
    if (timer_) context_.loop.timers().cancel(*timer_);
    timer_.reset();
}

Micros StateConfirmer::interval() const {
    const auto members = static_cast<Micros>(context_.transport.membership().member_count());
    const Micros for_all = kIntervalPerMember * members;
    const Micros shortest = std::max(kMinInterval, max_age_ / kQueriesPerMaxAge);
    const Micros known_interval = current_voters().empty()
                                      ? std::max(shortest, std::min(for_all, max_age_ / kMinQueriesPerMaxAge))
                                      : shortest;
    return context_.view.is_known() ? known_interval
                                    : std::min(known_interval, std::max(kUnknownInterval, for_all));
}

void StateConfirmer::tick() {
    // Read before anything is sent: the confirmation counts from here.
    const Micros now = context_.loop.clock().now();
    timer_ = context_.loop.timers().schedule(now + interval(), [this] { tick(); });
    // A leader was elected by a majority since this process started.
    if (context_.voter.is_leader() && context_.voter.node().is_caught_up_leader())
        context_.follower.mark_known(self());
    if (std::exchange(history_, context_.view.history()) != context_.view.history()) reads_.reset();
    const std::uint64_t number = reads_.begin(now);
    if (context_.voter.votes()) {
        const auto last_stored = context_.voter.node().last_stored();
        if (last_stored) reads_.add_answer(number, self(), *last_stored);
    }
    const std::string pending_purges = kv_store::encode_purges(context_.purge_relay.to_send());
    for (const std::string& voter : targets())
        context_.transport.send_query(voter, kConfirmVerb, number, pending_purges);
    evaluate();
    log_transitions();
}

std::vector<std::string> StateConfirmer::current_voters() const {
    return context_.voter.votes() ? context_.voter.node().voters() : std::vector<std::string>{};
}

std::vector<std::string> StateConfirmer::targets() {
    std::vector<std::string> others = current_voters();
    if (others.empty()) return {next_single_target()};
    std::erase_if(others, [this](const std::string& voter) { return voter.empty() || voter == self(); });
    return others;
}

// The same voter for as long as it answers with a state that was confirmed lately.
std::string StateConfirmer::next_single_target() {
    const auto& voters = context_.setup.voters;
    if (voters.empty()) return {};
    if (!std::exchange(target_answered_, false) || !voters.contains(target_))
        target_ =
            std::next(voters.begin(), static_cast<std::ptrdiff_t>(next_target_++ % voters.size()))->first;
    return target_;
}

void StateConfirmer::on_reply(const std::string& from, std::uint64_t number, const std::string& body) {
    const ConfirmReply reply = decode_confirm_reply(body);
    context_.purge_relay.receive(reply.pending_purges);
    const auto asked_at = reads_.asked_at(number);
    if (!asked_at) return;
    const std::uint64_t own_history = context_.view.history();
    if (reply.history > own_history && !context_.voter.votes()) return fetch_state(from);
    if (reply.history != own_history || history_ != own_history) return;
    if (from == target_ && reply.confirmed_age && *reply.confirmed_age <= max_age_) target_answered_ = true;
    if (!reply.leader.empty() && !context_.voter.votes()) context_.follower.set_leader(reply.leader);
    if (reply.last_stored) reads_.add_answer(number, from, *reply.last_stored);
    evaluate();
    if (reply.confirmed_age) confirm_by(from, *asked_at, reply);
}

void StateConfirmer::evaluate() {
    if (!context_.voter.votes()) return;
    if (const auto at = reads_.evaluate(current_voters(), context_.voter.node().last_applied()))
        context_.follower.confirm(*at, self());
}

// The age was read after the query had been sent, so the voter's confirmation is at least this old.
void StateConfirmer::confirm_by(const std::string& voter, Micros asked_at, const ConfirmReply& reply) {
    const bool is_as_new = context_.view.state().revision() >= reply.revision &&
                           context_.view.kv_store().revision() >= reply.kv_store;
    if (is_as_new) return context_.follower.confirm(asked_at - *reply.confirmed_age, voter);
    fetch_state(voter);
}

void StateConfirmer::fetch_state(const std::string& voter) {
    const Micros now = context_.loop.clock().now();
    const auto age = context_.view.confirmed_age(now);
    const bool has_time = age && *age + kIntervalsLeftAtFetch * interval() < max_age_;
    if (has_time || now < next_fetch_at_) return;
    next_fetch_at_ = now + interval();
    context_.follower.poll(voter);
}

void StateConfirmer::log_transitions() {
    const auto age = context_.view.confirmed_age(context_.loop.clock().now());
    const bool confirmed = age && *age <= max_age_;
    if (std::exchange(is_confirmed_, confirmed) == confirmed) return;
    const Micros age_ms = age.value_or(0) / 1'000;
    if (confirmed) return log::info("consensus: state confirmed age_ms={}", age_ms);
    log::warn("consensus: state unconfirmed age_ms={} votes={} leader={}", age_ms, context_.voter.votes(),
              context_.view.leader());
}

}  // namespace sumackeel::consensus
