#include "membership/view.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sumackeel::membership {

using nettlethread::CacheEntry;
using nettlethread::CacheState;

namespace {

int badness(CacheState state) {
    return state == CacheState::gone ? 2 : state == CacheState::draining ? 1 : 0;
}

std::string name_of(const Purge& purge) {
    return purge.object.empty() ? "group " + std::to_string(purge.group) : "object " + purge.object;
}

using Order = std::tuple<std::int64_t, int, const std::string&, Micros, double, int, int, std::int64_t>;

Order order_of(const Word& word) {
    const CacheEntry& entry = word.placed.entry;
    return {word.seq,     badness(entry.state), word.placed.address, entry.since,
            entry.weight, entry.zone,           entry.kind,          entry.cell};
}

}  // namespace

const char* name_of(Source source) {
    return source == Source::log ? "log" : source == Source::saved ? "saved" : "seed";
}

bool Word::newer_than(const Word& other) const {
    return order_of(*this) > order_of(other);
}

bool View::is_cache(const Word& word) const {
    const int kind = word.placed.entry.kind;
    return kind < 0 || (kind != set_.origin_kind && kind != set_.parent_kind);
}

void View::own_address(const std::shared_ptr<const Word>& word) {
    if (word->placed.address.empty() || word->placed.entry.state == CacheState::gone) return;
    auto& owner = owners_[word->placed.address];
    if (!owner || word->newer_than(*owner)) {
        if (owner) touched_.insert(owner->placed.entry.cache);
        owner = word;
    }
}

// A new member at the address of an old one: the old one is not there any more, whatever an old list says.
bool View::address_taken(const Word& word) const {
    const auto owner = owners_.find(word.placed.address);
    return owner != owners_.end() && owner->second->placed.entry.cache != word.placed.entry.cache &&
           owner->second->newer_than(word);
}

void View::merge(std::shared_ptr<const Word> word, bool& news, bool& no_room) {
    if (word->seq < whole_at_) return;
    const std::string& id = word->placed.entry.cache;
    const auto found = members_.find(id);
    if (found == members_.end()) {
        if (word->seq > 0 && word->seq <= forgotten_to_) return;
        if (members_.size() >= set_.most_members) {
            no_room = true;
            return;
        }
    } else if (!word->newer_than(*found->second.word)) {
        return;
    }
    const bool was_gone =
        found != members_.end() && found->second.word->placed.entry.state == CacheState::gone;
    const bool is_gone = word->placed.entry.state == CacheState::gone;
    gone_ += static_cast<std::size_t>(is_gone) - static_cast<std::size_t>(was_gone);
    own_address(word);
    touched_.insert(id);
    members_[id].word = std::move(word);
    news = true;
    if (gone_ > set_.most_gone) forget_gone();
}

// Danger: the oldest half of the gone ones is forgotten at once, since each time walks the whole view. What
// was forgotten stays gone: an older word on a member that is not known is not taken.
void View::forget_gone() {
    std::vector<std::int64_t> numbers;
    for (const auto& [id, member] : members_)
        if (member.word->placed.entry.state == CacheState::gone) numbers.push_back(member.word->seq);
    const auto middle = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
    std::nth_element(numbers.begin(), middle, numbers.end());
    forgotten_to_ = std::max(forgotten_to_, *middle);
    std::erase_if(members_, [&](const auto& item) {
        const Word& word = *item.second.word;
        if (word.placed.entry.state != CacheState::gone || word.seq > *middle) return false;
        touched_.insert(item.first);
        --gone_;
        return true;
    });
    // Danger: over months each box had an address of its own. Kept, they would be the one table without a
    // bound.
    std::erase_if(owners_,
                  [&](const auto& item) { return !members_.contains(item.second->placed.entry.cache); });
}

void View::remove_unnamed(const config::Change& whole) {
    whole_at_ = std::max(whole_at_, whole.seq);
    std::erase_if(members_, [&](const auto& item) {
        if (item.second.word->seq >= whole.seq) return false;
        gone_ -= item.second.word->placed.entry.state == CacheState::gone;
        touched_.insert(item.first);
        return true;
    });
    std::erase_if(owners_, [&](const auto& item) { return item.second->seq < whole.seq; });
}

void View::merge_fleet(const config::Change& change, Micros now, Source source, bool& news, bool& no_room) {
    const bool newest_whole = change.whole && change.seq > whole_at_;
    for (const config::Placed& placed : change.members)
        merge(std::make_shared<const Word>(Word{change.seq, source, placed, now}), news, no_room);
    if (newest_whole) remove_unnamed(change), news = true;
}

// Whether a whole list would leave no cache that may be used, while there is one.
bool View::empties(const config::Change& change) const {
    if (!change.has_fleet || !change.whole || change.seq <= whole_at_) return false;
    const auto ready = [this](const Word& word) {
        return is_cache(word) && word.placed.entry.state == CacheState::ready;
    };
    bool any = false;
    for (const auto& [id, member] : members_) {
        any = any || ready(*member.word);
        if (ready(*member.word) && member.word->seq > change.seq) return false;  // a newer word keeps it
    }
    return any && std::none_of(change.members.begin(), change.members.end(), [&](const auto& placed) {
               return ready(Word{change.seq, Source::log, placed, 0});
           });
}

