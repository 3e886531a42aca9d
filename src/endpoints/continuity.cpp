// Whether an event with a known number continues the numbering that is known, or belongs to another life of
// its change log.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "endpoints/endpoint_view.h"

namespace sumackeel::endpoints {

namespace {

constexpr std::size_t kMaxPurgeDigests = 1'024;  // remembered by their numbers

// Of the purge that an event tells of. Never 0.
std::uint64_t purge_digest(const config::WatchEvent& change) {
    const std::string text = name_of(purge_of(change, 0)) + ' ' + std::to_string(change.purge_time.micros);
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

// Whether both say the same of an endpoint. Start times are left out: they are converted by clocks that may
// have been set in between.
bool describes_same(const config::LocatedEndpoint& a, const config::LocatedEndpoint& b) {
    return a.address == b.address && a.endpoint.state == b.endpoint.state &&
           a.endpoint.zone == b.endpoint.zone && a.endpoint.kind == b.endpoint.kind &&
           a.endpoint.cell == b.endpoint.cell && a.endpoint.weight == b.endpoint.weight;
}

}  // namespace

void EndpointView::remember_purge(const config::WatchEvent& change) {
    purge_digests_[change.sequence] = purge_digest(change);
    if (purge_digests_.size() > kMaxPurgeDigests) purge_digests_.erase(purge_digests_.begin());
}

Continuity EndpointView::compare(const config::WatchEvent& change) const {
    const std::int64_t sequence = numbering_base_ + change.sequence;
    const bool was_deferred = deferred_update_ && sequence >= deferred_update_->change.sequence;
    if (sequence > last_sequence_ || was_deferred) return Continuity::unknown;
    Continuity result = compare_purge(change, sequence);
    const bool is_full_list = change.has_endpoints && change.is_full_list;
    if (is_full_list ? full_list_sequence_ < sequence : full_list_sequence_ == sequence)
        return Continuity::other_numbering;
    for (const config::LocatedEndpoint& located : change.endpoints) {
        const Continuity of_one = compare_endpoint(located, sequence);
        if (of_one == Continuity::other_numbering || result == Continuity::unknown) result = of_one;
        if (result == Continuity::other_numbering) return result;
    }
    return result;
}

// An endpoint that an event told of has a record of that number or a later one, or was removed since.
Continuity EndpointView::compare_endpoint(const config::LocatedEndpoint& located,
                                          std::int64_t sequence) const {
    const auto found = endpoints_.find(located.endpoint.name);
    if (found == endpoints_.end()) {
        const bool may_be_removed = full_list_sequence_ > sequence || forgotten_through_ >= sequence ||
                                    endpoints_.size() >= options_.max_endpoints;
        return may_be_removed ? Continuity::unknown : Continuity::other_numbering;
    }
    const EndpointRecord& record = *found->second.record;
    if (record.sequence > sequence) return Continuity::unknown;
    const bool is_same = record.sequence == sequence && describes_same(record.located, located);
    return is_same ? Continuity::same_numbering : Continuity::other_numbering;
}

Continuity EndpointView::compare_purge(const config::WatchEvent& change, std::int64_t sequence) const {
    const auto found = purge_digests_.find(sequence);
    if (found == purge_digests_.end()) return Continuity::unknown;
    const bool is_same = change.has_purge && found->second == purge_digest(change);
    return is_same ? Continuity::same_numbering : Continuity::other_numbering;
}

}  // namespace sumackeel::endpoints
