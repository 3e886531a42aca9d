// The state that the agreed log drives: each rule, what it keeps over random histories, all short ones, and
// its form.
#include "rollout/rollout.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <set>

namespace sumackeel::rollout {
namespace {

// Two schools of four and three, their hub with two parents.
std::vector<FleetMember> world(const std::set<std::string>& out = {}) {
    std::vector<FleetMember> all;
    const auto add = [&](const char* name, const char* school, const char* hub, double weight) {
        all.push_back({.name = name,
                       .zone = school,
                       .parent_region = hub,
                       .weight = weight,
                       .unavailable = out.contains(name),
                       .unavailable_reason = out.contains(name) ? "dead" : ""});
    };
    for (const char* name : {"a1", "a2", "a3", "a4"}) add(name, "a", "coast", 8);
    for (const char* name : {"b1", "b2", "b3"}) add(name, "b", "valley", 8);
    for (const char* name : {"p1", "p2"}) add(name, "coast", "", 20);
    return all;
}

LeaseRequest ask(const std::string& member, DisruptionBudget rules = {},
                 const std::set<std::string>& out = {}, bool forced = false, Micros now = 0) {
    return {.kind = MemberKind::pop_cache,
            .member = member,
            .requested_by = "n0",
            .forced = forced,
            .now = now,
            .budget = rules,
            .fleet = world(out)};
}
LeaseReturn back(const std::string& member, Micros now = 0) {
    return {MemberKind::pop_cache, member, "n0", now};
}

constexpr DisruptionBudget kTwo{.max_unavailable_in_zone = 2,
                                .max_zone_weight_share = 1,
                                .max_unavailable = 3,
                                .min_interval_in_zone = 0};

struct Case {
    const char* about;
    std::vector<std::string> out_by_lease;
    std::set<std::string> out_by_itself;
    const char* member;
    DisruptionBudget rules;
    const char* refused;  // part of the reason; empty: granted
};

}  // namespace

TEST(Rollout, EachRuleBindsAndSaysWhich) {
    const Case cases[] = {
        {"the first", {}, {}, "a1", {}, ""},
        {"one at once", {"a1"}, {}, "a2", {}, "1 of a may be out"},
        {"another school", {"a1"}, {}, "b1", {}, ""},
        {"one is out by itself", {}, {"a3"}, "a2", {}, "1 of a may be out"},
        {"it is out itself: a lease adds none", {}, {"a3"}, "a3", {}, ""},
        {"two may", {"a1"}, {}, "a2", kTwo, ""},
        {"the last of a school",
         {"b1"},
         {"b2"},
         "b3",
         {.max_unavailable_in_zone = 9,
          .max_zone_weight_share = 1,
          .max_unavailable = 9,
          .min_interval_in_zone = 0},
         "the last of b"},
        {"by weight",
         {"a1"},
         {},
         "a2",
         {.max_unavailable_in_zone = 3,
          .max_zone_weight_share = 0.4,
          .max_unavailable = 9,
          .min_interval_in_zone = 0},
         "by weight"},
        {"of all", {"a1", "a2"}, {"b1"}, "b2", kTwo, "3 of all may be out"},
        {"a hub while a school leans on it", {"a1"}, {}, "p1", {}, "lean"},
        {"a school whose hub is out", {"p1"}, {}, "a1", {}, "lean"},
        {"another hub", {"p1"}, {}, "b1", {}, ""},
        {"nobody known", {}, {}, "x9", {}, "no pop cache x9"},
    };
    for (const Case& one : cases) {
        State state;
        for (const std::string& member : one.out_by_lease)
            ASSERT_EQ(state.apply(ask(member, kTwo)).outcome, Outcome::granted) << one.about;
        const CommandResult answer = state.apply(ask(one.member, one.rules, one.out_by_itself));
        EXPECT_EQ(answer.outcome, *one.refused ? Outcome::rejected : Outcome::granted)
            << one.about << ": " << answer.reason;
        EXPECT_NE(answer.reason.find(one.refused), std::string::npos) << one.about << ": " << answer.reason;
    }
}

TEST(Rollout, AskedAgainItIsTheSameLeaseAndNumbersOnlyGrow) {
    State state;
    EXPECT_EQ(state.apply(ask("a1")).number, 1U);
    EXPECT_EQ(state.apply(ask("a1")).number, 1U);
    EXPECT_EQ(state.apply(back("a1")).outcome, Outcome::returned);
    EXPECT_EQ(state.apply(back("a1")).outcome, Outcome::none);
    EXPECT_EQ(state.apply(ask("a1")).number, 2U);
}

TEST(Rollout, TimeFromOnesReturnToTheNextOnesLeave) {
    const DisruptionBudget slow{.max_unavailable_in_zone = 1,
                                .max_zone_weight_share = 1,
                                .max_unavailable = 9,
                                .min_interval_in_zone = 10 * base::kSecond};
    State state;
    state.apply(ask("a1", slow));
    state.apply(back("a1", 100 * base::kSecond));
    EXPECT_EQ(state.apply(ask("a2", slow, {}, false, 105 * base::kSecond)).outcome, Outcome::rejected);
    EXPECT_EQ(state.apply(ask("b1", slow, {}, false, 105 * base::kSecond)).outcome, Outcome::granted);
    EXPECT_EQ(state.apply(ask("a2", slow, {}, false, 110 * base::kSecond)).outcome, Outcome::granted);
}

TEST(Rollout, ForceIsGrantedCountsAndIsOnRecord) {
    State state;
    state.apply(ask("a1"));
    EXPECT_EQ(state.apply(ask("a2", {}, {}, true)).outcome, Outcome::granted);
    ASSERT_EQ(state.forced().size(), 1U);
    EXPECT_EQ(state.forced()[0].member, "a2");
    EXPECT_EQ(state.apply(ask("a3", kTwo)).outcome, Outcome::rejected);
}

TEST(Rollout, ALeaseOfOneThatTheListNoLongerNamesIsStillOut) {
    State state;
    state.apply(ask("a1"));
    LeaseRequest next = ask("a2");
    std::erase_if(next.fleet, [](const FleetMember& seen) { return seen.name == "a1"; });
    EXPECT_EQ(state.apply(next).outcome, Outcome::rejected);
}

TEST(RolloutProperties, OverRandomHistoriesNoMoreAreOutThanTheRulesSayAndAllCopiesAgree) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 chance(seed);
        State state, copy;
        std::set<std::string> dead;
        const std::vector<FleetMember> all = world();
        DisruptionBudget rules = kTwo;
        for (int step = 0; step < 120; ++step) {
            const std::string member = all[chance() % all.size()].name;
            std::string command;
            std::size_t before = 0;
            switch (chance() % 5) {
                case 0:
                    if (!dead.insert(member).second) dead.erase(member);
                    continue;
                case 1:
                    rules.max_unavailable_in_zone = 1 + static_cast<int>(chance() % 3);
                    continue;
                case 2:
                    command = encode(back(member, step));
                    break;
                default:
                    command = encode(ask(member, rules, dead, false, step));
            }
            before = state.leases().size();
            rollout::apply(state, command);
            rollout::apply(copy, command);
            if (step % 40 == 0) copy = State::decode(copy.encode());  // as by a snapshot
            ASSERT_EQ(state, copy) << "seed " << seed;
            if (state.leases().size() <= before) continue;
            // Only now, by this grant: what is out by itself may be more than any rule.
            std::set<std::string> out = dead;
            for (const auto& [key, lease] : state.leases()) out.insert(key.second);
            std::map<std::string, int> of, out_of;
            for (const FleetMember& seen : all) ++of[seen.zone], out_of[seen.zone] += out.contains(seen.name);
            const std::string school = state.find(MemberKind::pop_cache, member)->zone;
            if (dead.contains(member)) continue;
            ASSERT_LE(out_of[school], rules.max_unavailable_in_zone) << "seed " << seed;
            ASSERT_LT(out_of[school], of[school]) << "seed " << seed;
            ASSERT_LE(static_cast<int>(out.size()), rules.max_unavailable) << "seed " << seed;
        }
    }
}

