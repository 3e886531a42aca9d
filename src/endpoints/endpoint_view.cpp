#include "endpoints/endpoint_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sumackeel::endpoints {

using routing::Endpoint;
using routing::EndpointState;

namespace {

int badness(EndpointState state) {
    return state == EndpointState::removed ? 2 : state == EndpointState::draining ? 1 : 0;
}

std::string name_of(const Purge& purge) {
    return purge.object.empty() ? "group " + std::to_string(purge.purge_group) : "object " + purge.object;
}

using Order = std::tuple<std::int64_t, int, const std::string&, Micros, double, int, int, std::int64_t>;

Order order_of(const EndpointRecord& word) {
    const Endpoint& entry = word.located.endpoint;
    return {word.sequence, badness(entry.state), word.located.address, entry.started_at,
            entry.weight,  entry.zone,           entry.kind,           entry.cell};
}

}  // namespace

const char* name_of(RecordSource source) {
    return source == RecordSource::watch ? "log" : source == RecordSource::snapshot ? "saved" : "seed";
}

bool EndpointRecord::supersedes(const EndpointRecord& other) const {
    return order_of(*this) > order_of(other);
}

bool EndpointView::is_cache(const EndpointRecord& word) const {
    const int kind = word.located.endpoint.kind;
    return kind < 0 || (kind != set_.origin_kind && kind != set_.parent_kind);
}

void EndpointView::own_address(const std::shared_ptr<const EndpointRecord>& word) {
    if (word->located.address.empty() || word->located.endpoint.state == EndpointState::removed) return;
    auto& owner = owners_[word->located.address];
    if (!owner || word->supersedes(*owner)) {
        if (owner) touched_.insert(owner->located.endpoint.name);
        owner = word;
    }
}

// A new member at the address of an old one: the old one is not there any more, whatever an old list says.
bool EndpointView::address_taken(const EndpointRecord& word) const {
    const auto owner = owners_.find(word.located.address);
    return owner != owners_.end() && owner->second->located.endpoint.name != word.located.endpoint.name &&
           owner->second->supersedes(word);
}

void EndpointView::merge(std::shared_ptr<const EndpointRecord> word, bool& news, bool& no_room) {
    if (word->sequence < whole_at_) return;
    const std::string& id = word->located.endpoint.name;
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        if (word->sequence > 0 && word->sequence <= forgotten_to_) return;
        if (endpoints_.size() >= set_.max_endpoints) {
            no_room = true;
            return;
        }
    } else if (!word->supersedes(*found->second.record)) {
        return;
    }
    const bool was_gone =
        found != endpoints_.end() && found->second.record->located.endpoint.state == EndpointState::removed;
    const bool is_gone = word->located.endpoint.state == EndpointState::removed;
    gone_ += static_cast<std::size_t>(is_gone) - static_cast<std::size_t>(was_gone);
    own_address(word);
    touched_.insert(id);
    endpoints_[id].record = std::move(word);
    news = true;
    if (gone_ > set_.max_removed) forget_gone();
}

// Danger: the oldest half of the gone ones is forgotten at once, since each time walks the whole view. What
// was forgotten stays gone: an older word on a member that is not known is not taken.
void EndpointView::forget_gone() {
    std::vector<std::int64_t> numbers;
    for (const auto& [id, member] : endpoints_)
        if (member.record->located.endpoint.state == EndpointState::removed)
            numbers.push_back(member.record->sequence);
    const auto middle = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
    std::nth_element(numbers.begin(), middle, numbers.end());
    forgotten_to_ = std::max(forgotten_to_, *middle);
    std::erase_if(endpoints_, [&](const auto& item) {
        const EndpointRecord& word = *item.second.record;
        if (word.located.endpoint.state != EndpointState::removed || word.sequence > *middle) return false;
        touched_.insert(item.first);
        --gone_;
        return true;
    });
    // Danger: over months each box had an address of its own. Kept, they would be the one table without a
    // bound.
    std::erase_if(owners_,
                  [&](const auto& item) { return !endpoints_.contains(item.second->located.endpoint.name); });
}

