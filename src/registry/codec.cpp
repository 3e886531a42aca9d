// The commands' and the state's form in the log, in snapshots and between members: MessagePack, a form number
// first that no command of rollout has.
#include <stdexcept>

#include "base/packed.h"
#include "registry/registry.h"

namespace sumackeel::registry {

namespace {

using base::Fields;
using base::Packed;

constexpr int kForm = 64;
enum class Word : int { change = 1, purge = 2, tick = 3, state = 4, since = 5 };
constexpr std::size_t kMostKeys = 2'000'000, kLongest = 256 << 20;

Packed& begin(Packed& out, Word word, std::size_t fields) {
    return out.array(fields + 2).add(kForm, static_cast<int>(word));
}

base::Unpacked opened(std::string_view bytes) {
    return base::unpacked(bytes, kMostKeys, kLongest);
}

Fields body(const base::Unpacked& whole, Word word, std::size_t fields) {
    Fields at = whole.fields(fields + 2);
    if (at.next<int>() != kForm || at.next<int>() != static_cast<int>(word)) Fields::broken();
    return at;
}

void pack(Packed& out, const std::string& key, const Entry& entry) {
    out.array(4).add(key, entry.version, entry.value, entry.until);
}
std::pair<std::string, Entry> entry_in(Fields at) {
    std::pair<std::string, Entry> one;
    one.first = at.text(kLongestKey), one.second.version = at.next<std::uint64_t>();
    one.second.value = at.text(kLongestValue), one.second.until = at.next<Micros>();
    return one;
}

void pack(Packed& out, const Purge& purge) {
    out.array(5).add(purge.number, purge.group, purge.object, purge.by, purge.at);
}
Purge purge_in(Fields at) {
    Purge purge;
    purge.number = at.next<std::uint64_t>(), purge.group = at.next<int>();
    purge.object = at.text(kLongestKey), purge.by = at.text(kLongestName), purge.at = at.next<Micros>();
    return purge;
}

Change change_in(Fields at) {
    Change change;
    change.by = at.text(kLongestName), change.now = at.next<Micros>();
    for (Fields parts = at.list(kMostParts); parts.left() > 0;) {
        Fields one = parts.array(6);
        Part part;
        part.key = one.text(kLongestKey);
        part.what = one.word(Do::check);
        part.value = one.text(kLongestValue);
        const bool checked = one.next<bool>();
        const auto expected = one.next<std::uint64_t>();
        if (checked) part.expected = expected;
        part.lasts = one.next<Micros>();
        change.parts.push_back(std::move(part));
    }
    return change;
}

}  // namespace

std::string encode(const Change& change) {
    Packed out;
    begin(out, Word::change, 3).add(change.by, change.now).array(change.parts.size());
    for (const Part& part : change.parts)
        out.array(6).add(part.key, static_cast<int>(part.what), part.value, part.expected.has_value(),
                         part.expected.value_or(0), part.lasts);
    return out.bytes();
}

std::string encode(const Purge& purge) {
    Packed out;
    begin(out, Word::purge, 1);
    pack(out, purge);
    return out.bytes();
}

std::string encode(const Tick& tick) {
    Packed out;
    return begin(out, Word::tick, 1).add(tick.now).bytes();
}

bool is_command(std::string_view bytes) {
    // An array of up to 15, and the form: the first two bytes of MessagePack say so.
    return bytes.size() > 2 && (static_cast<unsigned char>(bytes[0]) & 0xf0) == 0x90 && bytes[1] == kForm;
}

Answer apply(State& state, std::string_view command) {
    const base::Unpacked whole = opened(command);
    Fields at = whole.fields(3);
    if (at.next<int>() != kForm) Fields::broken();
    switch (at.word(Word::since)) {
        case Word::change:
            return state.apply(change_in(at));
        case Word::purge:
            return state.apply(purge_in(at.array(5)));
        case Word::tick:
            return state.apply(Tick{at.next<Micros>()});
        default:
            Fields::broken();
    }
}

std::string stamped(std::string_view command, Micros now) {
    const base::Unpacked whole = opened(command);
    Fields at = whole.fields(3);
    if (at.next<int>() != kForm) Fields::broken();
    const Word word = at.word(Word::since);
    if (word == Word::change) {
        Change change = change_in(at);
        change.now = now;
        return encode(change);
    }
    if (word != Word::purge) Fields::broken();
    Purge purge = purge_in(at.array(5));
    purge.at = now, purge.number = 0;
    return encode(purge);
}

std::string State::encode() const {
    Packed out;
    begin(out, Word::state, 4).add(revision_, purged_).array(entries_.size());
    for (const auto& [key, entry] : entries_) pack(out, key, entry);
    out.array(purges_.size());
    for (const Purge& purge : purges_) pack(out, purge);
    return out.bytes();
}

State State::decode(std::string_view bytes) {
    const base::Unpacked whole = opened(bytes);
    Fields at = body(whole, Word::state, 4);
    State state;
    state.revision_ = state.compacted_ = at.next<std::uint64_t>(), state.purged_ = at.next<std::uint64_t>();
    for (Fields all = at.list(kMostKeys); all.left() > 0;) {
        auto [key, entry] = entry_in(all.array(4));
        if (entry.version > state.revision_) Fields::broken();
        state.set(key, std::move(entry));
    }
    for (Fields all = at.list(kMostPurges); all.left() > 0;) {
        state.purges_.push_back(purge_in(all.array(5)));
        if (state.purges_.back().number > state.revision_) Fields::broken();
    }
    return state;
}

std::string State::news(std::uint64_t revision) const {
    if (revision == revision_) return {};
    const auto changed = since(revision);
    if (!changed) return encode();
    Packed out;
    begin(out, Word::since, 5).add(revision, revision_, purged_).array(changed->size());
    for (const Event& event : *changed) {
        out.array(3).add(event.revision, event.entry.has_value());
        pack(out, event.key, event.entry.value_or(Entry{}));
    }
    const auto newer = std::find_if(purges_.begin(), purges_.end(),
                                    [&](const Purge& purge) { return purge.number > revision; });
    out.array(static_cast<std::size_t>(purges_.end() - newer));
    for (auto purge = newer; purge != purges_.end(); ++purge) pack(out, *purge);
    return out.bytes();
}

std::uint64_t newest_in(std::string_view news) {
    const base::Unpacked whole = opened(news);
    Fields at = whole.fields(6);
    if (at.next<int>() != kForm) Fields::broken();
    if (at.word(Word::since) == Word::since) at.next<std::uint64_t>();  // from
    return at.next<std::uint64_t>();
}

bool State::take(std::string_view news) {
    const base::Unpacked whole = opened(news);
    Fields at = whole.fields(6);
    if (at.next<int>() != kForm) Fields::broken();
    const Word word = at.word(Word::since);
    if (word == Word::state) {
        *this = decode(news);
        return true;
    }
    if (word != Word::since) Fields::broken();
    const auto from = at.next<std::uint64_t>(), to = at.next<std::uint64_t>(),
               gone = at.next<std::uint64_t>();
    if ((from != revision_ && from != 0) || to < from) return false;
    // Read whole before anything changes.
    std::vector<Event> events;
    std::vector<Purge> purges;
    for (Fields all = at.list(kMostEvents + kMostParts); all.left() > 0;) {
        Fields one = all.array(3);
        Event event;
        event.revision = one.next<std::uint64_t>();
        const bool there = one.next<bool>();
        auto [key, entry] = entry_in(one.array(4));
        if (event.revision <= from || event.revision > to) Fields::broken();
        event.key = std::move(key);
        if (there) event.entry = std::move(entry);
        events.push_back(std::move(event));
    }
    for (Fields all = at.list(kMostPurges); all.left() > 0;) purges.push_back(purge_in(all.array(5)));
    if (from == 0) *this = {};  // from the beginning
    for (Event& event : events) {
        if (!event.key.empty()) set(event.key, event.entry);
        keep(std::move(event));
    }
    purges_.insert(purges_.end(), purges.begin(), purges.end());
    purged_ = gone;
    while (!purges_.empty() && (purges_.front().number <= purged_ || purges_.size() > kMostPurges))
        purges_.pop_front();
    revision_ = to;
    return true;
}

}  // namespace sumackeel::registry
