#include "rollout/release.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "config/config.h"
#include "config/tree.h"

namespace sumackeel::rollout {

namespace {

constexpr std::size_t kLongestMember = 64, kLongestVersion = 64;

// Reads a plan's table: each key at most once, each of its type, none that is not known.
class PlanReader {
  public:
    PlanReader(const config::Node& root, std::string file)
        : table_(std::get<config::Node::Table>(root.value)), file_(std::move(file)) {}

    [[noreturn]] void wrong(const std::string& key, const std::string& what) const {
        const auto found = table_.find(key);
        const config::SourceLocation at =
            found == table_.end() ? config::SourceLocation{1, 1} : found->second.place;
        throw config::ConfigError(fmt::format("{}:{}:{}: {}: {}", file_, at.line, at.column, key, what));
    }
    const config::Node* find(const std::string& key) {
        known_.insert(key);
        const auto found = table_.find(key);
        return found == table_.end() ? nullptr : &found->second;
    }
    std::string text(const std::string& key, const std::string& otherwise) {
        const config::Node* node = find(key);
        if (!node) return otherwise.empty() ? (wrong(key, "is missing"), "") : otherwise;
        const auto* value = std::get_if<std::string>(&node->value);
        const bool sound =
            value && !value->empty() && value->size() <= kLongestVersion &&
            std::all_of(value->begin(), value->end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
        if (!sound) wrong(key, "a string of 1 to 64 printable characters without blanks is wanted");
        return *value;
    }
    double number(const std::string& key, double otherwise, double least, double most) {
        const config::Node* node = find(key);
        if (!node) return otherwise;
        const auto* whole = std::get_if<std::int64_t>(&node->value);
        const auto* part = std::get_if<double>(&node->value);
        const double value = whole ? static_cast<double>(*whole) : part ? *part : std::nan("");
        if (!(value >= least && value <= most))
            wrong(key, fmt::format("a number from {} to {} is wanted", least, most));
        return value;
    }
    void finish() const {
        for (const auto& [key, node] : table_)
            if (!known_.contains(key)) wrong(key, "no such key in a plan");
    }

  private:
    const config::Node::Table& table_;
    const std::string file_;
    std::set<std::string> known_;
};

std::vector<std::string> read_members(PlanReader& plan, const std::vector<std::string>& all) {
    const config::Node* node = plan.find("members");
    if (!node) return all;
    const auto* list = std::get_if<config::Node::List>(&node->value);
    if (!list || list->empty() || list->size() > kMaxReleaseMembers)
        plan.wrong("members", "a list of names is wanted");
    std::vector<std::string> members;
    for (const config::Node& one : *list) {
        const auto* name = std::get_if<std::string>(&one.value);
        if (!name || name->empty() || name->size() > kLongestMember)
            plan.wrong("members", "a name is wanted");
        if (std::find(members.begin(), members.end(), *name) != members.end())
            plan.wrong("members", *name + " stands there twice");
        members.push_back(*name);
    }
    return members;
}

// [1, 3, "25%"]: so many members each, or a share of all; what is left makes the last wave.
std::vector<std::size_t> read_waves(PlanReader& plan, std::size_t members) {
    std::vector<std::size_t> waves;
    std::size_t left = members;
    const auto add = [&](std::size_t count) {
        count = std::min(std::max<std::size_t>(1, count), left);
        if (count > 0) waves.push_back(count), left -= count;
    };
    const config::Node* node = plan.find("waves");
    const auto* list = node ? std::get_if<config::Node::List>(&node->value) : nullptr;
    if (node && !list) plan.wrong("waves", "a list like [1, 3, \"25%\"] is wanted");
    if (!node) add(1);
    for (const config::Node& one : list ? *list : config::Node::List{}) {
        const auto* count = std::get_if<std::int64_t>(&one.value);
        const auto* share = std::get_if<std::string>(&one.value);
        int percent = 0;
        const bool is_share = share && share->size() <= 4 && share->ends_with("%") &&
                              std::all_of(share->begin(), share->end() - 1,
                                          [](unsigned char c) { return c >= '0' && c <= '9'; }) &&
                              share->size() > 1 && (percent = std::stoi(*share)) >= 1 && percent <= 100;
        if (!is_share && !(count && *count > 0))
            plan.wrong("waves", "each is a number of members, or a share like \"25%\"");
        add(is_share ? (members * static_cast<std::size_t>(percent) + 99) / 100
                     : static_cast<std::size_t>(std::min<std::int64_t>(*count, kMaxReleaseMembers)));
    }
    if (left > 0) add(left);
    return waves;
}

}  // namespace

MetricsSum& MetricsSum::operator+=(const MetricsSum& other) {
    requests += other.requests, in_time += other.in_time, rejected += other.rejected, failed += other.failed;
    dispatch_time_us += other.dispatch_time_us, dispatched += other.dispatched, memory_kb += other.memory_kb,
        members += other.members;
    return *this;
}

std::size_t Plan::members_through(std::size_t wave) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < waves.size() && i <= wave; ++i) count += waves[i];
    return count;
}