Heard View::apply(const config::Change& change, Micros now, int log, Source source) {
    bool news = false, no_room = false, doubted = false;
    if (change.has_purge)
        put_purge({change.object, change.object.empty() ? change.group : 0, change.purged_at}, now, news);
    if (change.has_fleet) {
        if (doubt_ && change.whole && change.seq >= doubt_->change.seq && !empties(change)) doubt_.reset();
        const bool second = doubt_ && doubt_->log != log && change.seq >= doubt_->change.seq;
        if (set_.doubt_for > 0 && empties(change) && !second) {
            if (!doubt_ || change.seq > doubt_->change.seq)
                doubt_ = Doubt{change, log, doubt_ ? doubt_->since : now};
            doubted = true;
        } else {
            merge_fleet(change, now, source, news, no_room);
            if (second && change.whole) doubt_.reset();
        }
    }
    last_seq_ = std::max(last_seq_, change.seq);
    return doubted ? Heard::doubted : no_room ? Heard::full : news ? Heard::taken : Heard::old;
}

void View::learn(const Purge& purge, Micros now) {
    bool news = false;
    put_purge(purge, now, news);
}

void View::load(const Snapshot& saved, base::UnixTime wall_now, Micros now) {
    const Micros since_taken = std::max<Micros>(0, wall_now - saved.taken_at);
    bool news = false, no_room = false;
    for (const Member& kept : saved.members) {
        Word word = *kept.word;
        word.source = Source::saved;
        word.heard = now - since_taken;
        const std::string id = word.placed.entry.cache;
        merge(std::make_shared<const Word>(std::move(word)), news, no_room);
        const auto found = members_.find(id);
        if (found != members_.end() && kept.answered >= 0)
            found->second.answered = std::max(found->second.answered, now - since_taken - kept.answered);
    }
    if (saved.whole_at > whole_at_) {
        config::Change floor;
        floor.seq = saved.whole_at;
        remove_unnamed(floor);
    }
    load_purges(saved, now);
    last_seq_ = std::max(last_seq_, saved.last_seq);
    forgotten_to_ = std::max(forgotten_to_, saved.forgotten_to);
    if (!live_ && saved.sure_age >= 0) sure_at_ = std::max(sure_at_, now - since_taken - saved.sure_age);
    all_touched_ = true;
}

// Danger: the wall clock may have been stepped since the file was taken, and a purge that seemed long over
// would bind no more. So no time counts as passed since then: it binds for longer at the worst.
void View::load_purges(const Snapshot& saved, Micros now) {
    bool news = false;
    for (const Purge& kept : saved.purges) {
        const Micros age_then = std::max<Micros>(0, saved.taken_at.micros - kept.at);
        put_purge({kept.object, kept.group, now - age_then}, now, news);
    }
}

void View::load_warnings(const Snapshot& saved, Micros now) {
    bool news = false, no_room = false;
    for (const Member& kept : saved.members) {
        if (kept.word->placed.entry.state == CacheState::ready) continue;
        Word word = *kept.word;
        word.source = Source::saved;
        word.heard = now;
        merge(std::make_shared<const Word>(std::move(word)), news, no_room);
    }
    load_purges(saved, now);
}

void View::seed(const config::Change& list, Micros now) {
    bool news = false, no_room = false;
    for (const config::Placed& placed : list.members) {
        merge(std::make_shared<const Word>(Word{list.seq, Source::seed, placed, now}), news, no_room);
        if (placed.entry.state == CacheState::ready && seeds_.size() < set_.most_members)
            seeds_.insert(placed.entry.cache);
    }
    seed_seq_ = std::max(seed_seq_, list.seq);
    all_touched_ = true;
}

void View::confirm(Micros now) {
    sure_at_ = std::max(sure_at_, now);
    if (!std::exchange(live_, true)) all_touched_ = true;
}

void View::answered(const std::string& id, Micros now) {
    const auto found = members_.find(id);
    if (found != members_.end()) found->second.answered = now;
}

// Danger: a purge dated far ahead by a wrong clock would outlive all others and push them out, so each goes
// by its own time or that of its hearing, whichever is earlier.
void View::put_purge(const Purge& purge, Micros now, bool& news) {
    if (purge.at < now - set_.keep_purges_for) return;
    const std::string name = name_of(purge);
    const auto found = purges_.find(name);
    if (found != purges_.end()) {
        if (found->second.purge.at >= purge.at) return;
        purges_by_age_.erase(found->second.age);
    } else if (purges_.size() >= set_.most_purges) {
        drop_oldest_purge();
    }
    purges_[name] = {purge, *purges_by_age_.emplace(std::min(purge.at, now), name).first};
    news = true;
}

void View::drop_oldest_purge() {
    purges_.erase(purges_by_age_.begin()->second);
    purges_by_age_.erase(purges_by_age_.begin());
}

