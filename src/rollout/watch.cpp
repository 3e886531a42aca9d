#include "rollout/watch.h"

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

void add(Sum& sum, const Report& first, const Report& last, Micros in_time) {
    const Tally &a = first.tally, &b = last.tally;
    sum.requests += b.requests() - a.requests();
    sum.refused += b.refused - a.refused, sum.failed += b.failed - a.failed;
    sum.own_us += b.own_us - a.own_us, sum.sent += b.sent - a.sent;
    const auto in_ms = static_cast<std::uint64_t>(std::max<Micros>(1, in_time / 1'000));
    const std::size_t buckets = std::min<std::size_t>(kBuckets, std::bit_width(std::bit_ceil(in_ms)));
    for (std::size_t i = 0; i < buckets; ++i) sum.in_time += b.took[i] - a.took[i];
    sum.memory_kb += b.memory_kb, ++sum.members;
}

bool excused(const Release& release, const std::string& member) {
    return std::find(release.without.begin(), release.without.end(), member) != release.without.end();
}

// Of the plan's members those that are lost, and those there that are to run what is wanted by now and don't.
struct Missing {
    std::vector<std::string> lost, unchanged;
};
Missing missing(const Release& release, const std::vector<MemberNow>& members) {
    std::map<std::string, const MemberNow*> by_name;
    for (const MemberNow& member : members) by_name[member.name] = &member;
    const Plan& plan = release.plan;
    const bool going_back = release.stage == Stage::going_back;
    const std::size_t upto = going_back ? plan.members.size() : plan.upto(release.wave);
    Missing found;
    for (std::size_t i = 0; i < plan.members.size(); ++i) {
        const std::string& name = plan.members[i];
        const auto known = by_name.find(name);
        const MemberNow* member = known == by_name.end() ? nullptr : known->second;
        const bool without = excused(release, name);
        if (!member || (member->lost && !member->leased)) {
            if (!without && !(going_back && member && member->version == release.wanted()))
                found.lost.push_back(name);
            continue;
        }
        const bool done = member->version == release.wanted() && member->serving;
        if (i < upto && !done && !(without && release.stage == Stage::soaking))
            found.unchanged.push_back(name);
    }
    return found;
}

}  // namespace

Verdict judge(const Sum& changed, const Sum& others, const Gate& gate, bool over) {
    const auto bad = [](std::string why) { return Verdict{Gated::bad, std::move(why)}; };
    const std::uint64_t n = changed.requests, m = others.requests;
    if (n >= std::min(gate.least, kLeastForBad) && m >= std::min(gate.least, kLeastForBad)) {
        if (worse(changed.failed, n, others.failed, m, gate.failures))
            return bad(fmt::format("{} failed, {} of the others", percent(changed.failed, n),
                                   percent(others.failed, m)));
        if (worse(changed.refused, n, others.refused, m, gate.refusals))
            return bad(fmt::format("{} refused, {} of the others", percent(changed.refused, n),
                                   percent(others.refused, m)));
        const std::uint64_t late = n - changed.failed - changed.refused - changed.in_time;
        const std::uint64_t other_late = m - others.failed - others.refused - others.in_time;
        if (worse(late, n, other_late, m, gate.late))
            return bad(fmt::format("{} late, {} of the others", percent(late, n), percent(other_late, m)));
        const double own = mean(changed.own_us, changed.sent), other_own = mean(others.own_us, others.sent);
        if (over && own > other_own * gate.own_time + kOwnTimeFloor)
            return bad(fmt::format("own time {:.0f} us, {:.0f} of the others", own, other_own));
        const double memory = mean(changed.memory_kb, changed.members);
        const double other_memory = mean(others.memory_kb, others.members);
        if (memory > other_memory * gate.memory + kMemoryFloor)
            return bad(fmt::format("{:.0f} MiB resident, {:.0f} of the others", memory / 1'024,
                                   other_memory / 1'024));
    }
    if (!over) return {};
    if (n < gate.least)
        return bad(fmt::format("a gate without data: {} requests of the {} wanted", n, gate.least));
    if (m < gate.least)
        return bad(fmt::format("nobody to compare with: {} requests of the {} wanted", m, gate.least));
    return {Gated::good, {}};
}

void Watch::heard(const Report& report, Micros now) {
    const auto [found, fresh] = heard_.try_emplace(report.member, Heard{report, report, now});
    Heard& heard = found->second;
    if (report.start < heard.last.start) return;  // overtaken
    // Another process of it, or the same with other settings, counts from here.
    if (report.start > heard.last.start || report.version != heard.last.version ||
        report.tally.requests() < heard.last.tally.requests())
        heard.first = report;
    heard.last = report, heard.at = now;
}

void Watch::begin(const Release& release, Micros now) {
    // One step on, what ran before is still known: a start between two looks is seen. Past a halt it is not.
    if (release.number != number_ || release.steps != steps_ + 1) starts_.clear();
    number_ = release.number, steps_ = release.steps;
    began_ = now;
    heard_.clear();
    changed_ = others_ = Sum{};
}

// Names a member of the plan that started anew without a turn.
std::string Watch::crash(const Release& release, const std::vector<MemberNow>& members) {
    for (const MemberNow& member : members) {
        if (!release.has(member.name)) continue;
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

void Watch::add_up(const Release& release, const std::vector<MemberNow>& members) {
    changed_ = others_ = Sum{};
    alone_.clear();
    const auto& plan = release.plan;
    const auto begins = plan.members.begin() +
                        static_cast<std::ptrdiff_t>(plan.upto(release.wave) - plan.waves[release.wave]);
    const auto ends = plan.members.begin() + static_cast<std::ptrdiff_t>(plan.upto(release.wave));
    for (const MemberNow& member : members) {
        const auto found = heard_.find(member.name);
        if (found == heard_.end() || !member.there) continue;
        const Heard& heard = found->second;
        const bool of_wave = std::find(begins, ends, member.name) != ends;
        if (!of_wave && (heard.last.version != plan.from || !member.serving)) continue;
        Sum own;
        add(own, heard.first, heard.last, plan.gate.in_time);
        (of_wave ? changed_ : others_) += own;
        if (of_wave) alone_[member.name] = own;
    }
}

std::optional<Step> Watch::look(const Release& release, const std::vector<MemberNow>& members, Micros now) {
    if (release.number != number_ || release.steps != steps_ || now - looked_ > kPaused) begin(release, now);
    looked_ = now;
    const Plan& plan = release.plan;
    const auto step = [&](Stage to, std::size_t wave, std::string reason, std::optional<Sum> base = {}) {
        return Step{release.number, release.steps, to, wave, 0, std::move(reason), std::move(base)};
    };
    const auto halt = [&](std::string reason) {
        return step(Stage::halted, release.wave, std::move(reason));
    };
    if (release.stage == Stage::halted || release.over()) return std::nullopt;

    const auto [lost, unchanged] = missing(release, members);
    if (release.stage == Stage::going_back) {
        // The dead are waited for, for as long as one wave may take: somebody may be setting them up anew.
        if (!unchanged.empty() || (!lost.empty() && now - began_ < plan.patience)) return std::nullopt;
        return step(Stage::back, release.wave,
                    lost.empty() ? "all run " + plan.from
                                 : fmt::format("without {}, which are not there", fmt::join(lost, ",")));
    }
    if (const std::string name = crash(release, members); !name.empty())
        return halt(name + " started anew without a turn");
    if (!lost.empty()) return halt(fmt::format("lost {}", fmt::join(lost, ",")));
    if (release.stage == Stage::changing) {
        if (unchanged.empty())
            return step(Stage::soaking, release.wave,
                        fmt::format("wave {} runs {}", release.wave + 1, plan.to));
        if (now - began_ >= plan.patience)
            return halt(fmt::format("{} not back with {} in {} s", fmt::join(unchanged, ","), plan.to,
                                    plan.patience / base::kSecond));
        return std::nullopt;
    }
    if (!unchanged.empty())
        return halt(fmt::format("{} went back or out while wave {} soaked", fmt::join(unchanged, ","),
                                release.wave + 1));
    add_up(release, members);
    const bool over = now - began_ >= plan.soak;
    const bool none_left = others_.requests < plan.gate.least && release.base;
    const Sum& against = none_left ? *release.base : others_;
    const auto gate = [&](const std::string& of, const std::string& reason) {
        return halt(fmt::format("gate of wave {}: {}{}", release.wave + 1, of, reason));
    };
    // One that is bad among many would not show in the sum.
    for (const auto& [name, sum] : alone_)
        if (const Verdict one = judge(sum, against, plan.gate, false); one.how == Gated::bad)
            return gate(name + ": ", one.reason);
    const Verdict verdict = judge(changed_, against, plan.gate, over);
    if (verdict.how == Gated::bad) return gate("", verdict.reason);
    if (verdict.how == Gated::wait) return std::nullopt;
    const std::size_t upto = plan.upto(release.wave);
    for (std::size_t i = upto - plan.waves[release.wave]; i < upto; ++i) {
        const auto found = heard_.find(plan.members[i]);
        if (!excused(release, plan.members[i]) && (found == heard_.end() || now - found->second.at > kSilent))
            return gate(plan.members[i], " reports nothing");
    }
    const auto base = none_left ? std::optional<Sum>{} : std::optional(others_);
    const bool last = release.wave + 1 >= plan.waves.size();
    return step(last ? Stage::done : Stage::changing, last ? release.wave : release.wave + 1,
                fmt::format("the gate of wave {} is passed", release.wave + 1), base);
}

}  // namespace sumackeel::rollout
