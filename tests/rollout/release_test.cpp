// Releases without a wire: how plans are read, the gate, what a halt and two leaders do, and what holds over
// whole releases played on the virtual clock.
#include <gtest/gtest.h>

#include <random>

#include "config/config.h"
#include "rollout/release_simulation.h"

namespace sumackeel::rollout {
namespace {

SimulationPlan rehearsal(std::size_t members, std::uint64_t seed = 1) {
    SimulationPlan given;
    given.seed = seed;
    given.budget = {.max_unavailable_in_zone = 2,
                    .max_zone_weight_share = 0.5,
                    .max_unavailable = 5,
                    .min_interval_in_zone = 0};
    for (std::size_t i = 0; i < members; ++i) {
        FleetMember seen;
        seen.name = "n" + std::to_string(100 + i), seen.zone = "school-" + std::to_string(i % 5);
        given.fleet.push_back(seen);
        given.plan.members.push_back(seen.name);
    }
    given.plan.name = "spring", given.plan.from = "1", given.plan.to = "2";
    given.plan.waves = {1, members / 4, members - 1 - members / 4};
    given.plan.soak = 10 * base::kSecond;
    return given;
}

MetricsSum sum(std::uint64_t requests, std::uint64_t failed, std::uint64_t refused = 0,
               std::uint64_t late = 0) {
    return {.requests = requests,
            .in_time = requests - failed - refused - late,
            .rejected = refused,
            .failed = failed,
            .dispatch_time_us = requests * 50,
            .dispatched = requests,
            .memory_kb = 30'000,
            .members = 1};
}

}  // namespace

TEST(Release, PlansAreReadAndFaultsNamed) {
    const std::vector<std::string> all{"a", "b", "c", "d", "e", "f", "g", "h"};
    const std::string head = "name = \"spring\"\nfrom = \"1\"\nto = \"2\"\n";
    const Plan plan = parse_plan(head + "waves = [1, 2, \"25%\"]\nsoak_s = 5\n", "p", all);
    EXPECT_EQ(plan.members, all);
    EXPECT_EQ(plan.waves, (std::vector<std::size_t>{1, 2, 2, 3}));
    EXPECT_EQ(plan.soak, 5 * base::kSecond);
    const std::pair<const char*, const char*> wrong[] = {
        {"waves = [0]\n", "p:4:9: waves"},       {"waves = [\"x%\"]\n", "waves"},
        {"members = [\"a\", \"a\"]\n", "twice"}, {"soak_s = -1\n", "soak_s"},
        {"gates = 3\n", "no such key"},          {"what = \"cat\"\n", "what"}};
    for (const auto& [line, says] : wrong) {
        try {
            parse_plan(head + line, "p", all);
            ADD_FAILURE() << line;
        } catch (const config::ConfigError& fault) {
            EXPECT_NE(std::string(fault.what()).find(says), std::string::npos) << fault.what();
        }
    }
}

TEST(Release, GateSaysBadOnlyWhatChanceDoesNotExplain) {
    const GateThresholds gate;
    struct Case {
        const char* about;
        MetricsSum changed, others;
        bool over;
        GateVerdict how;
        const char* says;
    };
    const Case cases[] = {
        {"too early", sum(500, 0), sum(5'000, 0), false, GateVerdict::wait, ""},
        {"good", sum(500, 0), sum(5'000, 0), true, GateVerdict::pass, ""},
        {"both as bad", sum(500, 50), sum(5'000, 500), true, GateVerdict::pass, ""},
        {"one of few", sum(40, 1), sum(5'000, 0), false, GateVerdict::wait, ""},
        {"many of few", sum(40, 20), sum(5'000, 0), false, GateVerdict::fail, "failed"},
        {"refused", sum(500, 0, 60), sum(5'000, 0, 10), false, GateVerdict::fail, "refused"},
        {"late", sum(500, 0, 0, 60), sum(5'000, 0, 0, 10), false, GateVerdict::fail, "late"},
        {"no data", sum(10, 0), sum(5'000, 0), true, GateVerdict::fail, "without data"},
        {"nobody else", sum(500, 0), sum(0, 0), true, GateVerdict::fail, "nobody to compare"},
    };
    for (const Case& one : cases) {
        const GateResult verdict = evaluate_gate(one.changed, one.others, gate, one.over);
        EXPECT_EQ(verdict.verdict, one.how) << one.about << ": " << verdict.reason;
        EXPECT_NE(verdict.reason.find(one.says), std::string::npos) << one.about << ": " << verdict.reason;
    }
    MetricsSum heavy = sum(500, 0);
    heavy.memory_kb = 100'000;
    EXPECT_EQ(evaluate_gate(heavy, sum(5'000, 0), gate, false).verdict, GateVerdict::fail);
}

TEST(Release, StepsOfTwoLeadersCountOnce) {
    SimulationPlan given = rehearsal(8);
    State state;
    ReleaseCommand order{.action = ReleaseAction::start,
                         .requested_by = "n100",
                         .plan = given.plan,
                         .live_members = given.plan.members};
    ASSERT_EQ(state.apply(order).outcome, Outcome::granted);
    EXPECT_EQ(state.apply(order).outcome, Outcome::granted) << "asked again";
    ReleaseCommand other = order;
    other.plan.name = "other";
    EXPECT_EQ(state.apply(other).outcome, Outcome::rejected);
    const Release* release = state.releases().active();
    const ReleaseStep step{.release = 1,
                           .expected_steps = release->steps,
                           .to = ReleaseStage::soaking,
                           .reason = {},
                           .baseline = {}};
    EXPECT_EQ(state.apply(step).outcome, Outcome::granted);
    EXPECT_EQ(state.apply(step).outcome, Outcome::none);
    ReleaseCommand halt{
        .action = ReleaseAction::halt, .requested_by = "n101", .plan = {}, .live_members = {}};
    EXPECT_EQ(state.apply(halt).outcome, Outcome::granted);
    ReleaseStep late = step;
    late.expected_steps = state.releases().active()->steps;
    EXPECT_EQ(state.apply(late).outcome, Outcome::none) << "a halted release takes no step";
    EXPECT_EQ(State::decode(state.encode()), state);
    State again;
    rollout::apply(again, encode(order));
    EXPECT_EQ(again.releases().active()->plan, given.plan);
}

// Whole releases by chance: who fails, who dies and when.
TEST(Release, EndsDoneOrHaltedAndNeverTooManyOut) {
    int done = 0, halted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 chance(seed);
        SimulationPlan given = rehearsal(12 + chance() % 30, seed);
        given.change = static_cast<Micros>(5 + chance() % 40) * base::kSecond;
        const bool fails = chance() % 3 == 0, dies = chance() % 3 == 0;
        const std::string one = given.plan.members[chance() % given.plan.members.size()];
        if (fails) given.fails[one] = 0.3;
        if (dies) given.dies[one] = static_cast<Micros>(chance() % 600) * base::kSecond;
        const SimulationResult end = simulate_release(given);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + end.reason);
        ASSERT_TRUE(end.stage == ReleaseStage::done || end.stage == ReleaseStage::halted);
        if (!fails && !dies) {
            EXPECT_EQ(end.stage, ReleaseStage::done);
            EXPECT_EQ(end.changed, given.plan.members.size());
        }
        if (fails && !dies) {
            EXPECT_EQ(end.stage, ReleaseStage::halted);
        }
        EXPECT_LE(end.most_out, 5U + (dies ? 1 : 0));
        ++(end.stage == ReleaseStage::done ? done : halted);
    }
    EXPECT_GT(done, 50);
    EXPECT_GT(halted, 50);
}

TEST(Release, HaltsBeforeThreeInAHundredRequestsMetABadVersion) {
    SimulationPlan given = rehearsal(40);
    given.plan.soak = 300 * base::kSecond;
    for (const std::string& member : given.plan.members) given.fails[member] = 0.1;
    const SimulationResult end = simulate_release(given);
    EXPECT_EQ(end.stage, ReleaseStage::halted);
    EXPECT_LT(end.met, 0.03);
    EXPECT_EQ(end.changed, 1U);
}

}  // namespace sumackeel::rollout
