// Encoding of a view's snapshot, for the disk and for tools. docs/operating/saved-list.md specifies it byte
// by byte.
//
// Little-endian: 8 bytes "SUMLIST\n", u16 version, u16 zero, u32 length of the payload, u32 its decompressed
// length, u64 XXH3 of the payload, u64 XXH3 of the 28 bytes before; then the payload: one zstd frame with a
// MessagePack map. Zones and kinds are stored by name, since their numbers may change between two starts.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoints/endpoint_view.h"

namespace sumackeel::endpoints {

constexpr std::uint16_t kSnapshotVersion = 1;
constexpr std::size_t kSnapshotHeaderBytes = 36;
constexpr std::size_t kMaxSnapshotBytes = 64u << 20;   // on disk
constexpr std::size_t kMaxUnpackedBytes = 256u << 20;  // decompressed

// Names of zones and kinds, by their numbers.
struct NameTables {
    std::vector<std::string> zones, kinds;
};

// Why a file is skipped.
struct SnapshotError {
    enum class Code {
        unreadable,     // can't be opened or read
        not_a_list,     // too short, or other bytes
        later_version,  // written by a newer version of the program
        damaged,        // a checksum, a length or the content is wrong
        other_site,
        wrong_clock  // from the future or implausibly old: its age can't be determined
    };
    Code code;
    std::string text;  // one line
};

struct DecodedSnapshot {
    Snapshot snapshot;
    std::optional<SnapshotError> error;  // set: `snapshot` is empty
    std::size_t left_out = 0;            // endpoints of zones or kinds that are no longer known
};

std::string encode(const Snapshot& snapshot, const NameTables& names);
// Never throws, whatever the bytes.
DecodedSnapshot decode(std::string_view bytes, const NameTables& names);

// For tools that read no settings: unknown zones and kinds are added to `names`.
DecodedSnapshot decode_all(std::string_view bytes, NameTables& names);

// Why a snapshot that could be decoded must not be used, if anything. `wall_now`: the system clock. A
// snapshot may be up to kClockSlack in the future; an age above kMaxSnapshotAge means that the clock is
// wrong.
constexpr Micros kClockSlack = 2 * base::kSecond;
constexpr Micros kMaxSnapshotAge = 400LL * 86'400 * base::kSecond;
std::optional<SnapshotError> validate(const Snapshot& snapshot, const std::string& site,
                                      base::UnixTime wall_now);

// Time since the list was last confirmed, at `wall_now`; below 0: no live source ever confirmed it.
Micros age_of(const Snapshot& snapshot, base::UnixTime wall_now);

const char* name_of(SnapshotError::Code code);

}  // namespace sumackeel::endpoints
