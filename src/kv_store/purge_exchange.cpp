#include "kv_store/purge_exchange.h"

#include <algorithm>

namespace sumackeel::kv_store {

namespace {

constexpr Micros kVoterDelay = 20'000;
constexpr Micros kFollowerDelay = 200'000;      // they learn by their next query what the log has
constexpr Micros kProposeInterval = 1'000'000;  // a proposal has failed by then
constexpr std::size_t kEncodedFieldBytes = 48;  // of a purge besides its texts

std::string identity_of(const Purge& purge) {
    const std::string subject =
        purge.object.empty() ? "group " + std::to_string(purge.purge_group) : "object " + purge.object;
    return subject + ' ' + std::to_string(purge.origin_time);
}

}  // namespace

const char* name_of(PurgeSource source) {
    switch (source) {
        case PurgeSource::change_log:
            return "change_log";
        case PurgeSource::peer:
            return "peer";
        case PurgeSource::replicated_log:
            return "replicated_log";
    }
    return "?";
}

bool PurgeExchange::learn(const Purge& purge, PurgeSource source, Micros now) {
    forget_outdated(now);
    const std::string identity = identity_of(purge);
    if (source == PurgeSource::replicated_log) stop_pending(identity);
    const auto [entry, is_new] = known_.try_emplace(identity, 0);
    if (!is_new) return false;
    known_by_age_.push_back({identity, now});
    if (source == PurgeSource::replicated_log) return true;
    if (pending_.size() >= kMaxPendingPurges) {
        ++not_passed_on_;
        return true;
    }
    entry->second = next_number_;
    pending_.emplace(next_number_++, Pending{purge, now, std::nullopt});
    return true;
}

void PurgeExchange::stop_pending(const std::string& identity) {
    const auto found = known_.find(identity);
    if (found == known_.end()) return;
    pending_.erase(std::exchange(found->second, 0));
}

void PurgeExchange::forget_outdated(Micros now) {
    const auto is_first_outdated = [&] {
        return known_by_age_.front().learned_at + retention_ < now || known_by_age_.size() >= kMaxKnownPurges;
    };
    while (!known_by_age_.empty() && is_first_outdated()) {
        stop_pending(known_by_age_.front().identity);
        known_.erase(known_by_age_.front().identity);
        known_by_age_.pop_front();
    }
}

Micros PurgeExchange::due_at(const Pending& pending, ConsensusRole role) {
    if (pending.proposed_at) return *pending.proposed_at + kProposeInterval;
    switch (role) {
        case ConsensusRole::leader:
            return pending.learned_at;
        case ConsensusRole::voter:
            return pending.learned_at + kVoterDelay;
        case ConsensusRole::follower:
            return pending.learned_at + kFollowerDelay;
    }
    return pending.learned_at;
}

std::vector<Purge> PurgeExchange::take_due(ConsensusRole role, Micros now) {
    forget_outdated(now);
    std::vector<Purge> due;
    for (auto& [number, pending] : pending_) {
        if (due_at(pending, role) > now) continue;
        pending.proposed_at = now;
        due.push_back(pending.purge);
    }
    return due;
}

std::optional<Micros> PurgeExchange::next_due(ConsensusRole role) const {
    std::optional<Micros> next;
    for (const auto& [number, pending] : pending_)
        next = std::min(next.value_or(due_at(pending, role)), due_at(pending, role));
    return next;
}

std::vector<Purge> PurgeExchange::to_relay() const {
    std::vector<Purge> purges;
    std::size_t bytes = 0;
    for (const auto& [number, pending] : pending_) {
        bytes += kEncodedFieldBytes + pending.purge.object.size() + pending.purge.by.size();
        if (purges.size() >= kMaxRelayedPurges || bytes > kMaxRelayedBytes) break;
        purges.push_back(pending.purge);
    }
    return purges;
}

bool is_outdated(const Purge& purge, const Purge& newest, Micros retention) {
    return newest.origin_time - purge.origin_time > retention && newest.at - purge.at > retention;
}

}  // namespace sumackeel::kv_store
