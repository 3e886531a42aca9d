#include "endpoints/endpoint_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sumackeel::endpoints {

using routing::Endpoint;
using routing::EndpointState;

namespace {

int state_severity(EndpointState state) {
    return state == EndpointState::removed ? 2 : state == EndpointState::draining ? 1 : 0;
}

using RecordOrder = std::tuple<std::int64_t, int, const std::string&, Micros, double, int, int, std::int64_t>;

RecordOrder order_key(const EndpointRecord& record) {
    const Endpoint& entry = record.located.endpoint;
    return {record.sequence,
            state_severity(entry.state),
            record.located.address,
            entry.started_at,
            entry.weight,
            entry.zone,
            entry.kind,
            entry.cell};
}

}  // namespace

std::string name_of(const Purge& purge) {
    return purge.object.empty() ? "group " + std::to_string(purge.purge_group) : "object " + purge.object;
}

Purge purge_of(const config::WatchEvent& event, Micros at) {
    return {event.object, event.object.empty() ? event.purge_group : 0, at};
}

const char* name_of(RecordSource source) {
    return source == RecordSource::watch ? "log" : source == RecordSource::snapshot ? "saved" : "seed";
}

bool EndpointRecord::supersedes(const EndpointRecord& other) const {
    return order_key(*this) > order_key(other);
}

bool EndpointView::is_cache(const EndpointRecord& record) const {
    const int kind = record.located.endpoint.kind;
    return kind < 0 || (kind != options_.origin_kind && kind != options_.parent_kind);
}

void EndpointView::claim_address(const std::shared_ptr<const EndpointRecord>& record) {
    if (record->located.address.empty() || record->located.endpoint.state == EndpointState::removed) return;
    auto& owner = address_owners_[record->located.address];
    if (!owner || record->supersedes(*owner)) {
        if (owner) changed_ids_.insert(owner->located.endpoint.name);
        owner = record;
    }
}

// Whether a newer record of another endpoint has this address: then the old endpoint no longer exists,
// whatever an old list says.
bool EndpointView::is_address_reassigned(const EndpointRecord& record) const {
    const auto owner = address_owners_.find(record.located.address);
    return owner != address_owners_.end() &&
           owner->second->located.endpoint.name != record.located.endpoint.name &&
           owner->second->supersedes(record);
}

void EndpointView::merge(std::shared_ptr<const EndpointRecord> record, bool& updated, bool& table_full) {
    if (record->sequence < full_list_sequence_) return;
    const std::string& id = record->located.endpoint.name;
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        if (record->sequence > 0 && record->sequence <= forgotten_through_) return;
        if (endpoints_.size() >= options_.max_endpoints) {
            table_full = true;
            return;
        }
    } else if (!record->supersedes(*found->second.record)) {
        // The same from a better source: the seed list is confirmed.
        const bool confirms_seed = found->second.record->source == RecordSource::seed &&
                                   record->source == RecordSource::watch &&
                                   !found->second.record->supersedes(*record);
        if (!confirms_seed) return;
    }
    const bool was_removed =
        found != endpoints_.end() && found->second.record->located.endpoint.state == EndpointState::removed;
    const bool is_removed = record->located.endpoint.state == EndpointState::removed;
    removed_count_ += static_cast<std::size_t>(is_removed) - static_cast<std::size_t>(was_removed);
    claim_address(record);
    changed_ids_.insert(id);
    endpoints_[id].record = std::move(record);
    updated = true;
    if (removed_count_ > options_.max_removed) forget_removed();
}

// Evicts the older half of the removed endpoints at once, because each eviction walks the whole view. They
// stay removed: merge() ignores older records of endpoints that are not known.
void EndpointView::forget_removed() {
    std::vector<std::int64_t> sequences;
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.record->located.endpoint.state == EndpointState::removed)
            sequences.push_back(endpoint.record->sequence);
    const auto median = sequences.begin() + static_cast<std::ptrdiff_t>(sequences.size() / 2);
    std::nth_element(sequences.begin(), median, sequences.end());
    forgotten_through_ = std::max(forgotten_through_, *median);
    std::erase_if(endpoints_, [&](const auto& item) {
        const EndpointRecord& record = *item.second.record;
        if (record.located.endpoint.state != EndpointState::removed || record.sequence > *median)
            return false;
        changed_ids_.insert(item.first);
        --removed_count_;
        return true;
    });
    // Over months each server has had its own address: without this the table would grow without a bound.
    std::erase_if(address_owners_,
                  [&](const auto& item) { return !endpoints_.contains(item.second->located.endpoint.name); });
}

