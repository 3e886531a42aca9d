#include "rollout/release_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string_view>

#include "config/config.h"
#include "config/tree.h"

namespace sumackeel::rollout {

namespace {

constexpr std::size_t kMaxMemberLength = 64;
constexpr std::size_t kMaxTextLength = 64;
constexpr std::size_t kMaxPercentLength = 4;  // "100%"

// Reads the plan's TOML table, checks the type of each value and rejects unknown keys.
class PlanReader {
  public:
    PlanReader(const config::Node& root, std::string file)
        : table_(std::get<config::Node::Table>(root.value)), file_(std::move(file)) {}

    [[noreturn]] void fail(const std::string& key, const std::string& reason) const {
        const auto found = table_.find(key);
        const config::SourceLocation at =
            found == table_.end() ? config::SourceLocation{1, 1} : found->second.place;
        throw config::ConfigError(fmt::format("{}:{}:{}: {}: {}", file_, at.line, at.column, key, reason));
    }
    const config::Node* find(const std::string& key) {
        known_.insert(key);
        const auto found = table_.find(key);
        return found == table_.end() ? nullptr : &found->second;
    }
    std::string required_text(const std::string& key) {
        const config::Node* node = find(key);
        if (!node) fail(key, "is missing");
        return text(key, *node);
    }
    std::string text_or(const std::string& key, const std::string& fallback) {
        const config::Node* node = find(key);
        return node ? text(key, *node) : fallback;
    }
    double number_or(const std::string& key, double fallback, double min, double max) {
        const config::Node* node = find(key);
        if (!node) return fallback;
        const auto* integer = std::get_if<std::int64_t>(&node->value);
        const auto* real = std::get_if<double>(&node->value);
        const double value = integer ? static_cast<double>(*integer) : real ? *real : std::nan("");
        if (!(value >= min && value <= max))
            fail(key, fmt::format("a number from {} to {} is wanted", min, max));
        return value;
    }
    void reject_unknown_keys() const {
        for (const auto& [key, node] : table_)
            if (!known_.contains(key)) fail(key, "no such key in a plan");
    }

  private:
    std::string text(const std::string& key, const config::Node& node) const {
        const auto* value = std::get_if<std::string>(&node.value);
        const bool valid =
            value && !value->empty() && value->size() <= kMaxTextLength &&
            std::all_of(value->begin(), value->end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
        if (!valid) fail(key, "a string of 1 to 64 printable characters without blanks is wanted");
        return *value;
    }

    const config::Node::Table& table_;
    const std::string file_;
    std::set<std::string> known_;
};

std::vector<std::string> read_members(PlanReader& reader, const std::vector<std::string>& all) {
    const config::Node* node = reader.find("members");
    if (!node) return all;
    const auto* list = std::get_if<config::Node::List>(&node->value);
    if (!list || list->empty() || list->size() > kMaxReleaseMembers)
        reader.fail("members", "a list of names is wanted");
    std::vector<std::string> members;
    for (const config::Node& item : *list) {
        const auto* name = std::get_if<std::string>(&item.value);
        if (!name || name->empty() || name->size() > kMaxMemberLength)
            reader.fail("members", "a name is wanted");
        if (std::find(members.begin(), members.end(), *name) != members.end())
            reader.fail("members", *name + " stands there twice");
        members.push_back(*name);
    }
    return members;
}

// Accepts "1%" to "100%".
std::optional<int> parse_percent(std::string_view text) {
    if (text.size() < 2 || text.size() > kMaxPercentLength || !text.ends_with('%')) return std::nullopt;
    int percent = 0;
    for (const char digit : text.substr(0, text.size() - 1)) {
        if (digit < '0' || digit > '9') return std::nullopt;
        percent = 10 * percent + (digit - '0');
    }
    return percent >= 1 && percent <= 100 ? std::optional(percent) : std::nullopt;
}

// The size of one wave, given as a number of members or as a percentage of all members, rounded up.
std::size_t read_wave(const PlanReader& reader, const config::Node& item, std::size_t members) {
    if (const auto* count = std::get_if<std::int64_t>(&item.value); count && *count > 0)
        return static_cast<std::size_t>(std::min<std::int64_t>(*count, kMaxReleaseMembers));
    const auto* text = std::get_if<std::string>(&item.value);
    const std::optional<int> percent = text ? parse_percent(*text) : std::nullopt;
    if (!percent) reader.fail("waves", "each is a number of members, or a share like \"25%\"");
    return (members * static_cast<std::size_t>(*percent) + 99) / 100;
}

// Reads a list such as [1, 3, "25%"]. The remaining members form the last wave.
std::vector<std::size_t> read_waves(PlanReader& reader, std::size_t members) {
    std::vector<std::size_t> waves;
    std::size_t remaining = members;
    const auto add_wave = [&](std::size_t size) {
        size = std::min(std::max<std::size_t>(1, size), remaining);
        if (size == 0) return;
        waves.push_back(size);
        remaining -= size;
    };
    if (const config::Node* node = reader.find("waves")) {
        const auto* list = std::get_if<config::Node::List>(&node->value);
        if (!list) reader.fail("waves", "a list like [1, 3, \"25%\"] is wanted");
        for (const config::Node& item : *list) add_wave(read_wave(reader, item, members));
    } else {
        add_wave(1);
    }
    if (remaining > 0) add_wave(remaining);
    return waves;
}

GateThresholds read_gate(PlanReader& reader) {
    GateThresholds gate;
    gate.in_time = static_cast<Micros>(reader.number_or("in_time_ms", 1'024, 1, 32'768)) * 1'000;
    gate.max_late_increase = reader.number_or("late", gate.max_late_increase, 0, 1);
    gate.max_failure_increase = reader.number_or("failures", gate.max_failure_increase, 0, 1);
    gate.max_rejection_increase = reader.number_or("refusals", gate.max_rejection_increase, 0, 1);
    gate.max_dispatch_time_ratio = reader.number_or("own_time", gate.max_dispatch_time_ratio, 1, 1'000);
    gate.max_memory_ratio = reader.number_or("memory", gate.max_memory_ratio, 1, 1'000);
    gate.min_requests = static_cast<std::uint64_t>(reader.number_or("least_requests", 200, 1, 1e9));
    return gate;
}

}  // namespace

std::size_t Plan::members_through(std::size_t wave) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < waves.size() && i <= wave; ++i) count += waves[i];
    return count;
}

Plan parse_plan(const std::string& text, const std::string& file, const std::vector<std::string>& all) {
    const config::Node root = config::read_toml(text, file);
    PlanReader reader(root, file);
    Plan plan;
    plan.name = reader.required_text("name");
    plan.subject = reader.text_or("what", "program");
    if (plan.subject != "program" && plan.subject != "settings" && plan.subject != "fleet")
        reader.fail("what", "program, settings or fleet is wanted");
    plan.from = reader.required_text("from");
    plan.to = reader.required_text("to");
    if (plan.from == plan.to) reader.fail("to", "is what runs before as well");
    plan.members = read_members(reader, all);
    plan.waves = read_waves(reader, plan.members.size());
    const auto seconds_or = [&](const char* key, double fallback, double max) {
        return static_cast<Micros>(reader.number_or(key, fallback, 0.001, max) * 1e6);
    };
    plan.soak = seconds_or("soak_s", 60, 86'400);
    plan.wave_timeout = seconds_or("patience_s", 900, 604'800);
    plan.gate = read_gate(reader);
    reader.reject_unknown_keys();
    if (plan.members.empty()) reader.fail("members", "nobody is there");
    return plan;
}

}  // namespace sumackeel::rollout