void EndpointView::remove_unnamed(const config::WatchEvent& whole) {
    whole_at_ = std::max(whole_at_, whole.sequence);
    std::erase_if(endpoints_, [&](const auto& item) {
        if (item.second.record->sequence >= whole.sequence) return false;
        gone_ -= item.second.record->located.endpoint.state == EndpointState::removed;
        touched_.insert(item.first);
        return true;
    });
    std::erase_if(owners_, [&](const auto& item) { return item.second->sequence < whole.sequence; });
}

void EndpointView::merge_fleet(const config::WatchEvent& change, Micros now, RecordSource source, bool& news,
                               bool& no_room) {
    const bool newest_whole = change.is_full_list && change.sequence > whole_at_;
    for (const config::LocatedEndpoint& placed : change.endpoints)
        merge(std::make_shared<const EndpointRecord>(EndpointRecord{change.sequence, source, placed, now}),
              news, no_room);
    if (newest_whole) remove_unnamed(change), news = true;
}

// Whether a whole list would leave no cache that may be used, while there is one.
bool EndpointView::empties(const config::WatchEvent& change) const {
    if (!change.has_endpoints || !change.is_full_list || change.sequence <= whole_at_) return false;
    const auto ready = [this](const EndpointRecord& word) {
        return is_cache(word) && word.located.endpoint.state == EndpointState::ready;
    };
    bool any = false;
    for (const auto& [id, member] : endpoints_) {
        any = any || ready(*member.record);
        if (ready(*member.record) && member.record->sequence > change.sequence)
            return false;  // a newer word keeps it
    }
    return any && std::none_of(change.endpoints.begin(), change.endpoints.end(), [&](const auto& placed) {
               return ready(EndpointRecord{change.sequence, RecordSource::watch, placed, 0});
           });
}

ApplyResult EndpointView::apply(const config::WatchEvent& change, Micros now, int log, RecordSource source) {
    bool news = false, no_room = false, doubted = false;
    if (change.has_purge)
        put_purge({change.object, change.object.empty() ? change.purge_group : 0, change.purged_at}, now,
                  news);
    if (change.has_endpoints) {
        if (deferred_update_ && change.is_full_list && change.sequence >= deferred_update_->change.sequence &&
            !empties(change))
            deferred_update_.reset();
        const bool second = deferred_update_ && deferred_update_->log != log &&
                            change.sequence >= deferred_update_->change.sequence;
        if (set_.empty_list_delay > 0 && empties(change) && !second) {
            if (!deferred_update_ || change.sequence > deferred_update_->change.sequence)
                deferred_update_ =
                    DeferredUpdate{change, log, deferred_update_ ? deferred_update_->since : now};
            doubted = true;
        } else {
            merge_fleet(change, now, source, news, no_room);
            if (second && change.is_full_list) deferred_update_.reset();
        }
    }
    last_seq_ = std::max(last_seq_, change.sequence);
    return doubted   ? ApplyResult::deferred
           : no_room ? ApplyResult::full
           : news    ? ApplyResult::applied
                     : ApplyResult::outdated;
}

void EndpointView::add_purge(const Purge& purge, Micros now) {
    bool news = false;
    put_purge(purge, now, news);
}

void EndpointView::load(const Snapshot& saved, base::UnixTime wall_now, Micros now) {
    const Micros since_taken = std::max<Micros>(0, wall_now - saved.taken_at);
    bool news = false, no_room = false;
    for (const KnownEndpoint& kept : saved.endpoints) {
        EndpointRecord word = *kept.record;
        word.source = RecordSource::snapshot;
        word.received_at = now - since_taken;
        const std::string id = word.located.endpoint.name;
        merge(std::make_shared<const EndpointRecord>(std::move(word)), news, no_room);
        const auto found = endpoints_.find(id);
        if (found != endpoints_.end() && kept.last_response_at >= 0)
            found->second.last_response_at =
                std::max(found->second.last_response_at, now - since_taken - kept.last_response_at);
    }
    if (saved.full_list_sequence > whole_at_) {
        config::WatchEvent floor;
        floor.sequence = saved.full_list_sequence;
        remove_unnamed(floor);
    }
    load_purges(saved, now);
    last_seq_ = std::max(last_seq_, saved.last_sequence);
    forgotten_to_ = std::max(forgotten_to_, saved.forgotten_through);
    if (!live_ && saved.confirmed_age >= 0)
        sure_at_ = std::max(sure_at_, now - since_taken - saved.confirmed_age);
    all_touched_ = true;
}

