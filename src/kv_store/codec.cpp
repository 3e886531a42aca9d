// The encoding of commands and state in the log, in snapshots and between members: a MessagePack array that
// starts with a format marker. No rollout command starts with this marker.
#include <algorithm>
#include <stdexcept>

#include "base/msgpack.h"
#include "kv_store/kv_store.h"
#include "kv_store/purge_exchange.h"

namespace sumackeel::kv_store {

namespace {

using base::MsgpackReader;
using base::MsgpackWriter;

constexpr int kFormatMarker = 64;
enum class RecordKind : int { change = 1, purge = 2, expire = 3, state = 4, update = 5 };
constexpr std::size_t kMaxElements = 2'000'000, kMaxBytes = 256 << 20;

MsgpackWriter& begin(MsgpackWriter& out, RecordKind kind, std::size_t fields) {
    return out.array(fields + 2).add(kFormatMarker, static_cast<int>(kind));
}

base::MsgpackDocument parse(std::string_view bytes) {
    return base::parse_msgpack(bytes, kMaxElements, kMaxBytes);
}

MsgpackReader body_reader(const base::MsgpackDocument& document, RecordKind kind, std::size_t fields) {
    MsgpackReader reader = document.reader(fields + 2);
    if (reader.next<int>() != kFormatMarker || reader.next<int>() != static_cast<int>(kind))
        MsgpackReader::fail();
    return reader;
}

void pack(MsgpackWriter& out, const std::string& key, const Entry& entry) {
    out.array(4).add(key, entry.version, entry.value, entry.expires_at);
}
std::pair<std::string, Entry> read_entry(MsgpackReader reader) {
    std::pair<std::string, Entry> item;
    item.first = reader.text(kMaxKeyLength), item.second.version = reader.next<std::uint64_t>();
    item.second.value = reader.text(kMaxValueBytes), item.second.expires_at = reader.next<Micros>();
    return item;
}

// Versions without purges of change logs read the first five values.
void pack(MsgpackWriter& out, const Purge& purge) {
    const bool is_of_origin = purge.origin_time != 0;
    out.array(is_of_origin ? 6 : 5).add(purge.number, purge.purge_group, purge.object, purge.by, purge.at);
    if (is_of_origin) out.add(purge.origin_time);
}
Purge read_purge(MsgpackReader reader) {
    Purge purge;
    purge.number = reader.next<std::uint64_t>(), purge.purge_group = reader.next<int>();
    purge.object = reader.text(kMaxKeyLength), purge.by = reader.text(kMaxNameLength),
    purge.at = reader.next<Micros>();
    if (reader.remaining() > 0) purge.origin_time = reader.next<std::int64_t>();
    return purge;
}

Transaction read_transaction(MsgpackReader reader) {
    Transaction change;
    change.by = reader.text(kMaxNameLength), change.now = reader.next<Micros>();
    for (MsgpackReader operations = reader.list(kMaxOperations); operations.remaining() > 0;) {
        MsgpackReader item = operations.array(6);
        Operation operation;
        operation.key = item.text(kMaxKeyLength);
        operation.kind = item.enumeration(OperationKind::check);
        operation.value = item.text(kMaxValueBytes);
        const bool checked = item.next<bool>();
        const auto expected = item.next<std::uint64_t>();
        if (checked) operation.expected_version = expected;
        operation.time_to_live = item.next<Micros>();
        change.operations.push_back(std::move(operation));
    }
    return change;
}

}  // namespace

std::string encode(const Transaction& change) {
    MsgpackWriter out;
    begin(out, RecordKind::change, 3).add(change.by, change.now).array(change.operations.size());
    for (const Operation& operation : change.operations)
        out.array(6).add(operation.key, static_cast<int>(operation.kind), operation.value,
                         operation.expected_version.has_value(), operation.expected_version.value_or(0),
                         operation.time_to_live);
    return out.bytes();
}

std::string encode(const Purge& purge) {
    MsgpackWriter out;
    begin(out, RecordKind::purge, 1);
    pack(out, purge);
    return out.bytes();
}

std::string encode(const ExpireKeys& command) {
    MsgpackWriter out;
    return begin(out, RecordKind::expire, 1).add(command.now).bytes();
}

bool is_command(std::string_view bytes) {
    // In MessagePack, the first byte denotes an array of up to 15 elements; the second is the format marker.
    return bytes.size() > 2 && (static_cast<unsigned char>(bytes[0]) & 0xf0) == 0x90 &&
           bytes[1] == kFormatMarker;
}

ApplyResult apply(State& state, std::string_view command) {
    const base::MsgpackDocument document = parse(command);
    MsgpackReader reader = document.reader(3);
    if (reader.next<int>() != kFormatMarker) MsgpackReader::fail();
    switch (reader.enumeration(RecordKind::update)) {
        case RecordKind::change:
            return state.apply(read_transaction(reader));
        case RecordKind::purge:
            return state.apply(read_purge(reader.array(5)));
        case RecordKind::expire:
            return state.apply(ExpireKeys{reader.next<Micros>()});
        default:
            MsgpackReader::fail();
    }
}

// Other commands may be long, so only a purge is parsed: behind the marker stands the kind, in one byte too.
std::optional<Purge> purge_of_origin(std::string_view command) {
    if (!is_command(command) || command[2] != static_cast<char>(RecordKind::purge)) return std::nullopt;
    const base::MsgpackDocument document = parse(command);
    MsgpackReader reader = body_reader(document, RecordKind::purge, 1);
    const Purge purge = read_purge(reader.array(5));
    return purge.origin_time != 0 ? std::optional(purge) : std::nullopt;
}

void pack_purges(MsgpackWriter& out, const std::vector<Purge>& purges) {
    out.array(purges.size());
    for (const Purge& purge : purges) pack(out, purge);
}

std::vector<Purge> read_purges(MsgpackReader& reader) {
    std::vector<Purge> purges;
    for (MsgpackReader items = reader.list(kMaxRelayedPurges); items.remaining() > 0;)
        purges.push_back(read_purge(items.array(5)));
    return purges;
}

std::string encode_purges(const std::vector<Purge>& purges) {
    if (purges.empty()) return {};
    MsgpackWriter out;
    pack_purges(out.array(1), purges);
    return out.bytes();
}

std::vector<Purge> decode_purges(std::string_view bytes) {
    if (bytes.empty()) return {};
    const base::MsgpackDocument document =
        base::parse_msgpack(bytes, kMaxRelayedPurges, std::max(kMaxKeyLength, kMaxNameLength));
    MsgpackReader reader = document.reader(1);
    return read_purges(reader);
}

std::string with_leader_time(std::string_view command, Micros now) {
    const base::MsgpackDocument document = parse(command);
    MsgpackReader reader = document.reader(3);
    if (reader.next<int>() != kFormatMarker) MsgpackReader::fail();
    const RecordKind kind = reader.enumeration(RecordKind::update);
    if (kind == RecordKind::change) {
        Transaction change = read_transaction(reader);
        change.now = now;
        return encode(change);
    }
    if (kind != RecordKind::purge) MsgpackReader::fail();
    Purge purge = read_purge(reader.array(5));
    purge.at = now, purge.number = 0;
    return encode(purge);
}

std::string State::encode() const {
    MsgpackWriter out;
    begin(out, RecordKind::state, 4).add(revision_, last_dropped_purge_).array(entries_.size());
    for (const auto& [key, entry] : entries_) pack(out, key, entry);
    out.array(purges_.size());
    for (const Purge& purge : purges_) pack(out, purge);
    return out.bytes();
}

State State::decode(std::string_view bytes) {
    const base::MsgpackDocument document = parse(bytes);
    MsgpackReader reader = body_reader(document, RecordKind::state, 4);
    State state;
    state.revision_ = state.compacted_revision_ = reader.next<std::uint64_t>(),
    state.last_dropped_purge_ = reader.next<std::uint64_t>();
    for (MsgpackReader items = reader.list(kMaxElements); items.remaining() > 0;) {
        auto [key, entry] = read_entry(items.array(4));
        if (entry.version > state.revision_) MsgpackReader::fail();
        state.set(key, std::move(entry));
    }
    for (MsgpackReader items = reader.list(kMaxPurges); items.remaining() > 0;) {
        state.purges_.push_back(read_purge(items.array(5)));
        if (state.purges_.back().number > state.revision_) MsgpackReader::fail();
    }
    return state;
}

std::string State::update_since(std::uint64_t revision) const {
    if (revision == revision_) return {};
    const auto changed = events_since(revision);
    if (!changed) return encode();
    MsgpackWriter out;
    begin(out, RecordKind::update, 5).add(revision, revision_, last_dropped_purge_).array(changed->size());
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

std::uint64_t revision_of_update(std::string_view update) {
    const base::MsgpackDocument document = parse(update);
    MsgpackReader reader = document.reader(6);
    if (reader.next<int>() != kFormatMarker) MsgpackReader::fail();
    if (reader.enumeration(RecordKind::update) == RecordKind::update) reader.next<std::uint64_t>();  // from
    return reader.next<std::uint64_t>();
}

bool State::apply_update(std::string_view update) {
    const base::MsgpackDocument document = parse(update);
    MsgpackReader reader = document.reader(6);
    if (reader.next<int>() != kFormatMarker) MsgpackReader::fail();
    const RecordKind kind = reader.enumeration(RecordKind::update);
    if (kind == RecordKind::state) {
        *this = decode(update);
        return true;
    }
    if (kind != RecordKind::update) MsgpackReader::fail();
    const auto from = reader.next<std::uint64_t>(), to = reader.next<std::uint64_t>(),
               dropped_purge = reader.next<std::uint64_t>();
    if ((from != revision_ && from != 0) || to < from) return false;
    // Everything is decoded before anything is changed.
    std::vector<Event> events;
    std::vector<Purge> purges;
    for (MsgpackReader items = reader.list(kMaxEvents + kMaxOperations); items.remaining() > 0;) {
        MsgpackReader item = items.array(3);
        Event event;
        event.revision = item.next<std::uint64_t>();
        const bool exists = item.next<bool>();
        auto [key, entry] = read_entry(item.array(4));
        if (event.revision <= from || event.revision > to) MsgpackReader::fail();
        event.key = std::move(key);
        if (exists) event.entry = std::move(entry);
        events.push_back(std::move(event));
    }
    for (MsgpackReader items = reader.list(kMaxPurges); items.remaining() > 0;)
        purges.push_back(read_purge(items.array(5)));
    if (from == 0) *this = {};  // from the beginning
    for (Event& event : events) {
        if (!event.key.empty()) set(event.key, event.entry);
        record_event(std::move(event));
    }
    purges_.insert(purges_.end(), purges.begin(), purges.end());
    last_dropped_purge_ = dropped_purge;
    while (!purges_.empty() && (purges_.front().number <= last_dropped_purge_ || purges_.size() > kMaxPurges))
        purges_.pop_front();
    revision_ = to;
    return true;
}

}  // namespace sumackeel::kv_store