void View::pass(Micros now) {
    while (!purges_by_age_.empty() && purges_by_age_.begin()->first < now - set_.keep_purges_for)
        drop_oldest_purge();
    if (doubt_ && now >= doubt_->since + set_.doubt_for) {
        const Doubt believed = *std::exchange(doubt_, std::nullopt);
        bool news = false, no_room = false;
        merge_fleet(believed.change, now, Source::log, news, no_room);
    }
}

Use View::use(const Member& member, Micros now) const {
    const Word& word = *member.word;
    if (word.placed.entry.state != CacheState::ready) return Use::none;
    if (!live_ && word.source != Source::log && address_taken(word)) return Use::none;
    // The origin stays where it is; its name and address come from the list, its health does not.
    if (set_.origin_kind >= 0 && word.placed.entry.kind == set_.origin_kind) return Use::full;
    if (word.source == Source::seed) return Use::careful;
    if (live_ || word.source == Source::log) return Use::full;
    const Micros silent = member.answered > 0 ? std::max<Micros>(0, sure_at_ - member.answered) : -1;
    const Use by_age = sure_at_ > 0 ? use_at(set_.bands, now - sure_at_, silent) : Use::none;
    // The seed list is the operator's own word that it is there.
    return by_age == Use::none && seeds_.contains(word.placed.entry.cache) ? Use::careful : by_age;
}

Use View::use_of(const std::string& id, Micros now) const {
    const auto found = members_.find(id);
    return found == members_.end() ? Use::none : use(found->second, now);
}

const Member* View::find(const std::string& id) const {
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

std::size_t View::count(Use wanted, Micros now) const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [&](const auto& item) { return use(item.second, now) == wanted; }));
}

std::vector<config::Placed> View::changes(Micros now) {
    // Past the end of a band every member of the list may be given less.
    const auto crossed = [&](Micros band) {
        return sure_at_ > 0 && looked_ < sure_at_ + band && now >= sure_at_ + band;
    };
    if (!live_ && (crossed(set_.bands.full_until) || crossed(set_.bands.careful_until))) all_touched_ = true;
    looked_ = now;
    if (std::exchange(all_touched_, false))
        for (const auto& [id, member] : members_) touched_.insert(id);
    std::vector<config::Placed> told;
    for (const std::string& id : std::exchange(touched_, {})) {
        const auto found = members_.find(id);
        const auto before = offered_.find(id);
        if (found == members_.end()) {
            retold_.erase(id);
            if (before == offered_.end()) continue;
            config::Placed gone = before->second.word->placed;
            gone.entry.state = CacheState::gone;
            told.push_back(std::move(gone));
            offered_.erase(before);
            continue;
        }
        const Use may = use(found->second, now);
        const auto& word = found->second.word;
        const bool again = retold_.erase(id) > 0;
        if (before != offered_.end() && before->second.use == may && before->second.word->same_as(*word) &&
            !again) {
            before->second.word = word;
            continue;
        }
        // One that was never offered and may be given nothing is not worth a word, but for its address.
        offered_[id] = {word, may};
        config::Placed placed = word->placed;
        placed.entry.careful = may == Use::careful;
        if (may == Use::none && placed.entry.state == CacheState::ready)
            placed.entry.state = CacheState::gone;
        if (before == offered_.end() && placed.entry.state == CacheState::gone) continue;
        told.push_back(std::move(placed));
    }
    return told;
}

std::optional<Micros> View::due(Micros now) const {
    std::optional<Micros> next;
    const auto at = [&](Micros when) {
        if (when > now && (!next || when < *next)) next = when;
    };
    if (doubt_) at(std::max(doubt_->since + set_.doubt_for, now + 1));
    if (!live_ && sure_at_ > 0) at(sure_at_ + set_.bands.full_until);
    if (!live_ && sure_at_ > 0) at(sure_at_ + set_.bands.careful_until);
    return next;
}

std::vector<Purge> View::purges() const {
    std::vector<Purge> all;
    for (const auto& [name, kept] : purges_) all.push_back(kept.purge);
    return all;
}

Snapshot View::snapshot(const std::string& site, base::UnixTime wall_now, Micros now) const {
    Snapshot saved;
    saved.site = site;
    saved.taken_at = wall_now;
    saved.sure_age = sure_at_ > 0 ? std::max<Micros>(0, now - sure_at_) : -1;
    saved.last_seq = resume_behind();
    saved.whole_at = whole_at_;
    saved.forgotten_to = forgotten_to_;
    saved.members.reserve(members_.size());
    for (const auto& [id, member] : members_)
        if (member.word->source != Source::seed)
            saved.members.push_back(
                {member.word, member.answered > 0 ? std::max<Micros>(0, now - member.answered) : -1});
    saved.purges = purges();
    for (Purge& purge : saved.purges) purge.at = (wall_now - (now - purge.at)).micros;
    return saved;
}

bool View::same_knowledge(const View& other) const {
    const auto same = [](const auto& a, const auto& b) {
        return a.first == b.first && a.second.word->same_as(*b.second.word);
    };
    return last_seq_ == other.last_seq_ && whole_at_ == other.whole_at_ && purges() == other.purges() &&
           std::equal(members_.begin(), members_.end(), other.members_.begin(), other.members_.end(), same);
}

}  // namespace sumackeel::membership
