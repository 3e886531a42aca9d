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
constexpr int kLevel = 1;  // zstd's fastest usual level: lists are small and written often
constexpr std::size_t kMostMembers = 200'000, kMostPurges = 200'000;
constexpr std::size_t kLongestName = 256, kMostNames = 10'000;

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

const std::string& name_at(const std::vector<std::string>& names, int place) {
    static const std::string none;
    return place >= 0 && place < static_cast<int>(names.size()) ? names[place] : none;
}

// Where a zone or kind stands among the names. Fixed ones are the settings'; others grow with what is met.
class Places {
  public:
    explicit Places(const NameTables& fixed) : known_(fixed) {}
    explicit Places(NameTables& growing) : known_(growing), growing_(&growing) {}

    // False: a name that is given, but not known.
    bool zone(const std::string& name, int& place) const {
        return find(known_.zones, growing_ ? &growing_->zones : nullptr, name, place);
    }
    bool kind(const std::string& name, int& place) const {
        return find(known_.kinds, growing_ ? &growing_->kinds : nullptr, name, place);
    }

  private:
    static bool find(const std::vector<std::string>& names, std::vector<std::string>* growing,
                     const std::string& name, int& place) {
        const auto found = std::find(names.begin(), names.end(), name);
        place = found == names.end() ? -1 : static_cast<int>(found - names.begin());
        if (name.empty() || place >= 0) return true;
        if (!growing || growing->size() >= kMostNames) return false;
        growing->push_back(name);
        place = static_cast<int>(growing->size()) - 1;
        return true;
    }

    const NameTables& known_;
    NameTables* growing_ = nullptr;
};

struct Broken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void need(bool holds, const char* what) {
    if (!holds) throw Broken(what);
}

const msgpack::object_array& array_of(const msgpack::object& object, std::size_t least, std::size_t most,
                                      const char* what) {
    need(object.type == msgpack::type::ARRAY, what);
    need(object.via.array.size >= least && object.via.array.size <= most, what);
    return object.via.array;
}

std::string name_in(const msgpack::object& object) {
    auto text = object.as<std::string>();
    need(text.size() <= kLongestName, "a name that is too long");
    need(text.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos, "a name that can't be used");
    return text;
}

KnownEndpoint member_in(const msgpack::object& object, const Places& places, bool& known) {
    const auto& at = array_of(object, 10, 32, "a member that is no list of ten");
    EndpointRecord word;
    Endpoint& entry = word.located.endpoint;
    entry.name = name_in(at.ptr[0]);
    need(!entry.name.empty() && entry.name.find_first_of(" ,=") == std::string::npos,
         "a member's name that can't be used");
    word.located.address = name_in(at.ptr[1]);
    known = places.zone(name_in(at.ptr[2]), entry.zone);
    known = places.kind(name_in(at.ptr[3]), entry.kind) && known;
    entry.cell = at.ptr[4].as<std::int64_t>();
    entry.weight = at.ptr[5].as<double>();
    need(std::isfinite(entry.weight) && entry.weight >= 0, "a weight that is none");
    const int state = at.ptr[6].as<int>();
    need(state >= 0 && state <= 2, "a state that is none");
    entry.state = static_cast<EndpointState>(state);
    entry.started_at = at.ptr[7].as<std::int64_t>();
    word.sequence = at.ptr[8].as<std::int64_t>();
    need(entry.started_at >= 0 && word.sequence >= 0, "a number below 0");
    word.source = RecordSource::snapshot;
    const Micros answered = std::clamp<Micros>(at.ptr[9].as<std::int64_t>(), -1, kMaxSnapshotAge);
    return {std::make_shared<const EndpointRecord>(std::move(word)), answered};
}

