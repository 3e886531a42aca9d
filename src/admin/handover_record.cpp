#include "admin/handover_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <vector>

#include "admin/sealed_text.h"

namespace sumackeel::admin {

namespace {

// Never reached in practice; larger values are rejected, so that a counter can always be incremented.
constexpr std::uint64_t kMaxCounter = std::numeric_limits<std::uint64_t>::max() / 2;
// Keywords, a counter, a writer and an id, with separators.
constexpr std::size_t kMaxLineSize = kMaxIdLength + 64;
constexpr std::size_t kMaxRecordSize = (kMaxHandoverItems + kMaxBans + 8) * kMaxLineSize;
constexpr int kDecimal = 10, kHexadecimal = 16;

std::vector<std::string_view> split_words(std::string_view line) {
    std::vector<std::string_view> words;
    for (;;) {
        const auto end = line.find(' ');
        words.push_back(line.substr(0, end));
        if (end == std::string_view::npos) return words;
        line.remove_prefix(end + 1);
    }
}

std::optional<std::uint64_t> parse_number(std::string_view text, int base) {
    std::uint64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size()) return std::nullopt;
    return number;
}

std::optional<bool> parse_switch(std::string_view word, std::string_view on, std::string_view off) {
    if (word == on) return true;
    if (word == off) return false;
    return std::nullopt;
}

std::optional<HandoverItem> parse_item(std::string_view counter, std::string_view writer, bool on) {
    const auto count = parse_number(counter, kDecimal);
    const auto by = parse_number(writer, kHexadecimal);
    if (!count || *count == 0 || *count > kMaxCounter || !by) return std::nullopt;
    return HandoverItem{{*count, *by}, on, false};
}

std::string encode_version(const ItemVersion& version) {
    return fmt::format("{} {:016x}", version.counter, version.writer);
}

}  // namespace

// --- Calls ---

void HandoverRecord::record_call(HandoverItem& item, bool on) const {
    item = {{item.version.counter + 1, writer_}, on, true};
}

// Returns null if there is no room: all registers are active bans or unconfirmed calls.
HandoverItem* HandoverRecord::find_or_insert(const std::string& id) {
    if (const auto found = bans_.find(id); found != bans_.end()) return &found->second;
    if (bans_.size() >= kMaxHandoverItems) {
        const auto lifted = std::find_if(bans_.begin(), bans_.end(), [](const auto& entry) {
            return !entry.second.on && !entry.second.unconfirmed;
        });
        if (lifted == bans_.end()) return nullptr;
        bans_.erase(lifted);
    }
    return &bans_[id];
}

void HandoverRecord::set_banned(const std::string& id, bool banned) {
    if (HandoverItem* item = find_or_insert(id)) record_call(*item, banned);
}

void HandoverRecord::set_draining(bool draining) {
    record_call(drain_, draining);
}

void HandoverRecord::add_ban(const std::string& id) {
    if (knows_ban(id)) return;
    if (HandoverItem* item = find_or_insert(id)) *item = {{1, 0}, true, false};
}

void HandoverRecord::add_drain() {
    if (!knows_drain()) drain_ = {{1, 0}, true, false};
}

// --- Merging ---

void HandoverRecord::merge_item(HandoverItem& item, const HandoverItem& other, MergeResult& result) const {
    if (other.version <= item.version) return;
    if (item.unconfirmed) {
        item.version = {other.version.counter + 1, writer_};
        result.reasserted = true;
        return;
    }
    result.changed = result.changed || item.on != other.on;
    item = {other.version, other.on, false};
}

HandoverRecord::MergeResult HandoverRecord::merge(const HandoverRecord& other) {
    MergeResult result;
    for (const auto& [id, item] : other.bans_)
        if (HandoverItem* own = find_or_insert(id)) merge_item(*own, item, result);
    merge_item(drain_, other.drain_, result);
    if (other.legacy_.counter > legacy_.counter) legacy_ = other.legacy_;
    return result;
}

