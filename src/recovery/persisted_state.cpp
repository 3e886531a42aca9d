#include "recovery/persisted_state.h"

#include <algorithm>
#include <charconv>

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

namespace sumackeel::recovery {

namespace {

constexpr std::string_view kFirst = "sumackeel kept ", kSum = "sum ";

std::string sum_of(std::string_view body) {
    return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

bool sound(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameLength &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// The next line, taken off; the text ends with one.
std::string_view line_of(std::string_view& text) {
    const auto end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

}  // namespace

std::string encode(const PersistedState& kept) {
    std::string body = fmt::format("{}{}\nstage {}\n", kFirst, kStateVersion, name_of(kept.phase));
    for (const std::string& member : kept.members) body += fmt::format("member {}\n", member);
    if (kept.draining) body += "drain on\n";
    for (const std::string& ban : kept.bans) body += fmt::format("down {}\n", ban);
    for (const std::string& id : kept.leased) body += fmt::format("leased {}\n", id);
    return body + std::string(kSum) + sum_of(body) + "\n";
}

std::string decode(std::string_view text, PersistedState& kept) {
    if (text.size() > kMaxStateBytes) return "too long";
    if (text.empty() || text.back() != '\n') return "torn: no end of line at its end";
    if (!text.starts_with(kFirst)) return "not a file of this kind";
    const std::size_t last = text.substr(0, text.size() - 1).rfind('\n') + 1;
    const std::string_view sum = text.substr(last, text.size() - last - 1), body = text.substr(0, last);
    if (!sum.starts_with(kSum) || sum.substr(kSum.size()) != sum_of(body))
        return "its checksum does not hold";
    std::string_view rest = body;
    const std::string_view version = line_of(rest).substr(kFirst.size());
    if (version != std::to_string(kStateVersion))
        return fmt::format("version {}, this program reads {}", version, kStateVersion);
    PersistedState found;
    while (!rest.empty()) {
        const std::string_view line = line_of(rest);
        const auto blank = line.find(' ');
        const std::string_view word = line.substr(0, blank);
        const std::string value(blank == std::string_view::npos ? "" : line.substr(blank + 1));
        std::set<std::string>* names = word == "member"   ? &found.members
                                       : word == "down"   ? &found.bans
                                       : word == "leased" ? &found.leased
                                                          : nullptr;
        if (word == "stage" ? !phase_named(value, found.phase)
            : names         ? !sound(value) || names->size() >= kMaxNames
                            : line != "drain on")
            return fmt::format("a line that can't be read: {}", line);
        if (names) names->insert(value);
        found.draining = found.draining || line == "drain on";
    }
    kept = std::move(found);
    return {};
}

}  // namespace sumackeel::recovery