Snapshot list_in(const msgpack::object& root, const Places& places, std::size_t& left_out) {
    need(root.type == msgpack::type::MAP, "no map at the top");
    Snapshot list;
    for (std::uint32_t i = 0; i < root.via.map.size; ++i) {
        const auto& item = root.via.map.ptr[i];
        const auto key = item.key.as<std::string_view>();
        if (key == "site") list.site = name_in(item.val);
        if (key == "taken_at") list.taken_at = {item.val.as<std::int64_t>()};
        if (key == "sure_age") list.confirmed_age = item.val.as<std::int64_t>();
        if (key == "last_seq") list.last_sequence = item.val.as<std::int64_t>();
        if (key == "whole_at") list.full_list_sequence = item.val.as<std::int64_t>();
        if (key == "forgotten_to") list.forgotten_through = item.val.as<std::int64_t>();
        if (key == "members") {
            const auto& members = array_of(item.val, 0, kMostMembers, "too many members, or no list");
            list.endpoints.reserve(members.size);
            for (std::uint32_t m = 0; m < members.size; ++m) {
                bool known = true;
                KnownEndpoint member = member_in(members.ptr[m], places, known);
                known ? list.endpoints.push_back(std::move(member)) : static_cast<void>(++left_out);
            }
        }
        if (key == "purges") {
            const auto& purges = array_of(item.val, 0, kMostPurges, "too many purges, or no list");
            for (std::uint32_t p = 0; p < purges.size; ++p) {
                const auto& at = array_of(purges.ptr[p], 3, 8, "a purge that is no list of three");
                list.purges.push_back(
                    {name_in(at.ptr[0]), at.ptr[1].as<int>(), at.ptr[2].as<std::int64_t>()});
            }
        }
    }
    need(list.taken_at.micros > 0 && list.confirmed_age >= -1 && list.confirmed_age <= kMaxSnapshotAge,
         "a time that is none");
    need(list.last_sequence >= 0 && list.full_list_sequence >= 0 &&
             list.full_list_sequence <= list.last_sequence && list.forgotten_through >= 0,
         "a number of the change log that is none");
    return list;
}

std::string unpacked(std::string_view payload, std::size_t length) {
    std::string plain(length, '\0');
    const std::size_t got = ZSTD_decompress(plain.data(), plain.size(), payload.data(), payload.size());
    need(!ZSTD_isError(got) && got == length, "what is packed can't be unpacked");
    return plain;
}

DecodedSnapshot fault(SnapshotError::Code kind, std::string text) {
    DecodedSnapshot decoded;
    decoded.error = SnapshotError{kind, std::move(text)};
    return decoded;
}

}  // namespace

