#include "endpoints/snapshot_codec.h"

#include <fmt/format.h>
#include <zstd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <msgpack.hpp>

namespace sumackeel::endpoints {

using routing::Endpoint;
using routing::EndpointState;

namespace {

constexpr std::string_view kMagic = "SUMLIST\n";
constexpr int kCompressionLevel = 1;  // zstd's fastest regular level: snapshots are small and written often
constexpr std::size_t kMaxEndpoints = 200'000, kMaxPurges = 200'000;
constexpr std::size_t kMaxNameLength = 256, kMaxNames = 10'000;

template <typename T>
void put(std::string& into, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i) into += static_cast<char>(value >> (8 * i));
}

template <typename T>
T get(std::string_view bytes, std::size_t at) {
    T value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value = static_cast<T>(value | static_cast<T>(static_cast<unsigned char>(bytes[at + i])) << (8 * i));
    return value;
}

const std::string& name_at(const std::vector<std::string>& names, int index) {
    static const std::string none;
    return index >= 0 && index < static_cast<int>(names.size()) ? names[index] : none;
}

// Looks up the numbers of zones and kinds by name. With constant tables, those of the settings, unknown names
// are an error; extensible tables get a new entry.
class NameIndex {
  public:
    explicit NameIndex(const NameTables& tables) : tables_(tables) {}
    explicit NameIndex(NameTables& extensible) : tables_(extensible), extensible_(&extensible) {}

    // False: the name is neither empty nor known.
    bool zone(const std::string& name, int& index) const {
        return find(tables_.zones, extensible_ ? &extensible_->zones : nullptr, name, index);
    }
    bool kind(const std::string& name, int& index) const {
        return find(tables_.kinds, extensible_ ? &extensible_->kinds : nullptr, name, index);
    }

  private:
    static bool find(const std::vector<std::string>& names, std::vector<std::string>* extensible,
                     const std::string& name, int& index) {
        const auto found = std::find(names.begin(), names.end(), name);
        index = found == names.end() ? -1 : static_cast<int>(found - names.begin());
        if (name.empty() || index >= 0) return true;
        if (!extensible || extensible->size() >= kMaxNames) return false;
        extensible->push_back(name);
        index = static_cast<int>(extensible->size()) - 1;
        return true;
    }