void EndpointView::remove_unlisted(const config::WatchEvent& full_list) {
    full_list_sequence_ = std::max(full_list_sequence_, full_list.sequence);
    std::erase_if(endpoints_, [&](const auto& item) {
        if (item.second.record->sequence >= full_list.sequence) return false;
        removed_count_ -= item.second.record->located.endpoint.state == EndpointState::removed;
        changed_ids_.insert(item.first);
        return true;
    });
    std::erase_if(address_owners_,
                  [&](const auto& item) { return item.second->sequence < full_list.sequence; });
}

void EndpointView::merge_endpoints(const config::WatchEvent& change, Micros now, RecordSource source,
                                   bool& updated, bool& table_full) {
    const bool is_newest_full_list = change.is_full_list && change.sequence > full_list_sequence_;
    for (const config::LocatedEndpoint& located : change.endpoints)
        merge(std::make_shared<const EndpointRecord>(EndpointRecord{change.sequence, source, located, now}),
              updated, table_full);
    if (is_newest_full_list) remove_unlisted(change), updated = true;
}

// Whether a full list would remove the last pop cache in use.
bool EndpointView::would_remove_last_cache(const config::WatchEvent& change) const {
    if (!change.has_endpoints || !change.is_full_list || change.sequence <= full_list_sequence_) return false;
    const auto ready = [this](const EndpointRecord& record) {
        return is_cache(record) && record.located.endpoint.state == EndpointState::ready;
    };
    bool any = false;
    for (const auto& [id, endpoint] : endpoints_) {
        any = any || ready(*endpoint.record);
        if (ready(*endpoint.record) && endpoint.record->sequence > change.sequence)
            return false;  // a newer record keeps it
    }
    return any && std::none_of(change.endpoints.begin(), change.endpoints.end(), [&](const auto& located) {
               return ready(EndpointRecord{change.sequence, RecordSource::watch, located, 0});
           });
}

void EndpointView::begin_numbering() {
    numbering_base_ = last_sequence_;
    purge_digests_.clear();
    deferred_update_.reset();
}

ApplyResult EndpointView::apply(config::WatchEvent change, Micros now, int watch_source,
                                RecordSource source) {
    change.sequence += numbering_base_;
    bool updated = false, table_full = false, deferred = false;
    if (change.has_purge) {
        insert_purge(purge_of(change, change.purged_at), now, updated);
        remember_purge(change);
    }
    if (change.has_endpoints) {
        if (deferred_update_ && change.is_full_list && change.sequence >= deferred_update_->change.sequence &&
            !would_remove_last_cache(change))
            deferred_update_.reset();
        const bool confirmed_by_other_source = deferred_update_ &&
                                               deferred_update_->watch_source != watch_source &&
                                               change.sequence >= deferred_update_->change.sequence;
        if (options_.empty_list_delay > 0 && would_remove_last_cache(change) && !confirmed_by_other_source) {
            if (!deferred_update_ || change.sequence > deferred_update_->change.sequence)
                deferred_update_ =
                    DeferredUpdate{change, watch_source, deferred_update_ ? deferred_update_->since : now};
            deferred = true;
        } else {
            merge_endpoints(change, now, source, updated, table_full);
            if (confirmed_by_other_source && change.is_full_list) deferred_update_.reset();
        }
    }
    last_sequence_ = std::max(last_sequence_, change.sequence);
    return deferred     ? ApplyResult::deferred
           : table_full ? ApplyResult::full
           : updated    ? ApplyResult::applied
                        : ApplyResult::outdated;
}

void EndpointView::add_purge(const Purge& purge, Micros now) {
    bool updated = false;
    insert_purge(purge, now, updated);
}

void EndpointView::load(const Snapshot& saved, base::UnixTime wall_now, Micros now) {
    const Micros since_taken = std::max<Micros>(0, wall_now - saved.taken_at);
    bool updated = false, table_full = false;
    for (const KnownEndpoint& stored : saved.endpoints) {
        EndpointRecord record = *stored.record;
        record.source = RecordSource::snapshot;
        record.received_at = now - since_taken;
        const std::string id = record.located.endpoint.name;
        merge(std::make_shared<const EndpointRecord>(std::move(record)), updated, table_full);
        const auto found = endpoints_.find(id);
        if (found != endpoints_.end() && stored.last_response_at >= 0)
            found->second.last_response_at =
                std::max(found->second.last_response_at, now - since_taken - stored.last_response_at);
    }
    if (saved.full_list_sequence > full_list_sequence_) {
        config::WatchEvent floor;
        floor.sequence = saved.full_list_sequence;
        remove_unlisted(floor);
    }
    load_purges(saved, now);
    last_sequence_ = std::max(last_sequence_, saved.last_sequence);
    numbering_base_ = std::max(numbering_base_, saved.numbering_base);
    if (saved.last_purge_digest != 0) purge_digests_[saved.last_sequence] = saved.last_purge_digest;
    forgotten_through_ = std::max(forgotten_through_, saved.forgotten_through);
    if (!live_ && saved.confirmed_age >= 0)
        confirmed_at_ = std::max(confirmed_at_, now - since_taken - saved.confirmed_age);
    all_changed_ = true;
}

