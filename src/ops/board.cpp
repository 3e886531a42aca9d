#include "ops/board.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

namespace sumackeel::ops {

namespace {

constexpr std::string_view kFirst = "sumackeel ops hand-over ";
constexpr std::string_view kSum = "sum ";
// The file of kMostBans ids of the longest kind, with room for the lines round them.
constexpr std::size_t kLongestText = kMostBans * (kLongestId + 5) + 4096;

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

const char* name_of(Phase phase) {
    switch (phase) {
        case Phase::starting:
            return "starting";
        case Phase::serving:
            return "serving";
        case Phase::draining:
            return "draining";
        case Phase::ending:
            return "ending";
    }
    return "?";
}

bool sound_id(std::string_view id) {
    return !id.empty() && id.size() <= kLongestId && std::all_of(id.begin(), id.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '.' || c == '_';
    });
}

void Board::able() {
    if (phase_ == Phase::starting) phase_ = drain_told_ ? Phase::draining : Phase::serving;
}

Said Board::drain_start() {
    if (phase_ == Phase::ending) return Said::refused;
    drain_told_ = true;
    if (phase_ == Phase::serving) phase_ = Phase::draining;
    return Said::yes;
}

Said Board::drain_stop() {
    if (phase_ == Phase::ending) return Said::refused;
    drain_told_ = false;
    if (phase_ == Phase::draining) phase_ = Phase::serving;
    return Said::yes;
}

void Board::end() {
    phase_ = Phase::ending;
}

Said Board::ban(std::string_view id, bool listed) {
    if (!sound_id(id)) return Said::unknown;
    const std::string key(id);
    if (bans_.contains(key)) return Said::yes;  // a call repeated
    if (!listed) return Said::unknown;
    if (bans_.size() >= kMostBans) return Said::refused;
    bans_.insert(key);
    return Said::yes;
}

Said Board::lift(std::string_view id, bool listed) {
    if (!sound_id(id)) return Said::unknown;
    if (bans_.erase(std::string(id)) > 0 || listed) return Said::yes;
    return Said::unknown;
}

std::string Board::hand_over() const {
    std::string body = fmt::format("{}{}\ndrain {}\n", kFirst, kHandOverVersion, drain_told_ ? "on" : "off");
    for (const std::string& id : bans_) body += fmt::format("down {}\n", id);
    return body + std::string(kSum) + sum_of(body) + "\n";
}

void Board::take_over(const Board& old) {
    for (const std::string& id : old.bans_)
        if (bans_.size() < kMostBans) bans_.insert(id);
    if (old.drain_told_) drain_start();
}

void Board::follow(const Board& before, const Board& after) {
    for (const std::string& id : after.bans_)
        if (!before.bans_.contains(id) && bans_.size() < kMostBans) bans_.insert(id);
    for (const std::string& id : before.bans_)
        if (!after.bans_.contains(id)) bans_.erase(id);
    if (before.drain_told_ != after.drain_told_) after.drain_told_ ? drain_start() : drain_stop();
}

Read read_hand_over(std::string_view text) {
    const auto fault = [](std::string why) { return Read{std::nullopt, std::move(why)}; };
    if (text.size() > kLongestText) return fault("too long");
    if (text.empty() || text.back() != '\n') return fault("torn: no end of line at its end");
    const auto lines = lines_of(text);
    if (!lines.front().starts_with(kFirst)) return fault("not a hand-over file of this program");
    int version = 0;
    const std::string_view number = lines.front().substr(kFirst.size());
    const auto read = std::from_chars(number.data(), number.data() + number.size(), version);
    if (read.ec != std::errc{} || read.ptr != number.data() + number.size()) return fault("no version");
    if (version != kHandOverVersion)
        return fault(fmt::format("version {}, this program reads {}", version, kHandOverVersion));
    const std::string_view last = lines.back();
    const std::size_t body_size = text.size() - last.size() - 1;
    if (!last.starts_with(kSum) || last.substr(kSum.size()) != sum_of(text.substr(0, body_size)))
        return fault("its checksum does not hold");
    Board board;
    for (std::size_t i = 1; i + 1 < lines.size(); ++i) {
        const std::string_view line = lines[i];
        if (line == "drain on") {
            board.drain_told_ = true;
        } else if (line == "drain off") {
            board.drain_told_ = false;
        } else if (line.starts_with("down ") && sound_id(line.substr(5))) {
            if (board.bans_.size() >= kMostBans) return fault("more bans than there is room for");
            board.bans_.emplace(line.substr(5));
        } else {
            return fault(fmt::format("line {} can't be read", i + 1));
        }
    }
    return {std::move(board), {}};
}

}  // namespace sumackeel::ops
