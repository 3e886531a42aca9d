// A view as bytes, for the disk and for tools. docs/operating/saved-list.md states the form byte by byte.
//
// Little-endian: 8 bytes "SUMLIST\n", u16 version, u16 zero, u32 length of the payload, u32 its length
// unpacked, u64 XXH3 of the payload, u64 XXH3 of the 28 bytes before; then the payload: one zstd frame with a
// MessagePack map. Zones and kinds are kept by name, since their numbers may change between two starts.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoints/endpoint_view.h"

namespace sumackeel::endpoints {

constexpr std::uint16_t kSnapshotVersion = 1;
constexpr std::size_t kSnapshotHeaderBytes = 36;
constexpr std::size_t kMaxSnapshotBytes = 64u << 20;   // bytes on disk
constexpr std::size_t kMaxUnpackedBytes = 256u << 20;  // bytes in memory

// The names that go with the numbers of zones and kinds.
struct NameTables {
    std::vector<std::string> zones, kinds;
};

// Why a file is passed over.
struct SnapshotError {
    enum class Code {
        unreadable,     // can't be opened or read
        not_a_list,     // too short, or other bytes
        later_version,  // written by a newer program
        damaged,        // a checksum, a length or the content does not hold
        other_site,
        wrong_clock  // from the future, or absurdly old: its age can't be told
    };
    Code code;
    std::string text;  // one plain line
};

struct DecodedSnapshot {
    Snapshot snapshot;
    std::optional<SnapshotError> error;  // set: `list` is empty
    std::size_t left_out = 0;            // members of zones or kinds that are no longer known
};

std::string encode(const Snapshot& list, const NameTables& names);
// Never throws, whatever the bytes.
DecodedSnapshot decode(std::string_view bytes, const NameTables& names);

// For tools that know no settings: zones and kinds are added to `names` as they are met.
DecodedSnapshot decode_all(std::string_view bytes, NameTables& names);

// What speaks against using a list that could be read. `wall_now`: the system's clock.
// A clock may be ahead by kClockSlack; older than kOldest is no age but a wrong clock.
constexpr Micros kClockSlack = 2 * base::kSecond;
constexpr Micros kMaxSnapshotAge = 400LL * 86'400 * base::kSecond;
std::optional<SnapshotError> validate(const Snapshot& list, const std::string& site, base::UnixTime wall_now);

// The age of the list by `wall_now`; below 0: no live source ever confirmed it.
Micros age_of(const Snapshot& list, base::UnixTime wall_now);

const char* name_of(SnapshotError::Code kind);

}  // namespace sumackeel::endpoints