// The wall clock may have been stepped since the snapshot was taken, and a purge that still applies would
// seem to have expired. So no time is counted since the snapshot: at worst a purge applies for longer.
void EndpointView::load_purges(const Snapshot& saved, Micros now) {
    bool updated = false;
    for (const Purge& stored : saved.purges) {
        const Micros age_then = std::max<Micros>(0, saved.taken_at.micros - stored.at);
        insert_purge({stored.object, stored.purge_group, now - age_then}, now, updated);
    }
}

void EndpointView::load_warnings(const Snapshot& saved, Micros now) {
    bool updated = false, table_full = false;
    for (const KnownEndpoint& stored : saved.endpoints) {
        if (stored.record->located.endpoint.state == EndpointState::ready) continue;
        EndpointRecord record = *stored.record;
        record.source = RecordSource::snapshot;
        record.received_at = now;
        merge(std::make_shared<const EndpointRecord>(std::move(record)), updated, table_full);
    }
    load_purges(saved, now);
}

void EndpointView::seed(const config::WatchEvent& list, Micros now) {
    bool updated = false, table_full = false;
    for (const config::LocatedEndpoint& located : list.endpoints) {
        merge(std::make_shared<const EndpointRecord>(
                  EndpointRecord{list.sequence, RecordSource::seed, located, now}),
              updated, table_full);
        if (located.endpoint.state == EndpointState::ready && seeded_ids_.size() < options_.max_endpoints)
            seeded_ids_.insert(located.endpoint.name);
    }
    seed_sequence_ = std::max(seed_sequence_, list.sequence);
    all_changed_ = true;
}

void EndpointView::confirm(Micros now) {
    confirmed_at_ = std::max(confirmed_at_, now);
    if (!std::exchange(live_, true)) all_changed_ = true;
}

void EndpointView::on_response(const std::string& id, Micros now) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) found->second.last_response_at = now;
}

// A purge dated far ahead by a wrong clock would outlive all others and evict them, so purges expire by their
// own time or the time of receipt, whichever is earlier.
void EndpointView::insert_purge(const Purge& purge, Micros now, bool& updated) {
    if (purge.at < now - options_.purge_retention) return;
    const std::string name = name_of(purge);
    const auto found = purges_.find(name);
    if (found != purges_.end()) {
        if (found->second.purge.at >= purge.at) return;
        purges_by_age_.erase(found->second.age);
    } else if (purges_.size() >= options_.max_purges) {
        drop_oldest_purge();
    }
    purges_[name] = {purge, *purges_by_age_.emplace(std::min(purge.at, now), name).first};
    updated = true;
}

void EndpointView::drop_oldest_purge() {
    purges_.erase(purges_by_age_.begin()->second);
    purges_by_age_.erase(purges_by_age_.begin());
}

void EndpointView::advance(Micros now) {
    while (!purges_by_age_.empty() && purges_by_age_.begin()->first < now - options_.purge_retention)
        drop_oldest_purge();
    if (deferred_update_ && now >= deferred_update_->since + options_.empty_list_delay) {
        const DeferredUpdate deferred = *std::exchange(deferred_update_, std::nullopt);
        bool updated = false, table_full = false;
        merge_endpoints(deferred.change, now, RecordSource::watch, updated, table_full);
    }
}

Trust EndpointView::evaluate_trust(const KnownEndpoint& endpoint, Micros now) const {
    const EndpointRecord& record = *endpoint.record;
    if (record.located.endpoint.state != EndpointState::ready) return Trust::none;
    if (!live_ && record.source != RecordSource::watch && is_address_reassigned(record)) return Trust::none;
    // The origin does not move: the list gives its name and address but says nothing about its health.
    if (options_.origin_kind >= 0 && record.located.endpoint.kind == options_.origin_kind) return Trust::full;
    if (record.source == RecordSource::seed) return Trust::unverified;
    if (live_ || record.source == RecordSource::watch) return Trust::full;
    const Micros silence =
        endpoint.last_response_at > 0 ? std::max<Micros>(0, confirmed_at_ - endpoint.last_response_at) : -1;
    const Trust by_age =
        confirmed_at_ > 0 ? trust_at(options_.staleness, now - confirmed_at_, silence) : Trust::none;
    // The seed list is the operator's statement that the endpoint exists.
    return by_age == Trust::none && seeded_ids_.contains(record.located.endpoint.name) ? Trust::unverified
                                                                                       : by_age;
}