// Danger: the wall clock may have been stepped since the file was taken, and a purge that seemed long over
// would bind no more. So no time counts as passed since then: it binds for longer at the worst.
void EndpointView::load_purges(const Snapshot& saved, Micros now) {
    bool news = false;
    for (const Purge& kept : saved.purges) {
        const Micros age_then = std::max<Micros>(0, saved.taken_at.micros - kept.at);
        put_purge({kept.object, kept.purge_group, now - age_then}, now, news);
    }
}

void EndpointView::load_warnings(const Snapshot& saved, Micros now) {
    bool news = false, no_room = false;
    for (const KnownEndpoint& kept : saved.endpoints) {
        if (kept.record->located.endpoint.state == EndpointState::ready) continue;
        EndpointRecord word = *kept.record;
        word.source = RecordSource::snapshot;
        word.received_at = now;
        merge(std::make_shared<const EndpointRecord>(std::move(word)), news, no_room);
    }
    load_purges(saved, now);
}

void EndpointView::seed(const config::WatchEvent& list, Micros now) {
    bool news = false, no_room = false;
    for (const config::LocatedEndpoint& placed : list.endpoints) {
        merge(std::make_shared<const EndpointRecord>(
                  EndpointRecord{list.sequence, RecordSource::seed, placed, now}),
              news, no_room);
        if (placed.endpoint.state == EndpointState::ready && seeds_.size() < set_.max_endpoints)
            seeds_.insert(placed.endpoint.name);
    }
    seed_seq_ = std::max(seed_seq_, list.sequence);
    all_touched_ = true;
}

void EndpointView::confirm(Micros now) {
    sure_at_ = std::max(sure_at_, now);
    if (!std::exchange(live_, true)) all_touched_ = true;
}

void EndpointView::on_response(const std::string& id, Micros now) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) found->second.last_response_at = now;
}

// Danger: a purge dated far ahead by a wrong clock would outlive all others and push them out, so each goes
// by its own time or that of its hearing, whichever is earlier.
void EndpointView::put_purge(const Purge& purge, Micros now, bool& news) {
    if (purge.at < now - set_.purge_retention) return;
    const std::string name = name_of(purge);
    const auto found = purges_.find(name);
    if (found != purges_.end()) {
        if (found->second.purge.at >= purge.at) return;
        purges_by_age_.erase(found->second.age);
    } else if (purges_.size() >= set_.max_purges) {
        drop_oldest_purge();
    }
    purges_[name] = {purge, *purges_by_age_.emplace(std::min(purge.at, now), name).first};
    news = true;
}

void EndpointView::drop_oldest_purge() {
    purges_.erase(purges_by_age_.begin()->second);
    purges_by_age_.erase(purges_by_age_.begin());
}

void EndpointView::advance(Micros now) {
    while (!purges_by_age_.empty() && purges_by_age_.begin()->first < now - set_.purge_retention)
        drop_oldest_purge();
    if (deferred_update_ && now >= deferred_update_->since + set_.empty_list_delay) {
        const DeferredUpdate believed = *std::exchange(deferred_update_, std::nullopt);
        bool news = false, no_room = false;
        merge_fleet(believed.change, now, RecordSource::watch, news, no_room);
    }
}

Trust EndpointView::use(const KnownEndpoint& member, Micros now) const {
    const EndpointRecord& word = *member.record;
    if (word.located.endpoint.state != EndpointState::ready) return Trust::none;
    if (!live_ && word.source != RecordSource::watch && address_taken(word)) return Trust::none;
    // The origin stays where it is; its name and address come from the list, its health does not.
    if (set_.origin_kind >= 0 && word.located.endpoint.kind == set_.origin_kind) return Trust::full;
    if (word.source == RecordSource::seed) return Trust::unverified;
    if (live_ || word.source == RecordSource::watch) return Trust::full;
    const Micros silent =
        member.last_response_at > 0 ? std::max<Micros>(0, sure_at_ - member.last_response_at) : -1;
    const Trust by_age = sure_at_ > 0 ? trust_at(set_.staleness, now - sure_at_, silent) : Trust::none;
    // The seed list is the operator's own word that it is there.
    return by_age == Trust::none && seeds_.contains(word.located.endpoint.name) ? Trust::unverified : by_age;
}

