#include "rollout/release_gate.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace sumackeel::rollout {

namespace {

// A leader that has not looked for so long was stopped: what it knows is too old to judge by.
constexpr Micros kPaused = 3'000'000;
// Reports come each half second, later where proxies are many; silent for so long, one reports nothing.
constexpr Micros kSilent = 10'000'000;
// Of chance's spread: a look goes wrong so once in thirty thousand times, and a soak has some hundred looks.
constexpr double kSure = 4;
constexpr std::uint64_t kLeastForBad = 30;  // requests; bad is said before `least` have come
constexpr std::uint64_t kLeastBad = 5;      // under so many the spread below is no measure of chance
constexpr double kOwnTimeFloor = 1'000;     // us, and
constexpr double kMemoryFloor = 16'384;     // KiB: below these differences nobody minds

double mean(std::uint64_t sum, std::uint64_t count) {
    return count == 0 ? 0 : static_cast<double>(sum) / static_cast<double>(count);
}

// Whether a share is worse than another by more than `allowed` and by more than chance explains.
bool worse(std::uint64_t bad, std::uint64_t of, std::uint64_t other_bad, std::uint64_t of_other,
           double allowed) {
    if (bad < kLeastBad || of_other == 0) return false;
    const double one = mean(bad, of), other = mean(other_bad, of_other);
    const double both = mean(bad + other_bad, of + of_other);
    const double spread =
        std::sqrt(both * (1 - both) * (1.0 / static_cast<double>(of) + 1.0 / static_cast<double>(of_other)));
    return one - other > allowed + kSure * spread;
}

std::string percent(std::uint64_t part, std::uint64_t of) {
    return fmt::format("{:.1f}%", 100 * mean(part, of));
}

void add(MetricsSum& sum, const MemberReport& first, const MemberReport& last, Micros in_time) {
    const MemberMetrics &a = first.metrics, &b = last.metrics;
    sum.requests += b.requests() - a.requests();
    sum.rejected += b.rejected - a.rejected, sum.failed += b.failed - a.failed;
    sum.dispatch_time_us += b.dispatch_time_us - a.dispatch_time_us,
        sum.dispatched += b.dispatched - a.dispatched;
    const auto in_ms = static_cast<std::uint64_t>(std::max<Micros>(1, in_time / 1'000));
    const std::size_t buckets = std::min<std::size_t>(kLatencyBuckets, std::bit_width(std::bit_ceil(in_ms)));
    for (std::size_t i = 0; i < buckets; ++i) sum.in_time += b.latency_histogram[i] - a.latency_histogram[i];
    sum.memory_kb += b.memory_kb, ++sum.members;
}

bool excused(const Release& release, const std::string& member) {
    return std::find(release.skipped_members.begin(), release.skipped_members.end(), member) !=
           release.skipped_members.end();
}

// Of the plan's members those that are lost, and those there that are to run what is wanted by now and don't.
struct Missing {
    std::vector<std::string> lost, unchanged;
};
Missing missing(const Release& release, const std::vector<MemberStatus>& members) {
    std::map<std::string, const MemberStatus*> by_name;
    for (const MemberStatus& member : members) by_name[member.name] = &member;
    const Plan& plan = release.plan;
    const bool going_back = release.stage == ReleaseStage::rolling_back;
    const std::size_t upto = going_back ? plan.members.size() : plan.members_through(release.wave);
    Missing found;
    for (std::size_t i = 0; i < plan.members.size(); ++i) {
        const std::string& name = plan.members[i];
        const auto known = by_name.find(name);
        const MemberStatus* member = known == by_name.end() ? nullptr : known->second;
        const bool without = excused(release, name);
        if (!member || (member->gone && !member->leased)) {
            if (!without && !(going_back && member && member->version == release.target_version()))
                found.lost.push_back(name);
            continue;
        }
        const bool done = member->version == release.target_version() && member->serving;
        if (i < upto && !done && !(without && release.stage == ReleaseStage::soaking))
            found.unchanged.push_back(name);
    }
    return found;
}

}  // namespace

GateResult evaluate_gate(const MetricsSum& changed, const MetricsSum& others, const GateThresholds& gate,
                         bool over) {
    const auto bad = [](std::string why) { return GateResult{GateVerdict::fail, std::move(why)}; };
    const std::uint64_t n = changed.requests, m = others.requests;
    if (n >= std::min(gate.min_requests, kLeastForBad) && m >= std::min(gate.min_requests, kLeastForBad)) {
        if (worse(changed.failed, n, others.failed, m, gate.max_failure_increase))
            return bad(fmt::format("{} failed, {} of the others", percent(changed.failed, n),
                                   percent(others.failed, m)));
        if (worse(changed.rejected, n, others.rejected, m, gate.max_rejection_increase))
            return bad(fmt::format("{} refused, {} of the others", percent(changed.rejected, n),
                                   percent(others.rejected, m)));
        const std::uint64_t late = n - changed.failed - changed.rejected - changed.in_time;
        const std::uint64_t other_late = m - others.failed - others.rejected - others.in_time;
        if (worse(late, n, other_late, m, gate.max_late_increase))
            return bad(fmt::format("{} late, {} of the others", percent(late, n), percent(other_late, m)));
        const double own = mean(changed.dispatch_time_us, changed.dispatched),
                     other_own = mean(others.dispatch_time_us, others.dispatched);
        if (over && own > other_own * gate.max_dispatch_time_ratio + kOwnTimeFloor)
            return bad(fmt::format("own time {:.0f} us, {:.0f} of the others", own, other_own));
        const double memory = mean(changed.memory_kb, changed.members);
        const double other_memory = mean(others.memory_kb, others.members);
        if (memory > other_memory * gate.max_memory_ratio + kMemoryFloor)
            return bad(fmt::format("{:.0f} MiB resident, {:.0f} of the others", memory / 1'024,
                                   other_memory / 1'024));
    }
    if (!over) return {};
    if (n < gate.min_requests)
        return bad(fmt::format("a gate without data: {} requests of the {} wanted", n, gate.min_requests));
    if (m < gate.min_requests)
        return bad(fmt::format("nobody to compare with: {} requests of the {} wanted", m, gate.min_requests));
    return {GateVerdict::pass, {}};
}

void ReleaseWatch::on_report(const MemberReport& report, Micros now) {
    const auto [found, fresh] = heard_.try_emplace(report.member, Heard{report, report, now});
    Heard& heard = found->second;
    if (report.start < heard.last.start) return;  // overtaken
    // Another process of it, or the same with other settings, counts from here.
    if (report.start > heard.last.start || report.version != heard.last.version ||
        report.metrics.requests() < heard.last.metrics.requests())
        heard.first = report;
    heard.last = report, heard.at = now;
}

void ReleaseWatch::begin(const Release& release, Micros now) {
    // One step on, what ran before is still known: a start between two looks is seen. Past a halt it is not.
    if (release.number != number_ || release.steps != steps_ + 1) starts_.clear();
    number_ = release.number, steps_ = release.steps;
    began_ = now;
    heard_.clear();
    changed_ = others_ = MetricsSum{};
}

// Names a member of the plan that started anew without a turn.
std::string ReleaseWatch::crash(const Release& release, const std::vector<MemberStatus>& members) {
    for (const MemberStatus& member : members) {
        if (!release.contains(member.name)) continue;
        std::uint64_t start = member.start;
        const auto told = heard_.find(member.name);
        if (told != heard_.end()) start = std::max(start, told->second.last.start);
        const auto [known, fresh] = starts_.try_emplace(member.name, start);
        if (start <= known->second) continue;
        // The first start after that of a turn is what the turn was for.
        const auto turn = turns_.find(member.name);
        const bool wanted = member.leased || (turn != turns_.end() && known->second <= turn->second);
        known->second = start;
        if (!wanted) return member.name;
    }
    return {};
}

void ReleaseWatch::add_up(const Release& release, const std::vector<MemberStatus>& members) {
    changed_ = others_ = MetricsSum{};
    alone_.clear();
    const auto& plan = release.plan;
    const auto begins =
        plan.members.begin() +
        static_cast<std::ptrdiff_t>(plan.members_through(release.wave) - plan.waves[release.wave]);
    const auto ends = plan.members.begin() + static_cast<std::ptrdiff_t>(plan.members_through(release.wave));
    for (const MemberStatus& member : members) {
        const auto found = heard_.find(member.name);
        if (found == heard_.end() || !member.alive) continue;
        const Heard& heard = found->second;
        const bool of_wave = std::find(begins, ends, member.name) != ends;
        if (!of_wave && (heard.last.version != plan.from || !member.serving)) continue;
        MetricsSum own;
        add(own, heard.first, heard.last, plan.gate.in_time);
        (of_wave ? changed_ : others_) += own;
        if (of_wave) alone_[member.name] = own;
    }
}

std::optional<ReleaseStep> ReleaseWatch::next_step(const Release& release,
                                                   const std::vector<MemberStatus>& members, Micros now) {
    if (release.number != number_ || release.steps != steps_ || now - looked_ > kPaused) begin(release, now);
    looked_ = now;
    const Plan& plan = release.plan;
    const auto step = [&](ReleaseStage to, std::size_t wave, std::string reason,
                          std::optional<MetricsSum> base = {}) {
        return ReleaseStep{release.number, release.steps, to, wave, 0, std::move(reason), std::move(base)};
    };
    const auto halt = [&](std::string reason) {
        return step(ReleaseStage::halted, release.wave, std::move(reason));
    };
    if (release.stage == ReleaseStage::halted || release.is_finished()) return std::nullopt;

    const auto [lost, unchanged] = missing(release, members);
    if (release.stage == ReleaseStage::rolling_back) {
        // The dead are waited for, for as long as one wave may take: somebody may be setting them up anew.
        if (!unchanged.empty() || (!lost.empty() && now - began_ < plan.wave_timeout)) return std::nullopt;
        return step(ReleaseStage::rolled_back, release.wave,
                    lost.empty() ? "all run " + plan.from
                                 : fmt::format("without {}, which are not there", fmt::join(lost, ",")));
    }
    if (const std::string name = crash(release, members); !name.empty())
        return halt(name + " started anew without a turn");
    if (!lost.empty()) return halt(fmt::format("lost {}", fmt::join(lost, ",")));
    if (release.stage == ReleaseStage::changing) {
        if (unchanged.empty())
            return step(ReleaseStage::soaking, release.wave,
                        fmt::format("wave {} runs {}", release.wave + 1, plan.to));
        if (now - began_ >= plan.wave_timeout)
            return halt(fmt::format("{} not back with {} in {} s", fmt::join(unchanged, ","), plan.to,
                                    plan.wave_timeout / base::kSecond));
        return std::nullopt;
    }
    if (!unchanged.empty())
        return halt(fmt::format("{} went back or out while wave {} soaked", fmt::join(unchanged, ","),
                                release.wave + 1));
    add_up(release, members);
    const bool over = now - began_ >= plan.soak;
    const bool none_left = others_.requests < plan.gate.min_requests && release.baseline;
    const MetricsSum& against = none_left ? *release.baseline : others_;
    const auto gate = [&](const std::string& of, const std::string& reason) {
        return halt(fmt::format("gate of wave {}: {}{}", release.wave + 1, of, reason));
    };
    // One that is bad among many would not show in the sum.
    for (const auto& [name, sum] : alone_)
        if (const GateResult one = evaluate_gate(sum, against, plan.gate, false);
            one.verdict == GateVerdict::fail)
            return gate(name + ": ", one.reason);
    const GateResult verdict = evaluate_gate(changed_, against, plan.gate, over);
    if (verdict.verdict == GateVerdict::fail) return gate("", verdict.reason);
    if (verdict.verdict == GateVerdict::wait) return std::nullopt;
    const std::size_t upto = plan.members_through(release.wave);
    for (std::size_t i = upto - plan.waves[release.wave]; i < upto; ++i) {
        const auto found = heard_.find(plan.members[i]);
        if (!excused(release, plan.members[i]) && (found == heard_.end() || now - found->second.at > kSilent))
            return gate(plan.members[i], " reports nothing");
    }
    const auto base = none_left ? std::optional<MetricsSum>{} : std::optional(others_);
    const bool last = release.wave + 1 >= plan.waves.size();
    return step(last ? ReleaseStage::done : ReleaseStage::changing, last ? release.wave : release.wave + 1,
                fmt::format("the gate of wave {} is passed", release.wave + 1), base);
}

}  // namespace sumackeel::rollout