bool HandoverRecord::merge_legacy(const State& current) {
    MergeResult ignored;
    std::set<std::string> ids = legacy_.bans;
    ids.insert(current.bans().begin(), current.bans().end());
    bool differs = current.drain_requested() != legacy_.draining;
    for (const std::string& id : ids) {
        const bool banned = current.is_banned(id);
        if (banned == legacy_.bans.contains(id)) continue;
        differs = true;
        if (HandoverItem* item = find_or_insert(id))
            merge_item(*item, {{item->version.counter + 1, 0}, banned, false}, ignored);
    }
    if (current.drain_requested() != legacy_.draining)
        merge_item(drain_, {{drain_.version.counter + 1, 0}, current.drain_requested(), false}, ignored);
    if (differs) set_legacy(current);
    return differs;
}

void HandoverRecord::set_legacy(const State& written) {
    legacy_ = {legacy_.counter + 1, written.drain_requested(), written.bans()};
}

void HandoverRecord::confirm() {
    for (auto& [id, item] : bans_) item.unconfirmed = false;
    drain_.unconfirmed = false;
}

bool HandoverRecord::has_unconfirmed() const {
    return drain_.unconfirmed || std::any_of(bans_.begin(), bans_.end(),
                                             [](const auto& entry) { return entry.second.unconfirmed; });
}

State HandoverRecord::state() const {
    State result;
    for (const auto& [id, item] : bans_)
        if (item.on) result.ban(id, true);
    if (drain_.on) result.start_drain();
    return result;
}

// --- Encoding ---

std::string HandoverRecord::encode() const {
    std::string lines;
    if (knows_drain())
        lines += fmt::format("drain {} {}\n", encode_version(drain_.version), drain_.on ? "on" : "off");
    for (const auto& [id, item] : bans_)
        lines += fmt::format("{} {} {}\n", item.on ? "down" : "up", encode_version(item.version), id);
    if (legacy_.counter > 0) {
        lines += fmt::format("version-1 {} {}\n", legacy_.counter, legacy_.draining ? "on" : "off");
        for (const std::string& id : legacy_.bans) lines += fmt::format("version-1-down {}\n", id);
    }
    return add_envelope(kHandoverRecordVersion, lines);
}

std::string HandoverRecord::decode(std::string_view text, HandoverRecord& record) {
    const EnvelopeContent content = remove_envelope(text, kHandoverRecordVersion, kMaxRecordSize);
    if (!content.error.empty()) return content.error;
    HandoverRecord read(record.writer_);
    for (std::size_t i = 0; i < content.lines.size(); ++i)
        if (!read.decode_line(content.lines[i])) return fmt::format("line {} can't be read", i + 2);
    record = std::move(read);
    return {};
}

bool HandoverRecord::decode_line(std::string_view line) {
    const std::vector<std::string_view> words = split_words(line);
    const std::string_view kind = words.front();
    if (kind == "version-1-down" && words.size() == 2 && is_valid_id(words[1]))
        return legacy_.bans.size() < kMaxBans && legacy_.bans.emplace(words[1]).second;
    if (kind == "version-1" && words.size() == 3) {
        const auto counter = parse_number(words[1], kDecimal);
        const auto draining = parse_switch(words[2], "on", "off");
        if (!counter || *counter > kMaxCounter || !draining) return false;
        legacy_.counter = *counter;
        legacy_.draining = *draining;
        return true;
    }
    if (words.size() != 4) return false;
    const bool is_drain = kind == "drain";
    const auto on = is_drain ? parse_switch(words[3], "on", "off") : parse_switch(kind, "down", "up");
    if (!on) return false;
    const auto item = parse_item(words[1], words[2], *on);
    if (!item) return false;
    if (is_drain) {
        drain_ = *item;
        return true;
    }
    if (!is_valid_id(words[3]) || bans_.size() >= kMaxHandoverItems) return false;
    return bans_.emplace(words[3], *item).second;
}

std::string encode_legacy_copy(const State& state) {
    const std::string drain = fmt::format("drain {}\n", state.drain_requested() ? "on" : "off");
    std::string lines = drain + drain;
    for (const std::string& id : state.bans()) lines += fmt::format("down {}\n", id);
    return add_envelope(kStateVersion, lines);
}

bool is_legacy_copy(std::string_view text) {
    const EnvelopeContent content = remove_envelope(text, kStateVersion, kMaxRecordSize);
    return content.lines.size() >= 2 && content.lines[0] == content.lines[1];
}

}  // namespace sumackeel::admin