    const NameTables& tables_;
    NameTables* extensible_ = nullptr;
};

struct MalformedSnapshot : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void require(bool holds, const char* what) {
    if (!holds) throw MalformedSnapshot(what);
}

const msgpack::object_array& array_of(const msgpack::object& object, std::size_t min_size,
                                      std::size_t max_size, const char* what) {
    require(object.type == msgpack::type::ARRAY, what);
    require(object.via.array.size >= min_size && object.via.array.size <= max_size, what);
    return object.via.array;
}

std::string decode_name(const msgpack::object& object) {
    auto text = object.as<std::string>();
    require(text.size() <= kMaxNameLength, "name too long");
    require(text.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos,
            "name with a line break or a zero byte");
    return text;
}

KnownEndpoint decode_endpoint(const msgpack::object& object, const NameIndex& name_index, bool& known) {
    const auto& at = array_of(object, 10, 32, "endpoint is not an array of 10 or more values");
    EndpointRecord record;
    Endpoint& entry = record.located.endpoint;
    entry.name = decode_name(at.ptr[0]);
    require(!entry.name.empty() && entry.name.find_first_of(" ,=") == std::string::npos,
            "endpoint name is empty or has a space, a comma or an equals sign");
    record.located.address = decode_name(at.ptr[1]);
    known = name_index.zone(decode_name(at.ptr[2]), entry.zone);
    known = name_index.kind(decode_name(at.ptr[3]), entry.kind) && known;
    entry.cell = at.ptr[4].as<std::int64_t>();
    entry.weight = at.ptr[5].as<double>();
    require(std::isfinite(entry.weight) && entry.weight >= 0, "invalid endpoint weight");
    const int state = at.ptr[6].as<int>();
    require(state >= 0 && state <= 2, "invalid endpoint state");
    entry.state = static_cast<EndpointState>(state);
    entry.started_at = at.ptr[7].as<std::int64_t>();
    record.sequence = at.ptr[8].as<std::int64_t>();
    require(entry.started_at >= 0 && record.sequence >= 0, "negative start time or sequence number");
    record.source = RecordSource::snapshot;
    const Micros response_age = std::clamp<Micros>(at.ptr[9].as<std::int64_t>(), -1, kMaxSnapshotAge);
    return {std::make_shared<const EndpointRecord>(std::move(record)), response_age};
}

Snapshot decode_snapshot(const msgpack::object& root, const NameIndex& name_index, std::size_t& left_out) {
    require(root.type == msgpack::type::MAP, "top-level value is not a map");
    Snapshot snapshot;
    for (std::uint32_t i = 0; i < root.via.map.size; ++i) {
        const auto& item = root.via.map.ptr[i];
        const auto key = item.key.as<std::string_view>();
        if (key == "site") snapshot.site = decode_name(item.val);
        if (key == "taken_at") snapshot.taken_at = {item.val.as<std::int64_t>()};
        if (key == "sure_age") snapshot.confirmed_age = item.val.as<std::int64_t>();
        if (key == "last_seq") snapshot.last_sequence = item.val.as<std::int64_t>();
        if (key == "whole_at") snapshot.full_list_sequence = item.val.as<std::int64_t>();
        if (key == "numbered_from") snapshot.numbering_base = item.val.as<std::int64_t>();
        if (key == "last_purge") snapshot.last_purge_digest = item.val.as<std::uint64_t>();
        if (key == "forgotten_to") snapshot.forgotten_through = item.val.as<std::int64_t>();
        if (key == "members") {
            const auto& entries =
                array_of(item.val, 0, kMaxEndpoints, "endpoints are not an array, or too many");
            snapshot.endpoints.reserve(entries.size);
            for (std::uint32_t m = 0; m < entries.size; ++m) {
                bool known = true;
                KnownEndpoint endpoint = decode_endpoint(entries.ptr[m], name_index, known);
                known ? snapshot.endpoints.push_back(std::move(endpoint)) : static_cast<void>(++left_out);
            }
        }
        if (key == "purges") {
            const auto& purges = array_of(item.val, 0, kMaxPurges, "purges are not an array, or too many");
            for (std::uint32_t p = 0; p < purges.size; ++p) {
                const auto& at = array_of(purges.ptr[p], 3, 8, "purge is not an array of 3 or more values");
                snapshot.purges.push_back(
                    {decode_name(at.ptr[0]), at.ptr[1].as<int>(), at.ptr[2].as<std::int64_t>()});
            }
        }
    }
    require(snapshot.taken_at.micros > 0 && snapshot.confirmed_age >= -1 &&
                snapshot.confirmed_age <= kMaxSnapshotAge,
            "invalid snapshot time or confirmation age");
    require(snapshot.last_sequence >= 0 && snapshot.full_list_sequence >= 0 &&
                snapshot.full_list_sequence <= snapshot.last_sequence && snapshot.forgotten_through >= 0 &&
                snapshot.numbering_base >= 0 && snapshot.numbering_base <= snapshot.last_sequence,
            "invalid change log sequence number");
    return snapshot;
}

std::string decompress(std::string_view payload, std::size_t length) {
    std::string uncompressed(length, '\0');
    const std::size_t got =
        ZSTD_decompress(uncompressed.data(), uncompressed.size(), payload.data(), payload.size());
    require(!ZSTD_isError(got) && got == length, "payload can't be decompressed");
    return uncompressed;
}

DecodedSnapshot failure(SnapshotError::Code code, std::string text) {
    DecodedSnapshot decoded;
    decoded.error = SnapshotError{code, std::move(text)};
    return decoded;
}

}  // namespace

const char* name_of(SnapshotError::Code code) {
    switch (code) {
        case SnapshotError::Code::unreadable:
            return "unreadable";
        case SnapshotError::Code::not_a_list:
            return "not_a_list";
        case SnapshotError::Code::later_version:
            return "later_version";
        case SnapshotError::Code::damaged:
            return "damaged";
        case SnapshotError::Code::other_site:
            return "other_site";
        case SnapshotError::Code::wrong_clock:
            return "wrong_clock";
    }
    return "?";
}

