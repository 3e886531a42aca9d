#include "consensus/raft_segment.h"

#include <endian.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <system_error>

#include "base/files.h"

namespace sumackeel::consensus {

namespace {

constexpr std::size_t kMaxSegmentBytes = 64 << 20;
constexpr std::uint64_t kMaxBatchEntries = kMaxSegmentBytes / 16;
constexpr std::size_t kVersionBytes = 8;
constexpr std::size_t kChecksumBytes = 8;  // of the headers and of the entries
constexpr std::size_t kCountBytes = 8;
constexpr std::size_t kEntryHeaderBytes = 16;
constexpr std::size_t kEntrySizeOffset = 12;  // behind the term, the type and three unused bytes
constexpr std::size_t kEntrySizeBytes = 4;

// Of a number of 4 or 8 bytes.
std::uint64_t little_endian(std::string_view bytes) {
    std::uint64_t value = 0;
    std::memcpy(&value, bytes.data(), bytes.size());
    return le64toh(value);
}

// The size of the batch at the front; where its headers are cut, the size up to their end. 0: there is none.
std::size_t batch_bytes(std::string_view rest) {
    std::size_t size = kChecksumBytes + kCountBytes;
    if (rest.size() < size) return size;
    const std::uint64_t count = little_endian(rest.substr(kChecksumBytes, kCountBytes));
    if (count == 0) return 0;
    const std::size_t first_header = size;
    size += std::min(count, kMaxBatchEntries) * kEntryHeaderBytes;
    if (rest.size() < size) return size;
    const std::size_t headers_end = size;
    for (std::size_t at = first_header; at < headers_end; at += kEntryHeaderBytes)
        size += little_endian(rest.substr(at + kEntrySizeOffset, kEntrySizeBytes));
    return size;
}

bool is_number(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

// Named open-N, or FIRST-LAST once closed.
enum class SegmentKind { none, open, closed };
SegmentKind kind_of(std::string_view name) {
    const std::size_t dash = name.find('-');
    if (dash == std::string_view::npos || !is_number(name.substr(dash + 1))) return SegmentKind::none;
    const std::string_view first = name.substr(0, dash);
    if (first == "open") return SegmentKind::open;
    return is_number(first) ? SegmentKind::closed : SegmentKind::none;
}

// Zeros behind a cut can complete a header that tells of a longer batch.
std::string complete_segment(const std::string& path, SegmentKind kind) {
    std::string bytes;
    if (base::read_entire_file(path, kMaxSegmentBytes, bytes) != 0) return {};  // the library says why not
    const std::size_t size = bytes.size();
    while (const std::size_t missing = missing_bytes(bytes)) {
        if (kind == SegmentKind::closed) return path + ": ends within a batch";
        if (missing > kMaxSegmentBytes - bytes.size()) return path + ": a batch is longer than any segment";
        bytes.append(missing, '\0');
    }
    if (bytes.size() == size) return {};
    std::error_code error;
    std::filesystem::resize_file(path, bytes.size(), error);
    return error ? fmt::format("{}: {}", path, error.message()) : std::string{};
}

}  // namespace

std::size_t missing_bytes(std::string_view segment) {
    segment.remove_prefix(std::min(kVersionBytes, segment.size()));
    while (!segment.empty()) {
        const std::size_t size = batch_bytes(segment);
        if (size == 0) break;
        if (size > segment.size()) return size - segment.size();
        segment.remove_prefix(size);
    }
    return 0;
}

std::string complete_segments(const std::string& directory) {
    std::error_code error;
    for (std::filesystem::directory_iterator it(directory, error), end; !error && it != end;
         it.increment(error)) {
        const SegmentKind kind = kind_of(it->path().filename().string());
        if (kind == SegmentKind::none) continue;
        if (std::string reason = complete_segment(it->path().string(), kind); !reason.empty()) return reason;
    }
    return {};
}

}  // namespace sumackeel::consensus
