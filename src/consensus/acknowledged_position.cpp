#include "consensus/acknowledged_position.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <string_view>

#include "base/files.h"

namespace sumackeel::consensus {

namespace {

constexpr const char* kFileName = "acknowledged";
constexpr std::string_view kHeader = "sumackeel-acknowledged 1 ";
constexpr std::size_t kMaxFileBytes = 128;

// "sumackeel-acknowledged 1 HISTORY TERM INDEX CHECKSUM\n"; the checksum covers everything before the space
// that precedes it.
std::string text_of(const AcknowledgedPosition& acknowledged) {
    const auto& [term, index] = acknowledged.position;
    const std::string content = fmt::format("{}{} {} {}", kHeader, acknowledged.history, term, index);
    return fmt::format("{} {:016x}\n", content, XXH3_64bits(content.data(), content.size()));
}

// Consumes a number and the space after it from the front of the text; 0 if there is no number.
std::uint64_t take_number(std::string_view& text) {
    std::uint64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    if (text.starts_with(' ')) text.remove_prefix(1);
    return number;
}

}  // namespace

AcknowledgedPosition AcknowledgementFile::read(std::string& fault) const {
    const std::string path = directory_ + '/' + kFileName;
    std::string bytes;
    const auto status = base::read_regular_file(path, kMaxFileBytes, bytes, fault);
    if (status == base::ReadStatus::missing) fault.clear();
    if (status != base::ReadStatus::ok) return {};
    AcknowledgedPosition position_read;
    if (bytes.starts_with(kHeader)) {
        std::string_view rest = std::string_view(bytes).substr(kHeader.size());
        position_read.history = take_number(rest);
        position_read.position.term = take_number(rest);
        position_read.position.index = take_number(rest);
        if (bytes == text_of(position_read)) return position_read;
    }
    fault = path + " is damaged";
    return {};
}

std::string AcknowledgementFile::write(const AcknowledgedPosition& acknowledged) const {
    return base::replace_file(directory_, std::string(kFileName) + ".new", kFileName, text_of(acknowledged));
}

}  // namespace sumackeel::consensus
