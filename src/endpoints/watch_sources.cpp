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
    }
    return "?";
}

WatchSources::WatchSources(std::size_t count, WatchOptions options, std::uint64_t seed)
    : options_(options), rng_(seed), health_(count) {}

void WatchSources::replace(std::size_t count) {
    health_.assign(count, Health{});
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

bool WatchSources::awaits_newest(const Health& health) const {
    return options_.require_proof && health.state == State::following && !health.asked_for_all &&
           health.highest_on_connection == 0;
}

bool WatchSources::is_other_proven(std::size_t source) const {
    for (std::size_t i = 0; i < health_.size(); ++i)
        if (i != source && health_[i].proven) return true;
    return false;
}

void WatchSources::call(std::size_t source, std::int64_t behind, Micros now, std::vector<Step>& steps) {
    Health& health = health_[source];
    health.state = State::calling;
    health.since = now;
    health.highest_on_connection = 0;
    health.regressed = false;
    health.proven = false;
    health.asked_for_all = behind == 0;
    steps.push_back({Step::Kind::call, source, behind});
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
    }
    return false;
}

void WatchSources::fail(Health& health, Micros now, std::string reason) {
    const bool was_stable = health.state == State::following && now - health.since >= options_.stable_after;
    health.failures = was_stable ? 1 : std::min(health.failures + 1, 30);
    Micros wait = options_.first_wait;
    for (int i = 1; i < health.failures && wait < options_.longest_wait; ++i) wait *= 2;
    wait = std::min(wait, options_.longest_wait);
    const double random_fraction = std::uniform_real_distribution<double>(0, 1)(rng_);
    wait -= static_cast<Micros>(static_cast<double>(wait) * options_.jitter * random_fraction);
    health.state = State::resting;
    health.proven = false;
    health.since = now;
    health.retry_at = now + wait;
    health.last_fault = std::move(reason);
}

std::vector<WatchSources::Step> WatchSources::next_steps(Micros now, std::int64_t newest) {
    std::vector<Step> steps;
    // The number that is known at the start counts as settled at once.
    record_newest(newest, newest_history_.empty() ? now - options_.max_lag : now);
    for (std::size_t i = 0; i < health_.size(); ++i) {
        Health& health = health_[i];
        const bool waiting = health.state == State::calling || health.state == State::asked;
        if (waiting && now > health.since + options_.response_timeout)
            steps.push_back({Step::Kind::drop, i}), fail(health, now, "response timeout");
        else if (health.state == State::following && now > health.last_byte_at + options_.silence_timeout)
            steps.push_back({Step::Kind::drop, i}), fail(health, now, "fell silent");
        else if (awaits_newest(health) && now >= health.since + options_.short_answer_after)
            on_short_answer(i, now, steps);
    }
    int usable_count = 0;
    for (std::size_t i = 0; i < health_.size(); ++i) {
        Health& health = health_[i];
        update_proven(health, now);
        if (usable_count >= std::max(1, options_.follow)) {
            // Enough preferred sources; but one that was just connected does not replace a proven one.
            const bool all_proven = std::all_of(health_.begin(), health_.begin() + static_cast<long>(i),
                                                [&](const Health& h) { return !is_usable(h) || h.proven; });
            if (health.state != State::resting && all_proven) {
                steps.push_back({Step::Kind::drop, i});
                health.state = State::resting;
                health.proven = false;
                health.since = health.retry_at = now;
                health.last_fault = "not needed";
            }
            continue;
        }
        if (health.state == State::resting && now >= health.retry_at) {
            // Requested from one number before, a source that has the newest event must send it again.
            const std::int64_t behind =
                options_.require_proof ? std::max<std::int64_t>(0, newest - 1) : newest;
            call(i, behind, now, steps);
        }
        usable_count += is_usable(health);
    }
    return steps;
}

// Either is done once on a connection.
void WatchSources::on_short_answer(std::size_t source, Micros now, std::vector<Step>& steps) {
    if (health_.size() > 1) return call(source, 0, now, steps);
    health_[source].asked_for_all = true;
    steps.push_back({Step::Kind::restart_numbering, source});
}

Micros WatchSources::following_deadline(const Health& health) const {
    const Micros silent_at = health.last_byte_at + options_.silence_timeout + 1;
    return awaits_newest(health) ? std::min(silent_at, health.since + options_.short_answer_after)
                                 : silent_at;
}

std::optional<Micros> WatchSources::next_deadline() const {
    std::optional<Micros> first;
    for (const Health& health : health_) {
        const Micros at = health.state == State::resting     ? health.retry_at
                          : health.state == State::following ? following_deadline(health)
                                                             : health.since + options_.response_timeout + 1;
        if (!first || at < *first) first = at;
    }
    return first;
}

void WatchSources::on_connected(std::size_t source, Micros now) {
    Health& health = health_[source];
    if (health.state != State::calling) return;
    health.state = State::asked;
    health.since = now;
}

bool WatchSources::on_data(std::size_t source, Micros now) {
    Health& health = health_[source];
    if (health.state == State::resting) return false;
    if (health.state != State::following) health.since = now;
    health.state = State::following;
    health.last_byte_at = now;
    update_proven(health, now);
    if (health.proven && now - health.since >= options_.stable_after) health.failures = 0;
    return health.proven;
}

WatchSources::EventResult WatchSources::on_event(std::size_t source, std::int64_t sequence,
                                                 std::int64_t newest, Micros now) {
    Health& health = health_[source];
    const bool is_regressed = sequence < health.highest_on_connection;
    health.highest_on_connection = std::max(health.highest_on_connection, sequence);
    health.highest = std::max(health.highest, sequence);
    record_newest(std::max(sequence, newest), now);
    on_data(source, now);
    if (sequence > newest) return EventResult::apply;
    return is_regressed && !std::exchange(health.regressed, true) ? EventResult::regressed
                                                                  : EventResult::duplicate;
}

void WatchSources::on_disconnected(std::size_t source, Micros now, std::string reason) {
    Health& health = health_[source];
    if (health.state != State::resting) fail(health, now, std::move(reason));
}

}  // namespace sumackeel::endpoints