Trust EndpointView::trust_of(const std::string& id, Micros now) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? Trust::none : use(found->second, now);
}

const KnownEndpoint* EndpointView::find(const std::string& id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::size_t EndpointView::count(Trust wanted, Micros now) const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const auto& item) { return use(item.second, now) == wanted; }));
}

std::vector<config::LocatedEndpoint> EndpointView::take_changes(Micros now) {
    // Past the end of a band every member of the list may be given less.
    const auto crossed = [&](Micros band) {
        return sure_at_ > 0 && looked_ < sure_at_ + band && now >= sure_at_ + band;
    };
    if (!live_ && (crossed(set_.staleness.full_until) || crossed(set_.staleness.unverified_until)))
        all_touched_ = true;
    looked_ = now;
    if (std::exchange(all_touched_, false))
        for (const auto& [id, member] : endpoints_) touched_.insert(id);
    std::vector<config::LocatedEndpoint> changed;
    for (const std::string& id : std::exchange(touched_, {})) {
        const auto found = endpoints_.find(id);
        const auto before = offered_.find(id);
        if (found == endpoints_.end()) {
            retold_.erase(id);
            if (before == offered_.end()) continue;
            config::LocatedEndpoint gone = before->second.word->located;
            gone.endpoint.state = EndpointState::removed;
            changed.push_back(std::move(gone));
            offered_.erase(before);
            continue;
        }
        const Trust may = use(found->second, now);
        const auto& word = found->second.record;
        const bool again = retold_.erase(id) > 0;
        if (before != offered_.end() && before->second.use == may &&
            before->second.word->is_equivalent(*word) && !again) {
            before->second.word = word;
            continue;
        }
        // One that was never offered and may be given nothing is not worth a word, but for its address.
        offered_[id] = {word, may};
        config::LocatedEndpoint placed = word->located;
        placed.endpoint.unverified = may == Trust::unverified;
        if (may == Trust::none && placed.endpoint.state == EndpointState::ready)
            placed.endpoint.state = EndpointState::removed;
        if (before == offered_.end() && placed.endpoint.state == EndpointState::removed) continue;
        changed.push_back(std::move(placed));
    }
    return changed;
}

std::optional<Micros> EndpointView::next_deadline(Micros now) const {
    std::optional<Micros> next;
    const auto at = [&](Micros when) {
        if (when > now && (!next || when < *next)) next = when;
    };
    if (deferred_update_) at(std::max(deferred_update_->since + set_.empty_list_delay, now + 1));
    if (!live_ && sure_at_ > 0) at(sure_at_ + set_.staleness.full_until);
    if (!live_ && sure_at_ > 0) at(sure_at_ + set_.staleness.unverified_until);
    return next;
}

std::vector<Purge> EndpointView::purges() const {
    std::vector<Purge> all;
    for (const auto& [name, kept] : purges_) all.push_back(kept.purge);
    return all;
}

Snapshot EndpointView::snapshot(const std::string& site, base::UnixTime wall_now, Micros now) const {
    Snapshot saved;
    saved.site = site;
    saved.taken_at = wall_now;
    saved.confirmed_age = sure_at_ > 0 ? std::max<Micros>(0, now - sure_at_) : -1;
    saved.last_sequence = resume_after();
    saved.full_list_sequence = whole_at_;
    saved.forgotten_through = forgotten_to_;
    saved.endpoints.reserve(endpoints_.size());
    for (const auto& [id, member] : endpoints_)
        if (member.record->source != RecordSource::seed)
            saved.endpoints.push_back({member.record, member.last_response_at > 0
                                                          ? std::max<Micros>(0, now - member.last_response_at)
                                                          : -1});
    saved.purges = purges();
    for (Purge& purge : saved.purges) purge.at = (wall_now - (now - purge.at)).micros;
    return saved;
}

bool EndpointView::same_knowledge(const EndpointView& other) const {
    const auto same = [](const auto& a, const auto& b) {
        return a.first == b.first && a.second.record->is_equivalent(*b.second.record);
    };
    return last_seq_ == other.last_seq_ && whole_at_ == other.whole_at_ && purges() == other.purges() &&
           std::equal(endpoints_.begin(), endpoints_.end(), other.endpoints_.begin(), other.endpoints_.end(),
                      same);
}

}  // namespace sumackeel::endpoints
