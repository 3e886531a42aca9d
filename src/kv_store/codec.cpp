// The commands' and the state's form in the log, in snapshots and between members: MessagePack, a form number
// first that no command of rollout has.
#include <stdexcept>

#include "base/msgpack.h"
#include "kv_store/kv_store.h"

namespace sumackeel::kv_store {

namespace {

using base::MsgpackReader;
using base::MsgpackWriter;

constexpr int kForm = 64;
enum class Word : int { change = 1, purge = 2, tick = 3, state = 4, since = 5 };
constexpr std::size_t kMostKeys = 2'000'000, kLongest = 256 << 20;

MsgpackWriter& begin(MsgpackWriter& out, Word word, std::size_t fields) {
    return out.array(fields + 2).add(kForm, static_cast<int>(word));
}

base::MsgpackDocument opened(std::string_view bytes) {
    return base::parse_msgpack(bytes, kMostKeys, kLongest);
}

MsgpackReader body(const base::MsgpackDocument& whole, Word word, std::size_t fields) {
    MsgpackReader at = whole.reader(fields + 2);
    if (at.next<int>() != kForm || at.next<int>() != static_cast<int>(word)) MsgpackReader::fail();
    return at;
}

void pack(MsgpackWriter& out, const std::string& key, const Entry& entry) {
    out.array(4).add(key, entry.version, entry.value, entry.expires_at);
}
std::pair<std::string, Entry> entry_in(MsgpackReader at) {
    std::pair<std::string, Entry> one;
    one.first = at.text(kMaxKeyLength), one.second.version = at.next<std::uint64_t>();
    one.second.value = at.text(kMaxValueBytes), one.second.expires_at = at.next<Micros>();
    return one;
}

void pack(MsgpackWriter& out, const Purge& purge) {
    out.array(5).add(purge.number, purge.purge_group, purge.object, purge.by, purge.at);
}
Purge purge_in(MsgpackReader at) {
    Purge purge;
    purge.number = at.next<std::uint64_t>(), purge.purge_group = at.next<int>();
    purge.object = at.text(kMaxKeyLength), purge.by = at.text(kMaxNameLength), purge.at = at.next<Micros>();
    return purge;
}

Transaction change_in(MsgpackReader at) {
    Transaction change;
    change.by = at.text(kMaxNameLength), change.now = at.next<Micros>();
    for (MsgpackReader parts = at.list(kMaxOperations); parts.remaining() > 0;) {
        MsgpackReader one = parts.array(6);
        Operation part;
        part.key = one.text(kMaxKeyLength);
        part.kind = one.enumeration(OperationKind::check);
        part.value = one.text(kMaxValueBytes);
        const bool checked = one.next<bool>();
        const auto expected = one.next<std::uint64_t>();
        if (checked) part.expected_version = expected;
        part.time_to_live = one.next<Micros>();
        change.operations.push_back(std::move(part));
    }
    return change;
}

}  // namespace

std::string encode(const Transaction& change) {
    MsgpackWriter out;
    begin(out, Word::change, 3).add(change.by, change.now).array(change.operations.size());
    for (const Operation& part : change.operations)
        out.array(6).add(part.key, static_cast<int>(part.kind), part.value, part.expected_version.has_value(),
                         part.expected_version.value_or(0), part.time_to_live);
    return out.bytes();
}

std::string encode(const Purge& purge) {
    MsgpackWriter out;
    begin(out, Word::purge, 1);
    pack(out, purge);
    return out.bytes();
}

std::string encode(const ExpireKeys& tick) {
    MsgpackWriter out;
    return begin(out, Word::tick, 1).add(tick.now).bytes();
}

bool is_command(std::string_view bytes) {
    // An array of up to 15, and the form: the first two bytes of MessagePack say so.
    return bytes.size() > 2 && (static_cast<unsigned char>(bytes[0]) & 0xf0) == 0x90 && bytes[1] == kForm;
}

ApplyResult apply(State& state, std::string_view command) {
    const base::MsgpackDocument whole = opened(command);
    MsgpackReader at = whole.reader(3);
    if (at.next<int>() != kForm) MsgpackReader::fail();
    switch (at.enumeration(Word::since)) {
        case Word::change:
            return state.apply(change_in(at));
        case Word::purge:
            return state.apply(purge_in(at.array(5)));
        case Word::tick:
            return state.apply(ExpireKeys{at.next<Micros>()});
        default:
            MsgpackReader::fail();
    }
}

std::string with_leader_time(std::string_view command, Micros now) {
    const base::MsgpackDocument whole = opened(command);
    MsgpackReader at = whole.reader(3);
    if (at.next<int>() != kForm) MsgpackReader::fail();
    const Word word = at.enumeration(Word::since);
    if (word == Word::change) {
        Transaction change = change_in(at);
        change.now = now;
        return encode(change);
    }
    if (word != Word::purge) MsgpackReader::fail();
    Purge purge = purge_in(at.array(5));
    purge.at = now, purge.number = 0;
    return encode(purge);
}

std::string State::encode() const {
    MsgpackWriter out;
    begin(out, Word::state, 4).add(revision_, purged_).array(entries_.size());
    for (const auto& [key, entry] : entries_) pack(out, key, entry);
    out.array(purges_.size());
    for (const Purge& purge : purges_) pack(out, purge);
    return out.bytes();
}

State State::decode(std::string_view bytes) {
    const base::MsgpackDocument whole = opened(bytes);
    MsgpackReader at = body(whole, Word::state, 4);
    State state;
    state.revision_ = state.compacted_ = at.next<std::uint64_t>(), state.purged_ = at.next<std::uint64_t>();
    for (MsgpackReader all = at.list(kMostKeys); all.remaining() > 0;) {
        auto [key, entry] = entry_in(all.array(4));
        if (entry.version > state.revision_) MsgpackReader::fail();
        state.set(key, std::move(entry));
    }
    for (MsgpackReader all = at.list(kMaxPurges); all.remaining() > 0;) {
        state.purges_.push_back(purge_in(all.array(5)));
        if (state.purges_.back().number > state.revision_) MsgpackReader::fail();
    }
    return state;
}

std::string State::update_since(std::uint64_t revision) const {
    if (revision == revision_) return {};
    const auto changed = events_since(revision);
    if (!changed) return encode();
    MsgpackWriter out;
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

std::uint64_t revision_of_update(std::string_view news) {
    const base::MsgpackDocument whole = opened(news);
    MsgpackReader at = whole.reader(6);
    if (at.next<int>() != kForm) MsgpackReader::fail();
    if (at.enumeration(Word::since) == Word::since) at.next<std::uint64_t>();  // from
    return at.next<std::uint64_t>();
}

bool State::apply_update(std::string_view news) {
    const base::MsgpackDocument whole = opened(news);
    MsgpackReader at = whole.reader(6);
    if (at.next<int>() != kForm) MsgpackReader::fail();
    const Word word = at.enumeration(Word::since);
    if (word == Word::state) {
        *this = decode(news);
        return true;
    }
    if (word != Word::since) MsgpackReader::fail();
    const auto from = at.next<std::uint64_t>(), to = at.next<std::uint64_t>(),
               gone = at.next<std::uint64_t>();
    if ((from != revision_ && from != 0) || to < from) return false;
    // Read whole before anything changes.
    std::vector<Event> events;
    std::vector<Purge> purges;
    for (MsgpackReader all = at.list(kMaxEvents + kMaxOperations); all.remaining() > 0;) {
        MsgpackReader one = all.array(3);
        Event event;
        event.revision = one.next<std::uint64_t>();
        const bool there = one.next<bool>();
        auto [key, entry] = entry_in(one.array(4));
        if (event.revision <= from || event.revision > to) MsgpackReader::fail();
        event.key = std::move(key);
        if (there) event.entry = std::move(entry);
        events.push_back(std::move(event));
    }
    for (MsgpackReader all = at.list(kMaxPurges); all.remaining() > 0;)
        purges.push_back(purge_in(all.array(5)));
    if (from == 0) *this = {};  // from the beginning
    for (Event& event : events) {
        if (!event.key.empty()) set(event.key, event.entry);
        keep(std::move(event));
    }
    purges_.insert(purges_.end(), purges.begin(), purges.end());
    purged_ = gone;
    while (!purges_.empty() && (purges_.front().number <= purged_ || purges_.size() > kMaxPurges))
        purges_.pop_front();
    revision_ = to;
    return true;
}

}  // namespace sumackeel::kv_store