std::string encode(const Snapshot& snapshot, const NameTables& names) {
    msgpack::sbuffer uncompressed;
    msgpack::packer pack(uncompressed);
    const bool has_base = snapshot.numbering_base > 0, has_last_purge = snapshot.last_purge_digest != 0;
    pack.pack_map(8 + static_cast<std::uint32_t>(has_base) + static_cast<std::uint32_t>(has_last_purge));
    pack.pack("site"), pack.pack(snapshot.site);
    pack.pack("taken_at"), pack.pack(snapshot.taken_at.micros);
    pack.pack("sure_age"), pack.pack(snapshot.confirmed_age);
    pack.pack("last_seq"), pack.pack(snapshot.last_sequence);
    pack.pack("whole_at"), pack.pack(snapshot.full_list_sequence);
    pack.pack("forgotten_to"), pack.pack(snapshot.forgotten_through);
    if (has_base) pack.pack("numbered_from"), pack.pack(snapshot.numbering_base);
    if (has_last_purge) pack.pack("last_purge"), pack.pack(snapshot.last_purge_digest);
    pack.pack("members"), pack.pack_array(static_cast<std::uint32_t>(snapshot.endpoints.size()));
    for (const KnownEndpoint& endpoint : snapshot.endpoints) {
        const Endpoint& entry = endpoint.record->located.endpoint;
        pack.pack_array(10);
        pack.pack(entry.name), pack.pack(endpoint.record->located.address);
        pack.pack(name_at(names.zones, entry.zone)), pack.pack(name_at(names.kinds, entry.kind));
        pack.pack(entry.cell), pack.pack(entry.weight), pack.pack(static_cast<int>(entry.state));
        pack.pack(entry.started_at), pack.pack(endpoint.record->sequence),
            pack.pack(endpoint.last_response_at);
    }
    pack.pack("purges"), pack.pack_array(static_cast<std::uint32_t>(snapshot.purges.size()));
    for (const Purge& purge : snapshot.purges) {
        pack.pack_array(3);
        pack.pack(purge.object), pack.pack(purge.purge_group), pack.pack(purge.at);
    }
    std::string payload(ZSTD_compressBound(uncompressed.size()), '\0');
    payload.resize(ZSTD_compress(payload.data(), payload.size(), uncompressed.data(), uncompressed.size(),
                                 kCompressionLevel));
    std::string bytes(kMagic);
    put(bytes, kSnapshotVersion);
    put(bytes, std::uint16_t{0});
    put(bytes, static_cast<std::uint32_t>(payload.size()));
    put(bytes, static_cast<std::uint32_t>(uncompressed.size()));
    put(bytes, std::uint64_t{XXH3_64bits(payload.data(), payload.size())});
    put(bytes, std::uint64_t{XXH3_64bits(bytes.data(), bytes.size())});
    return bytes + payload;
}

namespace {

DecodedSnapshot decode_with(std::string_view bytes, const NameIndex& name_index) {
    using Code = SnapshotError::Code;
    if (bytes.size() < kSnapshotHeaderBytes || !bytes.starts_with(kMagic))
        return failure(Code::not_a_list,
                       fmt::format("{} bytes that don't begin as a list does", bytes.size()));
    if (get<std::uint64_t>(bytes, 28) != XXH3_64bits(bytes.data(), 28))
        return failure(Code::damaged, "header checksum mismatch");
    const auto version = get<std::uint16_t>(bytes, 8);
    if (version > kSnapshotVersion)
        return failure(Code::later_version,
                       fmt::format("format version {} is newer than the supported version {}", version,
                                   kSnapshotVersion));
    const std::size_t compressed = get<std::uint32_t>(bytes, 12),
                      uncompressed = get<std::uint32_t>(bytes, 16);
    const std::string_view payload = bytes.substr(kSnapshotHeaderBytes);
    if (payload.size() != compressed || compressed > kMaxSnapshotBytes || uncompressed > kMaxUnpackedBytes)
        return failure(Code::damaged, fmt::format("payload length mismatch: got {} of {} bytes",
                                                  payload.size(), compressed));
    if (get<std::uint64_t>(bytes, 20) != XXH3_64bits(payload.data(), payload.size()))
        return failure(Code::damaged, "payload checksum mismatch");
    DecodedSnapshot decoded;
    try {
        const std::string content = decompress(payload, uncompressed);
        const msgpack::unpack_limit limits(kMaxEndpoints + kMaxPurges, 64, 4096, 4096, 0, 8);
        const auto handle = msgpack::unpack(content.data(), content.size(), nullptr, nullptr, limits);
        decoded.snapshot = decode_snapshot(handle.get(), name_index, decoded.left_out);
    } catch (const std::exception& error) {
        return failure(Code::damaged, error.what());
    }
    return decoded;
}

}  // namespace

DecodedSnapshot decode(std::string_view bytes, const NameTables& names) {
    return decode_with(bytes, NameIndex(names));
}

DecodedSnapshot decode_all(std::string_view bytes, NameTables& names) {
    return decode_with(bytes, NameIndex(names));
}

Micros age_of(const Snapshot& snapshot, base::UnixTime wall_now) {
    return snapshot.confirmed_age < 0
               ? -1
               : std::max<Micros>(0, wall_now - snapshot.taken_at) + snapshot.confirmed_age;
}

std::optional<SnapshotError> validate(const Snapshot& snapshot, const std::string& site,
                                      base::UnixTime wall_now) {
    if (snapshot.site != site)
        return SnapshotError{SnapshotError::Code::other_site,
                             fmt::format("belongs to site '{}', this site is '{}'", snapshot.site, site)};
    const Micros age = wall_now - snapshot.taken_at;
    if (age < -kClockSlack)
        return SnapshotError{
            SnapshotError::Code::wrong_clock,
            fmt::format("written {} s in the future by the system clock", -age / base::kSecond)};
    if (age > kMaxSnapshotAge)
        return SnapshotError{SnapshotError::Code::wrong_clock,
                             fmt::format("{} days old by the system clock", age / (86'400 * base::kSecond))};
    return std::nullopt;
}

}  // namespace sumackeel::endpoints
