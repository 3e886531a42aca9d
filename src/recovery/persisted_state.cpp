#include "recovery/persisted_state.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

namespace sumackeel::recovery {

namespace {

constexpr std::string_view kHeader = "sumackeel kept ", kChecksumPrefix = "sum ";

std::string checksum_of(std::string_view body) {
    return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameLength &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Removes and returns the first line of the text, which must end with a line feed.
std::string_view pop_line(std::string_view& text) {
    const auto end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

// Returns the text without its last line, which holds the checksum. Throws StateError on a mismatch.
std::string_view verify_checksum(std::string_view text) {
    const std::size_t last_line = text.substr(0, text.size() - 1).rfind('\n') + 1;
    const std::string_view checksum = text.substr(last_line, text.size() - last_line - 1);
    const std::string_view body = text.substr(0, last_line);
    if (!checksum.starts_with(kChecksumPrefix) ||
        checksum.substr(kChecksumPrefix.size()) != checksum_of(body))
        throw StateError(StateErrorCode::checksum_mismatch, "its checksum does not hold");
    return body;
}

std::set<std::string>* names_of(PersistedState& state, std::string_view keyword) {
    if (keyword == "member") return &state.members;
    if (keyword == "down") return &state.bans;
    if (keyword == "leased") return &state.leased;
    return nullptr;
}

// Returns false if the line is malformed.
bool decode_line(std::string_view line, PersistedState& state) {
    const auto space = line.find(' ');
    const std::string_view keyword = line.substr(0, space);
    const std::string value(space == std::string_view::npos ? "" : line.substr(space + 1));
    if (keyword == "stage") return parse_phase(value, state.phase);
    if (std::set<std::string>* names = names_of(state, keyword)) {
        if (!is_valid_name(value) || names->size() >= kMaxNames) return false;
        names->insert(value);
        return true;
    }
    if (line != "drain on") return false;
    state.draining = true;
    return true;
}

}  // namespace

std::string encode(const PersistedState& state) {
    std::string body = fmt::format("{}{}\nstage {}\n", kHeader, kStateVersion, name_of(state.phase));
    for (const std::string& member : state.members) body += fmt::format("member {}\n", member);
    if (state.draining) body += "drain on\n";
    for (const std::string& ban : state.bans) body += fmt::format("down {}\n", ban);
    for (const std::string& id : state.leased) body += fmt::format("leased {}\n", id);
    return body + std::string(kChecksumPrefix) + checksum_of(body) + "\n";
}

PersistedState decode_persisted_state(std::string_view text) {
    if (text.size() > kMaxStateBytes) throw StateError(StateErrorCode::too_long, "too long");
    if (text.empty() || text.back() != '\n')
        throw StateError(StateErrorCode::truncated, "torn: no end of line at its end");
    if (!text.starts_with(kHeader))
        throw StateError(StateErrorCode::unknown_format, "not a file of this kind");
    std::string_view rest = verify_checksum(text);
    const std::string_view version = pop_line(rest).substr(kHeader.size());
    if (version != std::to_string(kStateVersion))
        throw StateError(StateErrorCode::unsupported_version,
                         fmt::format("version {}, this program reads {}", version, kStateVersion));
    PersistedState state;
    while (!rest.empty()) {
        const std::string_view line = pop_line(rest);
        if (!decode_line(line, state))
            throw StateError(StateErrorCode::malformed_line,
                             fmt::format("a line that can't be read: {}", line));
    }
    return state;
}

std::string decode(std::string_view text, PersistedState& state) {
    try {
        state = decode_persisted_state(text);
        return {};
    } catch (const StateError& error) {
        return error.what();
    }
}

}  // namespace sumackeel::recovery