Trust EndpointView::trust_of(const std::string& id, Micros now) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? Trust::none : evaluate_trust(found->second, now);
}

const KnownEndpoint* EndpointView::find(const std::string& id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::size_t EndpointView::count(Trust wanted, Micros now) const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const auto& item) { return evaluate_trust(item.second, now) == wanted; }));
}

std::vector<config::LocatedEndpoint> EndpointView::take_changes(Micros now) {
    // When the list passes an age limit, the trust of every endpoint may drop.
    const auto crossed = [&](Micros age_limit) {
        return confirmed_at_ > 0 && changes_taken_at_ < confirmed_at_ + age_limit &&
               now >= confirmed_at_ + age_limit;
    };
    if (!live_ && (crossed(options_.staleness.full_until) || crossed(options_.staleness.unverified_until)))
        all_changed_ = true;
    changes_taken_at_ = now;
    if (std::exchange(all_changed_, false))
        for (const auto& [id, endpoint] : endpoints_) changed_ids_.insert(id);
    std::vector<config::LocatedEndpoint> changed;
    for (const std::string& id : std::exchange(changed_ids_, {})) {
        const auto found = endpoints_.find(id);
        const auto before = reported_.find(id);
        if (found == endpoints_.end()) {
            forced_ids_.erase(id);
            if (before == reported_.end()) continue;
            config::LocatedEndpoint removed = before->second.record->located;
            removed.endpoint.state = EndpointState::removed;
            changed.push_back(std::move(removed));
            reported_.erase(before);
            continue;
        }
        const Trust allowed = evaluate_trust(found->second, now);
        const auto& record = found->second.record;
        const bool forced = forced_ids_.erase(id) > 0;
        if (before != reported_.end() && before->second.trust == allowed &&
            before->second.record->is_equivalent(*record) && !forced) {
            before->second.record = record;
            continue;
        }
        // An endpoint without trust that was never reported is not returned; its record is kept for the
        // address.
        reported_[id] = {record, allowed};
        config::LocatedEndpoint located = record->located;
        located.endpoint.unverified = allowed == Trust::unverified;
        if (allowed == Trust::none && located.endpoint.state == EndpointState::ready)
            located.endpoint.state = EndpointState::removed;
        if (before == reported_.end() && located.endpoint.state == EndpointState::removed) continue;
        changed.push_back(std::move(located));
    }
    return changed;
}

std::optional<Micros> EndpointView::next_deadline(Micros now) const {
    std::optional<Micros> next;
    const auto at = [&](Micros when) {
        if (when > now && (!next || when < *next)) next = when;
    };
    if (deferred_update_) at(std::max(deferred_update_->since + options_.empty_list_delay, now + 1));
    if (!live_ && confirmed_at_ > 0) at(confirmed_at_ + options_.staleness.full_until);
    if (!live_ && confirmed_at_ > 0) at(confirmed_at_ + options_.staleness.unverified_until);
    return next;
}

std::vector<Purge> EndpointView::purges() const {
    std::vector<Purge> all;
    for (const auto& [name, stored] : purges_) all.push_back(stored.purge);
    return all;
}

Snapshot EndpointView::snapshot(const std::string& site, base::UnixTime wall_now, Micros now) const {
    Snapshot saved;
    saved.site = site;
    saved.taken_at = wall_now;
    saved.confirmed_age = confirmed_at_ > 0 ? std::max<Micros>(0, now - confirmed_at_) : -1;
    saved.last_sequence = numbering_base_ + resume_after();
    saved.numbering_base = numbering_base_;
    const auto last_purge = purge_digests_.find(saved.last_sequence);
    if (last_purge != purge_digests_.end()) saved.last_purge_digest = last_purge->second;
    saved.full_list_sequence = full_list_sequence_;
    saved.forgotten_through = forgotten_through_;
    saved.endpoints.reserve(endpoints_.size());
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.record->source != RecordSource::seed)
            saved.endpoints.push_back(
                {endpoint.record,
                 endpoint.last_response_at > 0 ? std::max<Micros>(0, now - endpoint.last_response_at) : -1});
    saved.purges = purges();
    for (Purge& purge : saved.purges) purge.at = (wall_now - (now - purge.at)).micros;
    return saved;
}

bool EndpointView::same_knowledge(const EndpointView& other) const {
    const auto same = [](const auto& a, const auto& b) {
        return a.first == b.first && a.second.record->is_equivalent(*b.second.record);
    };
    return last_sequence_ == other.last_sequence_ && full_list_sequence_ == other.full_list_sequence_ &&
           purges() == other.purges() &&
           std::equal(endpoints_.begin(), endpoints_.end(), other.endpoints_.begin(), other.endpoints_.end(),
                      same);
}

}  // namespace sumackeel::endpoints