const char* name_of(SnapshotError::Code kind) {
    switch (kind) {
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

std::string encode(const Snapshot& list, const NameTables& names) {
    msgpack::sbuffer plain;
    msgpack::packer pack(plain);
    pack.pack_map(8);
    pack.pack("site"), pack.pack(list.site);
    pack.pack("taken_at"), pack.pack(list.taken_at.micros);
    pack.pack("sure_age"), pack.pack(list.confirmed_age);
    pack.pack("last_seq"), pack.pack(list.last_sequence);
    pack.pack("whole_at"), pack.pack(list.full_list_sequence);
    pack.pack("forgotten_to"), pack.pack(list.forgotten_through);
    pack.pack("members"), pack.pack_array(static_cast<std::uint32_t>(list.endpoints.size()));
    for (const KnownEndpoint& member : list.endpoints) {
        const Endpoint& entry = member.record->located.endpoint;
        pack.pack_array(10);
        pack.pack(entry.name), pack.pack(member.record->located.address);
        pack.pack(name_at(names.zones, entry.zone)), pack.pack(name_at(names.kinds, entry.kind));
        pack.pack(entry.cell), pack.pack(entry.weight), pack.pack(static_cast<int>(entry.state));
        pack.pack(entry.started_at), pack.pack(member.record->sequence), pack.pack(member.last_response_at);
    }
    pack.pack("purges"), pack.pack_array(static_cast<std::uint32_t>(list.purges.size()));
    for (const Purge& purge : list.purges) {
        pack.pack_array(3);
        pack.pack(purge.object), pack.pack(purge.purge_group), pack.pack(purge.at);
    }
    std::string payload(ZSTD_compressBound(plain.size()), '\0');
    payload.resize(ZSTD_compress(payload.data(), payload.size(), plain.data(), plain.size(), kLevel));
    std::string bytes(kMagic);
    put(bytes, kSnapshotVersion);
    put(bytes, std::uint16_t{0});
    put(bytes, static_cast<std::uint32_t>(payload.size()));
    put(bytes, static_cast<std::uint32_t>(plain.size()));
    put(bytes, std::uint64_t{XXH3_64bits(payload.data(), payload.size())});
    put(bytes, std::uint64_t{XXH3_64bits(bytes.data(), bytes.size())});
    return bytes + payload;
}

namespace {

DecodedSnapshot decode_with(std::string_view bytes, const Places& places) {
    using Kind = SnapshotError::Code;
    if (bytes.size() < kSnapshotHeaderBytes || !bytes.starts_with(kMagic))
        return fault(Kind::not_a_list, fmt::format("{} bytes that don't begin as a list does", bytes.size()));
    if (get<std::uint64_t>(bytes, 28) != XXH3_64bits(bytes.data(), 28))
        return fault(Kind::damaged, "the checksum of the header does not hold");
    const auto version = get<std::uint16_t>(bytes, 8);
    if (version > kSnapshotVersion)
        return fault(Kind::later_version, fmt::format("written in form {}, this program reads up to {}",
                                                      version, kSnapshotVersion));
    const std::size_t packed = get<std::uint32_t>(bytes, 12), plain = get<std::uint32_t>(bytes, 16);
    const std::string_view payload = bytes.substr(kSnapshotHeaderBytes);
    if (payload.size() != packed || packed > kMaxSnapshotBytes || plain > kMaxUnpackedBytes)
        return fault(Kind::damaged, fmt::format("{} bytes of {}", payload.size(), packed));
    if (get<std::uint64_t>(bytes, 20) != XXH3_64bits(payload.data(), payload.size()))
        return fault(Kind::damaged, "the checksum of the content does not hold");
    DecodedSnapshot decoded;
    try {
        const std::string content = unpacked(payload, plain);
        const msgpack::unpack_limit limits(kMostMembers + kMostPurges, 64, 4096, 4096, 0, 8);
        const auto handle = msgpack::unpack(content.data(), content.size(), nullptr, nullptr, limits);
        decoded.snapshot = list_in(handle.get(), places, decoded.left_out);
    } catch (const std::exception& wrong) {
        return fault(Kind::damaged, wrong.what());
    }
    return decoded;
}

}  // namespace

DecodedSnapshot decode(std::string_view bytes, const NameTables& names) {
    return decode_with(bytes, Places(names));
}

DecodedSnapshot decode_all(std::string_view bytes, NameTables& names) {
    return decode_with(bytes, Places(names));
}

Micros age_of(const Snapshot& list, base::UnixTime wall_now) {
    return list.confirmed_age < 0 ? -1 : std::max<Micros>(0, wall_now - list.taken_at) + list.confirmed_age;
}

std::optional<SnapshotError> validate(const Snapshot& list, const std::string& site,
                                      base::UnixTime wall_now) {
    if (list.site != site)
        return SnapshotError{SnapshotError::Code::other_site,
                             fmt::format("of site '{}', this is '{}'", list.site, site)};
    const Micros age = wall_now - list.taken_at;
    if (age < -kClockSlack)
        return SnapshotError{SnapshotError::Code::wrong_clock,
                             fmt::format("written {} s ahead of the system's clock", -age / base::kSecond)};
    if (age > kMaxSnapshotAge)
        return SnapshotError{
            SnapshotError::Code::wrong_clock,
            fmt::format("{} days old by the system's clock", age / (86'400 * base::kSecond))};
    return std::nullopt;
}

}  // namespace sumackeel::endpoints
