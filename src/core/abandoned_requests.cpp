#include "core/abandoned_requests.h"

#include <algorithm>

namespace sumackeel::core {

void AbandonedRequests::forget_expired(Micros now) {
    while (!expiries_.empty() && expiries_.front().at <= now) {
        entries_.erase(expiries_.front().id);
        expiries_.pop_front();
    }
}

void AbandonedRequests::add(const std::string& id, Micros may_have_run_since, Micros now, Micros retention) {
    forget_expired(now);
    const auto [entry, is_new] = entries_.try_emplace(id, Entry{may_have_run_since});
    if (!is_new) {
        entry->second.may_have_run_since = std::min(entry->second.may_have_run_since, may_have_run_since);
        return;
    }
    expiries_.push_back({id, now + retention});
}

std::optional<AbandonedRequests::Entry> AbandonedRequests::find(const std::string& id, Micros now) {
    forget_expired(now);
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second);
}

bool AbandonedRequests::has_room(Micros now) {
    forget_expired(now);
    return entries_.size() < kMaxEntries;
}

}  // namespace sumackeel::core