Plan parse_plan(const std::string& text, const std::string& file, const std::vector<std::string>& all) {
    const config::Node root = config::read_toml(text, file);
    PlanReader from(root, file);
    Plan plan;
    plan.name = from.text("name", ""), plan.subject = from.text("what", "program");
    if (plan.subject != "program" && plan.subject != "settings" && plan.subject != "fleet")
        from.wrong("what", "program, settings or fleet is wanted");
    plan.from = from.text("from", ""), plan.to = from.text("to", "");
    if (plan.from == plan.to) from.wrong("to", "is what runs before as well");
    plan.members = read_members(from, all);
    plan.waves = read_waves(from, plan.members.size());
    const auto micros = [&](const char* key, double otherwise, double most) {
        return static_cast<Micros>(from.number(key, otherwise, 0.001, most) * 1e6);
    };
    plan.soak = micros("soak_s", 60, 86'400), plan.wave_timeout = micros("patience_s", 900, 604'800);
    plan.gate.in_time = static_cast<Micros>(from.number("in_time_ms", 1'024, 1, 32'768)) * 1'000;
    plan.gate.max_late_increase = from.number("late", plan.gate.max_late_increase, 0, 1);
    plan.gate.max_failure_increase = from.number("failures", plan.gate.max_failure_increase, 0, 1);
    plan.gate.max_rejection_increase = from.number("refusals", plan.gate.max_rejection_increase, 0, 1);
    plan.gate.max_dispatch_time_ratio = from.number("own_time", plan.gate.max_dispatch_time_ratio, 1, 1'000);
    plan.gate.max_memory_ratio = from.number("memory", plan.gate.max_memory_ratio, 1, 1'000);
    plan.gate.min_requests = static_cast<std::uint64_t>(from.number("least_requests", 200, 1, 1e9));
    from.finish();
    if (plan.members.empty()) from.wrong("members", "nobody is there");
    return plan;
}

const char* name_of(ReleaseStage stage) {
    constexpr const char* names[] = {"changing", "soaking", "going back", "halted", "done", "back"};
    return names[static_cast<std::size_t>(stage)];
}

const char* name_of(ReleaseAction verb) {
    constexpr const char* names[] = {"start", "halt", "resume", "back"};
    return names[static_cast<std::size_t>(verb)];
}

bool Release::contains(const std::string& member) const {
    return std::find(plan.members.begin(), plan.members.end(), member) != plan.members.end();
}

std::string Release::lease_rejection(const std::string& member) const {
    if (stage == ReleaseStage::halted) return fmt::format("release {} is halted: {}", plan.name, reason);
    if (stage == ReleaseStage::soaking)
        return fmt::format("wave {} of {} soaks", wave + 1, plan.waves.size());
    if (stage == ReleaseStage::rolling_back) return {};
    const auto found = std::find(plan.members.begin(), plan.members.end(), member);
    if (found - plan.members.begin() < static_cast<std::ptrdiff_t>(plan.members_through(wave))) return {};
    return fmt::format("wave {} of {} is changed first", wave + 1, plan.waves.size());
}

void Releases::enter(ReleaseStage stage, Micros now, const std::string& reason, const std::string& by) {
    if (stage == ReleaseStage::halted) active_->halted_stage = active_->stage;
    active_->stage = stage, active_->since = now, active_->reason = reason, active_->by = by;
    ++active_->steps;
}

std::string Releases::start(const ReleaseCommand& order) {
    const Plan& plan = order.plan;
    std::size_t sum = 0;
    for (const std::size_t wave : plan.waves) sum += wave;
    if (plan.members.empty() || plan.waves.empty() || sum != plan.members.size() || plan.from == plan.to)
        return "the plan does not add up";
    for (const std::string& member : plan.members)
        if (std::find(order.live_members.begin(), order.live_members.end(), member) ==
            order.live_members.end())
            return fmt::format("{} is not there", member);
    active_.emplace();
    active_->number = ++last_, active_->plan = plan;
    enter(ReleaseStage::changing, order.now, "started", order.requested_by);
    return {};
}

std::string Releases::apply(const ReleaseCommand& order) {
    if (order.action == ReleaseAction::start) {
        if (!active_) return start(order);
        if (active_->plan == order.plan) return {};  // asked again
        return fmt::format("release {} is under way ({})", active_->plan.name, name_of(active_->stage));
    }
    if (!active_) return "no release is under way";
    const bool halted = active_->stage == ReleaseStage::halted;
    switch (order.action) {
        case ReleaseAction::start:
            break;
        case ReleaseAction::halt:
            if (!halted) enter(ReleaseStage::halted, order.now, "told to halt", order.requested_by);
            break;
        case ReleaseAction::resume:
            if (!halted) return fmt::format("release {} is not halted", active_->plan.name);
            active_->skipped_members.clear();
            for (const std::string& member : active_->plan.members)
                if (std::find(order.live_members.begin(), order.live_members.end(), member) ==
                    order.live_members.end())
                    active_->skipped_members.push_back(member);
            enter(active_->halted_stage, order.now, "told to go on", order.requested_by);
            break;
        case ReleaseAction::roll_back:
            if (active_->stage != ReleaseStage::rolling_back)
                enter(ReleaseStage::rolling_back, order.now, "told to go back", order.requested_by);
            break;
    }
    return {};
}

void Releases::on_lease_returned(std::uint64_t release, const std::string& member,
                                 const RunningVersion& runs) {
    if (active_ && active_->number == release && runs.start > 0 && active_->contains(member))
        active_->reported_versions[member] = runs;
}

bool Releases::apply(const ReleaseStep& step) {
    if (!active_ || active_->number != step.release || active_->steps != step.expected_steps ||
        active_->stage == ReleaseStage::halted || step.wave >= active_->plan.waves.size())
        return false;
    active_->wave = step.wave;
    if (step.baseline) active_->baseline = step.baseline;
    enter(step.to, step.now, step.reason.substr(0, kMaxReasonLength), {});
    if (!active_->is_finished()) return true;
    if (past_.size() >= kMaxPastReleases) past_.erase(past_.begin());
    past_.push_back(std::move(*active_));
    active_.reset();
    return true;
}

}  // namespace sumackeel::rollout
