#include "admin/sealed_text.h"

#include <charconv>

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

namespace sumackeel::admin {

namespace {

constexpr std::string_view kHeaderPrefix = "sumackeel ops hand-over ";
constexpr std::string_view kChecksumPrefix = "sum ";

std::vector<std::string_view> split_lines(std::string_view text) {
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        if (end == std::string_view::npos) {
            lines.push_back(text);  // no line feed at the end; the caller rejects truncated text
            break;
        }
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    return lines;
}

std::string checksum_of(std::string_view body) {
    return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

}  // namespace

std::string add_envelope(int version, std::string_view lines) {
    const std::string body = fmt::format("{}{}\n{}", kHeaderPrefix, version, lines);
    return fmt::format("{}{}{}\n", body, kChecksumPrefix, checksum_of(body));
}

EnvelopeContent remove_envelope(std::string_view text, int version, std::size_t max_size) {
    const auto error = [](std::string reason) { return EnvelopeContent{{}, std::move(reason)}; };
    if (text.size() > max_size) return error("too long");
    if (text.empty() || text.back() != '\n') return error("torn: no end of line at its end");
    std::vector<std::string_view> lines = split_lines(text);
    if (!lines.front().starts_with(kHeaderPrefix)) return error("not a hand-over file of this program");
    int found = 0;
    const std::string_view number = lines.front().substr(kHeaderPrefix.size());
    const auto read = std::from_chars(number.data(), number.data() + number.size(), found);
    if (read.ec != std::errc{} || read.ptr != number.data() + number.size()) return error("no version");
    if (found != version) return error(fmt::format("version {}, this program reads {}", found, version));
    const std::string_view checksum_line = lines.back();
    const std::size_t body_size = text.size() - checksum_line.size() - 1;
    if (!checksum_line.starts_with(kChecksumPrefix) ||
        checksum_line.substr(kChecksumPrefix.size()) != checksum_of(text.substr(0, body_size)))
        return error("its checksum does not hold");
    lines.pop_back();
    lines.erase(lines.begin());
    return {std::move(lines), {}};
}

}  // namespace sumackeel::admin
