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
    : set_(options), rng_(seed), health_(count) {}

void WatchSources::replace(std::size_t count) {
    health_.assign(count, Health{});
}

void WatchSources::known(std::int64_t seq, Micros now) {
    constexpr std::size_t kMost = 4096;  // a burst beyond this settles as one
    if (!newest_.empty() && seq <= newest_.back().first) return;
    if (newest_.size() >= kMost)
        newest_.back().first = seq;
    else
        newest_.emplace_back(seq, now);
}

// The newest number that has been known for longer than sources may be apart.
std::int64_t WatchSources::settled(Micros now) {
    while (newest_.size() > 1 && newest_[1].second + set_.lag <= now) newest_.pop_front();
    return newest_.empty() ? 0 : newest_.front().first;
}

void WatchSources::weigh(Health& health, Micros now) {
    health.proven = health.state == State::following &&
                    (!set_.prove || (health.on_this > 0 && health.on_this >= settled(now)));
}

// Good, or not yet known to be otherwise: one just called has its time to answer.
bool WatchSources::good(const Health& health) const {
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

void WatchSources::fail(Health& health, Micros now, std::string why) {
    const bool steady = health.state == State::following && now - health.since >= set_.steady_after;
    health.failures = steady ? 1 : std::min(health.failures + 1, 30);
    Micros wait = set_.first_wait;
    for (int i = 1; i < health.failures && wait < set_.longest_wait; ++i) wait *= 2;
    wait = std::min(wait, set_.longest_wait);
    const double drawn = std::uniform_real_distribution<double>(0, 1)(rng_);
    wait -= static_cast<Micros>(static_cast<double>(wait) * set_.jitter * drawn);
    health.state = State::resting;
    health.proven = false;
    health.since = now;
    health.rest_until = now + wait;
    health.last_fault = std::move(why);
}

std::vector<WatchSources::Step> WatchSources::next_steps(Micros now, std::int64_t newest) {
    std::vector<Step> steps;
    known(newest, newest_.empty() ? now - set_.lag : now);  // what was there at the start has settled
    for (std::size_t i = 0; i < health_.size(); ++i) {
        Health& health = health_[i];
        const bool waiting = health.state == State::calling || health.state == State::asked;
        if (waiting && now > health.since + set_.connect_in)
            steps.push_back({Step::Kind::drop, i}), fail(health, now, "no answer in time");
        else if (health.state == State::following && now > health.last_byte_at + set_.silence)
            steps.push_back({Step::Kind::drop, i}), fail(health, now, "fell silent");
    }
    int good_ones = 0;
    for (std::size_t i = 0; i < health_.size(); ++i) {
        Health& health = health_[i];
        weigh(health, now);
        if (good_ones >= std::max(1, set_.follow)) {
            // Enough better ones; but one just called is not yet better than one that is proven.
            const bool all_proven = std::all_of(health_.begin(), health_.begin() + static_cast<long>(i),
                                                [&](const Health& h) { return !good(h) || h.proven; });
            if (health.state != State::resting && all_proven) {
                steps.push_back({Step::Kind::drop, i});
                health.state = State::resting;
                health.proven = false;
                health.since = health.rest_until = now;
                health.last_fault = "not needed";
            }
            continue;
        }
        if (health.state == State::resting && now >= health.rest_until) {
            // Asked from one before, a source that holds the newest event has to tell it again.
            const std::int64_t behind = set_.prove ? std::max<std::int64_t>(0, newest - 1) : newest;
            health.state = State::calling;
            health.since = now;
            health.on_this = 0;
            health.regressed = false;
            health.proven = false;
            steps.push_back({Step::Kind::call, i, behind});
        }
        good_ones += good(health);
    }
    return steps;
}

std::optional<Micros> WatchSources::next_deadline() const {
    std::optional<Micros> first;
    for (const Health& health : health_) {
        const Micros at = health.state == State::resting     ? health.rest_until
                          : health.state == State::following ? health.last_byte_at + set_.silence + 1
                                                             : health.since + set_.connect_in + 1;
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
    weigh(health, now);
    if (health.proven && now - health.since >= set_.steady_after) health.failures = 0;
    return health.proven;
}

WatchSources::EventResult WatchSources::on_event(std::size_t source, std::int64_t seq, std::int64_t newest,
                                                 Micros now) {
    Health& health = health_[source];
    const bool back = seq < health.on_this;
    health.on_this = std::max(health.on_this, seq);
    health.highest = std::max(health.highest, seq);
    known(std::max(seq, newest), now);
    on_data(source, now);
    if (seq > newest) return EventResult::apply;
    return back && !std::exchange(health.regressed, true) ? EventResult::regressed : EventResult::duplicate;
}

void WatchSources::on_disconnected(std::size_t source, Micros now, std::string why) {
    Health& health = health_[source];
    if (health.state != State::resting) fail(health, now, std::move(why));
}

}  // namespace sumackeel::endpoints