// All orders of two calls, two returns and one crash among the four of a school: at no point two are out by
// grants.
TEST(RolloutProperties, EachOrderOfTwoCallsTwoReturnsAndACrashKeepsTheRule) {
    int orders = 0;
    const std::function<void(State, std::set<std::string>, int)> go =
        [&](State state, std::set<std::string> dead, int left) {
            std::set<std::string> by_lease;
            for (const auto& [key, lease] : state.leases()) by_lease.insert(key.second);
            ASSERT_LE(by_lease.size(), 1U);
            ++orders;
            if (left == 0) return;
            for (const char* member : {"a1", "a2", "a3", "a4"}) {
                State asked = state;
                const bool was_out = dead.contains(member);
                const CommandResult answer = asked.apply(ask(member, {}, dead));
                if (!was_out && answer.outcome == Outcome::granted &&
                    !state.find(MemberKind::pop_cache, member)) {
                    ASSERT_TRUE(dead.empty() && state.leases().empty());
                    go(asked, dead, left - 1);
                }
                if (state.find(MemberKind::pop_cache, member)) {
                    State returned = state;
                    returned.apply(back(member));
                    go(returned, dead, left - 1);
                }
                if (dead.empty()) go(state, {member}, left - 1);
            }
        };
    go({}, {}, 5);
    EXPECT_EQ(orders, 349);  // all there are: a rule that let more through would show
}

TEST(RolloutForm, CutAndFlippedBytesAreRefusedOrAreAnotherState) {
    State state;
    state.apply(ask("a1"));
    state.apply(ask("b1", {}, {}, true));
    const std::string sound = state.encode();
    EXPECT_EQ(State::decode(sound), state);
    for (std::size_t at = 0; at < sound.size(); ++at) {
        EXPECT_THROW(State::decode(sound.substr(0, at)), std::runtime_error) << at;
        std::string flipped = sound;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x40);
        try {
            State::decode(flipped);  // the log's own checksum finds it; here nothing may break
        } catch (const std::runtime_error&) {
        }
    }
    const CommandResult answer{Outcome::rejected, 7, "a reason", {"a1", "a2"}};
    EXPECT_EQ(decode_result(encode(answer)).blocked_by, answer.blocked_by);
}

}  // namespace sumackeel::rollout
