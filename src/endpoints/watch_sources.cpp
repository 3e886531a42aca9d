#include "endpoints/watch_sources.h"

#include <algorithm>
#include <utility>

namespace sumackeel::endpoints {

const char* name_of(WatchSources::State state) {
    switch (state) {
        case WatchSources::State::resting:
            return "resting";
        case WatchSources::State::calling:
            return "calling";
        case WatchSources::State::asked:
            return "asked";
        case WatchSources::State::following:
            return "following";
        case WatchSources::State::silent:
            return "silent";
    }
    return "?";
}

WatchSources::WatchSources(std::size_t count, WatchOptions options, std::uint64_t seed)
    : options_(options), rng_(seed), health_(count), calls_(count, no_calls()) {}

WatchSources::Calls WatchSources::no_calls() const {
    return {.pending = {},
            .followed = {},
            .response_timeout = {options_.response_timeout, options_.longest_response_timeout},
            .answer_due_at = {}};
}

void WatchSources::replace(std::size_t count) {
    replace(std::vector<std::optional<std::size_t>>(count));
}

void WatchSources::replace(const std::vector<std::optional<std::size_t>>& kept) {
    std::vector<Health> health(kept.size());
    std::vector<Calls> calls(kept.size(), no_calls());
    for (std::size_t i = 0; i < kept.size(); ++i) {
        if (!kept[i]) continue;
        health[i] = std::move(health_[*kept[i]]);
        calls[i] = std::move(calls_[*kept[i]]);
    }
    health_ = std::move(health);
    calls_ = std::move(calls);
}

void WatchSources::record_newest(std::int64_t sequence, Micros now) {
    constexpr std::size_t kMaxEntries = 4096;  // beyond it the last entry is overwritten
    if (!newest_history_.empty() && sequence <= newest_history_.back().first) return;
    if (newest_history_.size() >= kMaxEntries)
        newest_history_.back().first = sequence;
    else
        newest_history_.emplace_back(sequence, now);
}

// The newest number that has been known for longer than the allowed lag.
std::int64_t WatchSources::settled_sequence(Micros now) {
    while (newest_history_.size() > 1 && newest_history_[1].second + options_.max_lag <= now)
        newest_history_.pop_front();
    return newest_history_.empty() ? 0 : newest_history_.front().first;
}

void WatchSources::update_proven(Health& health, Micros now) {
    const bool is_current =
        health.highest_on_connection > 0 && health.highest_on_connection >= settled_sequence(now);
    health.proven = health.state == State::following && (!options_.require_proof || is_current);
}

bool WatchSources::awaits_newest(std::size_t source) const {
    const Health& health = health_[source];
    return options_.require_proof && health.state == State::following && !health.asked_for_all &&
           health.highest_on_connection == 0 && calls_[source].pending.empty();
}

bool WatchSources::is_other_proven(std::size_t source) const {
    for (std::size_t i = 0; i < health_.size(); ++i)
        if (i != source && health_[i].proven) return true;
    return false;
}

void WatchSources::call(std::size_t source, std::int64_t newest, Micros now, std::vector<Step>& steps) {
    Health& health = health_[source];
    Calls& calls = calls_[source];
    // Requested from one number before, a source that has the newest event must send it again.
    const std::int64_t behind = options_.require_proof ? std::max<std::int64_t>(0, newest - 1) : newest;
    const PendingCalls::Call begun{.id = ++last_call_, .begun_at = now, .asks_for_all = behind == 0};
    for (const CallId given_up : calls.pending.add(begun, max_pending_)) {
        steps.push_back({Step::Kind::drop, source, given_up});
        ++health.given_up;
    }
    calls.answer_due_at = now + calls.response_timeout.current();
    ++health.calls;
    if (!calls.followed) {
        health.state = State::calling;
        health.since = now;
    }
    steps.push_back({Step::Kind::call, source, begun.id, behind});
}

// Whether another call is wanted: none is open, or the newest has waited for too long.
bool WatchSources::needs_call(std::size_t source) const {
    const Calls& calls = calls_[source];
    if (calls.answer_due_at) return false;
    return health_[source].state != State::following || !calls.pending.empty();
}

// Whether a source counts as followed: it is proven, or it was just connected and may still respond.
bool WatchSources::is_usable(const Health& health) const {
    switch (health.state) {
        case State::resting:
            return false;
        case State::calling:
        case State::asked:
            return health.failures == 0;
        case State::following:
            return health.proven;
        case State::silent:
            return false;
    }
    return false;
}

void WatchSources::record_failure(Health& health, Micros now, std::string reason) {
    const bool was_stable = health.state == State::following && now - health.since >= options_.stable_after;
    health.failures = was_stable ? 1 : std::min(health.failures + 1, 30);
    Micros wait = options_.first_wait;
    for (int i = 1; i < health.failures && wait < options_.longest_wait; ++i) wait *= 2;
    wait = std::min(wait, options_.longest_wait);
    const double random_fraction = std::uniform_real_distribution<double>(0, 1)(rng_);
    wait -= static_cast<Micros>(static_cast<double>(wait) * options_.jitter * random_fraction);
    health.retry_at = now + wait;
    health.last_fault = std::move(reason);
}

std::vector<WatchSources::Step> WatchSources::next_steps(Micros now, std::int64_t newest) {
    std::vector<Step> steps = std::exchange(superseded_, {});
    // The number that is known at the start counts as settled at once.
    record_newest(newest, newest_history_.empty() ? now - options_.max_lag : now);
    for (std::size_t i = 0; i < health_.size(); ++i) check_deadlines(i, now, steps);
    int usable_count = 0;
    for (std::size_t i = 0; i < health_.size(); ++i) {
        const Health& health = health_[i];
        update_proven(health_[i], now);
        if (health.proven) supersede_pending(i, steps);
        if (usable_count >= std::max(1, options_.follow)) {
            // Enough preferred sources; but one that was just connected does not replace a proven one.
            const bool all_proven = std::all_of(health_.begin(), health_.begin() + static_cast<long>(i),
                                                [&](const Health& h) { return !is_usable(h) || h.proven; });
            if (health.state != State::resting && all_proven) release(i, now, steps);
            continue;
        }
        if (needs_call(i) && now >= health.retry_at) {
            // One that is followed is called again only for all that it has.
            call(i, health.state == State::following ? 0 : newest, now, steps);
        }
        usable_count += is_usable(health);
    }
    return steps;
}

void WatchSources::check_deadlines(std::size_t source, Micros now, std::vector<Step>& steps) {
    Health& health = health_[source];
    Calls& calls = calls_[source];
    if (calls.answer_due_at && now > *calls.answer_due_at) {
        calls.answer_due_at.reset();
        calls.response_timeout.on_overdue();
        record_failure(health, now, "response timeout");
    }
    if (health.state == State::following && now > health.last_byte_at + options_.silence_timeout) {
        record_failure(health, now, "fell silent");
        health.state = State::silent;
        health.since = now;
    } else if (awaits_newest(source) && now >= std::max(calls.short_answer_at, health.retry_at)) {
        on_short_answer(source, now, steps);
    }
}

// The source is not needed: none of its calls stays open.
void WatchSources::release(std::size_t source, Micros now, std::vector<Step>& steps) {
    Health& health = health_[source];
    supersede_all(source, steps);
    health.state = State::resting;
    health.proven = false;
    health.since = health.retry_at = now;
    health.last_fault = "not needed";
}

void WatchSources::supersede_pending(std::size_t source, std::vector<Step>& steps) {
    Calls& calls = calls_[source];
    calls.answer_due_at.reset();
    for (const PendingCalls::Call& pending : calls.pending.take_all())
        steps.push_back({Step::Kind::drop, source, pending.id});
}

void WatchSources::supersede_all(std::size_t source, std::vector<Step>& steps) {
    supersede_pending(source, steps);
    if (const auto followed = std::exchange(calls_[source].followed, {}))
        steps.push_back({Step::Kind::drop, source, *followed});
}

// Either is done once on a connection.
void WatchSources::on_short_answer(std::size_t source, Micros now, std::vector<Step>& steps) {
    if (health_.size() > 1) return call(source, 0, now, steps);
    health_[source].asked_for_all = true;
    steps.push_back({Step::Kind::restart_numbering, source});
}

std::optional<Micros> WatchSources::next_deadline(std::size_t source) const {
    const Health& health = health_[source];
    const Calls& calls = calls_[source];
    std::optional<Micros> first;
    const auto consider = [&first](Micros at) { first = std::min(first.value_or(at), at); };
    if (calls.answer_due_at) consider(*calls.answer_due_at + 1);
    if (needs_call(source)) consider(health.retry_at);
    if (health.state == State::following) consider(health.last_byte_at + options_.silence_timeout + 1);
    if (awaits_newest(source)) consider(std::max(calls.short_answer_at, health.retry_at));
    return first;
}

std::optional<Micros> WatchSources::next_deadline() const {
    std::optional<Micros> first;
    for (std::size_t i = 0; i < health_.size(); ++i)
        if (const auto at = next_deadline(i)) first = std::min(first.value_or(*at), *at);
    return first;
}

void WatchSources::on_connected(std::size_t source, CallId call, Micros now) {
    Health& health = health_[source];
    if (health.state != State::calling || !calls_[source].pending.is_newest(call)) return;
    health.state = State::asked;
    health.since = now;
}

void WatchSources::on_head(std::size_t source, CallId call, Micros now) {
    Calls& calls = calls_[source];
    if (calls.pending.is_newest(call)) calls.answer_due_at = now + options_.silence_timeout;
}

bool WatchSources::on_data(std::size_t source, CallId call, Micros now) {
    Health& health = health_[source];
    if (calls_[source].followed != call && !follow(source, call, now)) return false;
    health.last_byte_at = now;
    update_proven(health, now);
    if (health.proven && now - health.since >= options_.stable_after) health.failures = 0;
    return health.proven;
}

// A pending call was answered. False: it is none of the source's.
bool WatchSources::follow(std::size_t source, CallId call, Micros now) {
    Health& health = health_[source];
    Calls& calls = calls_[source];
    const auto answered = calls.pending.take(call);
    if (!answered) return false;
    supersede_all(source, superseded_);
    calls.followed = call;
    health.response_time = now - answered->begun_at;
    calls.response_timeout.on_answer(health.response_time);
    calls.short_answer_at = now + std::clamp(health.response_time, options_.short_answer_after,
                                             options_.longest_response_timeout);
    health.state = State::following;
    health.since = health.retry_at = now;
    health.highest_on_connection = 0;
    health.regressed = false;
    health.proven = false;
    health.asked_for_all = answered->asks_for_all;
    return true;
}

WatchSources::EventResult WatchSources::on_event(std::size_t source, CallId call, std::int64_t sequence,
                                                 std::int64_t newest, Micros now) {
    Health& health = health_[source];
    if (calls_[source].followed != call && !follow(source, call, now)) return EventResult::duplicate;
    const bool is_regressed = sequence < health.highest_on_connection;
    health.highest_on_connection = std::max(health.highest_on_connection, sequence);
    health.highest = std::max(health.highest, sequence);
    record_newest(std::max(sequence, newest), now);
    on_data(source, call, now);
    if (sequence > newest) return EventResult::apply;
    return is_regressed && !std::exchange(health.regressed, true) ? EventResult::regressed
                                                                  : EventResult::duplicate;
}

void WatchSources::on_disconnected(std::size_t source, CallId call, Micros now, std::string reason) {
    Health& health = health_[source];
    Calls& calls = calls_[source];
    const bool was_followed = calls.followed == call;
    if (was_followed) {
        calls.followed.reset();
    } else {
        if (calls.pending.is_newest(call)) calls.answer_due_at.reset();
        if (!calls.pending.take(call)) return;
    }
    record_failure(health, now, std::move(reason));
    if (calls.followed) return;
    health.state = calls.pending.empty() ? State::resting : State::asked;
    health.proven = false;
    health.since = now;
}

}  // namespace sumackeel::endpoints
