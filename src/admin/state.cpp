#include "admin/state.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

#include "admin/sealed_text.h"

namespace sumackeel::admin {

namespace {

// A file with kMaxBans ids of maximum length, plus room for the other lines.
constexpr std::size_t kMaxTextSize = kMaxBans * (kMaxIdLength + 5) + 4096;

}  // namespace

const char* name_of(ProcessPhase phase) {
    switch (phase) {
        case ProcessPhase::starting:
            return "starting";
        case ProcessPhase::serving:
            return "serving";
        case ProcessPhase::draining:
            return "draining";
        case ProcessPhase::shutting_down:
            return "ending";
    }
    return "?";
}

bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= kMaxIdLength && std::all_of(id.begin(), id.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '.' || c == '_';
    });
}

void State::on_started() {
    if (phase_ == ProcessPhase::starting)
        phase_ = drain_requested_ ? ProcessPhase::draining : ProcessPhase::serving;
}

ChangeResult State::start_drain() {
    if (phase_ == ProcessPhase::shutting_down) return ChangeResult::rejected;
    drain_requested_ = true;
    if (phase_ == ProcessPhase::serving) phase_ = ProcessPhase::draining;
    return ChangeResult::accepted;
}

ChangeResult State::stop_drain() {
    if (phase_ == ProcessPhase::shutting_down) return ChangeResult::rejected;
    drain_requested_ = false;
    if (phase_ == ProcessPhase::draining) phase_ = ProcessPhase::serving;
    return ChangeResult::accepted;
}

void State::on_shutdown() {
    phase_ = ProcessPhase::shutting_down;
}

ChangeResult State::ban(std::string_view id, bool is_listed) {
    if (!is_valid_id(id)) return ChangeResult::unknown;
    const std::string key(id);
    if (bans_.contains(key)) return ChangeResult::accepted;  // repeated call
    if (!is_listed) return ChangeResult::unknown;
    if (bans_.size() >= kMaxBans) return ChangeResult::rejected;
    bans_.insert(key);
    return ChangeResult::accepted;
}

ChangeResult State::unban(std::string_view id, bool is_listed) {
    if (!is_valid_id(id)) return ChangeResult::unknown;
    if (bans_.erase(std::string(id)) > 0 || is_listed) return ChangeResult::accepted;
    return ChangeResult::unknown;
}

std::string State::encode() const {
    std::string lines = fmt::format("drain {}\n", drain_requested_ ? "on" : "off");
    for (const std::string& id : bans_) lines += fmt::format("down {}\n", id);
    return add_envelope(kStateVersion, lines);
}

void State::adopt(const State& old) {
    for (const std::string& id : old.bans_)
        if (bans_.size() < kMaxBans) bans_.insert(id);
    if (old.drain_requested_) start_drain();
}

void State::apply_difference(const State& before, const State& after) {
    for (const std::string& id : after.bans_)
        if (!before.bans_.contains(id) && bans_.size() < kMaxBans) bans_.insert(id);
    for (const std::string& id : before.bans_)
        if (!after.bans_.contains(id)) bans_.erase(id);
    if (before.drain_requested_ != after.drain_requested_)
        after.drain_requested_ ? start_drain() : stop_drain();
}

DecodedState decode_state(std::string_view text) {
    const auto rejected = [](std::string error) { return DecodedState{std::nullopt, std::move(error)}; };
    const EnvelopeContent content = remove_envelope(text, kStateVersion, kMaxTextSize);
    if (!content.error.empty()) return rejected(content.error);
    State state;
    for (std::size_t i = 0; i < content.lines.size(); ++i) {
        const std::string_view line = content.lines[i];
        if (line == "drain on") {
            state.drain_requested_ = true;
        } else if (line == "drain off") {
            state.drain_requested_ = false;
        } else if (line.starts_with("down ") && is_valid_id(line.substr(5))) {
            if (state.bans_.size() >= kMaxBans) return rejected("more bans than there is room for");
            state.bans_.emplace(line.substr(5));
        } else {
            return rejected(fmt::format("line {} can't be read", i + 2));
        }
    }
    return {std::move(state), {}};
}

}  // namespace sumackeel::admin
