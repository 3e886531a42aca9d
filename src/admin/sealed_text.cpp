#include "admin/sealed_text.h"

#include <charconv>

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

namespace sumackeel::admin {

namespace {

constexpr std::string_view kFirst = "sumackeel ops hand-over ";
constexpr std::string_view kSum = "sum ";

std::vector<std::string_view> lines_of(std::string_view text) {
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        if (end == std::string_view::npos) {
            lines.push_back(text);  // no end of line: torn, found by the caller
            break;
        }
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    return lines;
}

std::string sum_of(std::string_view body) {
    return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

}  // namespace

std::string seal_text(int version, std::string_view lines) {
    const std::string body = fmt::format("{}{}\n{}", kFirst, version, lines);
    return fmt::format("{}{}{}\n", body, kSum, sum_of(body));
}

UnsealedText unseal_text(std::string_view text, int version, std::size_t max_size) {
    const auto fault = [](std::string why) { return UnsealedText{{}, std::move(why)}; };
    if (text.size() > max_size) return fault("too long");
    if (text.empty() || text.back() != '\n') return fault("torn: no end of line at its end");
    std::vector<std::string_view> lines = lines_of(text);
    if (!lines.front().starts_with(kFirst)) return fault("not a hand-over file of this program");
    int found = 0;
    const std::string_view number = lines.front().substr(kFirst.size());
    const auto read = std::from_chars(number.data(), number.data() + number.size(), found);
    if (read.ec != std::errc{} || read.ptr != number.data() + number.size()) return fault("no version");
    if (found != version) return fault(fmt::format("version {}, this program reads {}", found, version));
    const std::string_view last = lines.back();
    const std::size_t body_size = text.size() - last.size() - 1;
    if (!last.starts_with(kSum) || last.substr(kSum.size()) != sum_of(text.substr(0, body_size)))
        return fault("its checksum does not hold");
    lines.pop_back();
    lines.erase(lines.begin());
    return {std::move(lines), {}};
}

}  // namespace sumackeel::admin
