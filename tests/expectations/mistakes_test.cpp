// Mistakes of the kind that are made before a term opens, each of which has to be flagged; and each rule of
// the language with a case that holds and one that breaks.
#include <gtest/gtest.h>

#include "expectations/counterexample_file.h"
#include "fleets.h"

namespace sumackeel::expectations {
namespace {

Suite suite_of(const std::string& text, const FleetModel& fleet) {
    return read_suite(config::read_toml(text, "e.toml"), "e.toml", fleet);
}

// What the operators of three schools of four boxes each, at three hubs, would write down.
std::string term_suite() {
    std::string text =
        "[traffic]\nper_s = 25\nseconds = 3\nmix = { video = 53, sheet = 42, enrol = 5 "
        "}\n[worlds]\nmost_pairs = 4\n";
    const auto add = [&](const std::string& name, const std::string& rule) {
        text += fmt::format("[[expect]]\nname = \"{}\"\nreason = \"r\"\n{}\n", name, rule);
    };
    for (int school = 1; school <= 3; ++school) {
        const std::string one = fmt::format("school-{}", school);
        const std::string here = fmt::format("school = [\"{}\"]\n", one),
                          up = fmt::format(
                              "while = [{{ school = \"{}\", all = \"up\" }}, {{ kind = \"parent\", all = "
                              "\"up\" }}, {{ kind = \"origin\", all = \"up\" }}]",
                              one);
        std::string boxes;
        for (int box = 1; box <= 4; ++box)
            boxes += fmt::format("{}\"s{}-{}\"", box > 1 ? ", " : "", school, box);
        add(one + " is served by its four boxes",
            here + "class = [\"video\", \"sheet\"]\nshare_at_least = { box = [" + boxes +
                "], share = 0.9 }\n" + up);
        for (int box = 1; box <= 4; ++box) {
            add(fmt::format("s{}-{} takes its part", school, box),
                here +
                    fmt::format("class = [\"video\", \"sheet\"]\nshare_at_least = {{ box = \"s{}-{}\", share "
                                "= 0.08 }}\n",
                                school, box) +
                    up);
            add(fmt::format("s{}-{} takes no more", school, box),
                here +
                    fmt::format("class = [\"video\", \"sheet\"]\nshare_at_most = {{ box = \"s{}-{}\", share "
                                "= 0.5 }}\n",
                                school, box) +
                    up);
        }
        add(one + " fills from no box",
            here + "class = [\"video\", \"sheet\"]\nnever_fills_from = { kind = \"cache\" }\n" + up);
        add(one + " is not refused", here + "class = [\"sheet\"]\nrefused_at_most = 0.12\n" + up);
        add(one + " sees its videos", here + "class = [\"video\"]\nrefused_at_most = 0.12\n" + up);
    }
    add("enrol once", "class = [\"enrol\"]\nnever_twice = true");
    add("enrol at the library",
        "class = [\"enrol\"]\nfills_from = { kind = \"origin\" }\n"
        "while = { kind = \"origin\", all = \"up\" }");
    add("drains", "no_new_work_after = 2");
    add("tries", "attempts_at_most = 8");
    add("help past dead boxes", "class = [\"sheet\"]\nshare_at_least = { kind = \"parent\", share = 0.001 }");
    return text;
}

struct Flagged {
    std::string by;  // the expectation, or the fault of the file; empty: none
    int world = -1;
    bool replays = true;
};

// World after world until something is seen to be wrong; `worlds` at most.
Flagged first_flag(const FleetModel& fleet, const std::string& text, std::size_t worlds = SIZE_MAX) {
    Suite suite;
    try {
        suite = suite_of(text, fleet);
    } catch (const config::ValidationErrors& all) {
        return {all.lines.front()};
    }
    std::vector<Counts> tallies(suite.expectations.size());
    const auto all = enumerate(fleet, suite);
    for (const Scenario& world : all) {
        if (static_cast<std::size_t>(world.number) >= worlds) break;
        const Outcome outcome = run_world(world, fleet, suite);
        for (std::size_t i = 0; i < tallies.size(); ++i) {
            tallies[i].add(outcome.tallies[i]);
            if (verdict_of(suite.expectations[i], tallies[i]).holds != Conclusion::broken) continue;
            Flagged flagged{suite.expectations[i].name, world.number, true};
            if (tallies[i].first) {
                const auto small = shrink(all[tallies[i].first->world], fleet, suite, i);
                const Case read = read_case(write_case(fleet, suite.expectations[i], *small), "case");
                Evaluator judge(read.fleet, read.suite.expectations, read.world);
                simulate(read.world, read.fleet, read.asks, judge);
                flagged.replays =
                    judge.tallies()[0].first && judge.tallies()[0].first->what == small->broken.what;
            }
            return flagged;
        }
    }
    // What never came up is no pass: status 2, as on the command line.
    if (worlds == SIZE_MAX)
        for (std::size_t i = 0; i < tallies.size(); ++i)
            if (verdict_of(suite.expectations[i], tallies[i]).holds == Conclusion::never_applied)
                return {suite.expectations[i].name + " never applied"};
    return {};
}

struct Mistake {
    const char* what;
    std::function<void(Sketch&)> make;
};

const std::vector<Mistake>& mistakes() {
    static const std::vector<Mistake> all{
        {"a box is listed under another school", [](Sketch& s) { s.at("s1-2").endpoint.zone = 4; }},
        {"two boxes are swapped between schools",
         [](Sketch& s) { std::swap(s.at("s1-1").endpoint.zone, s.at("s2-1").endpoint.zone); }},
        {"a box is missing", [](Sketch& s) { s.remove("s3-4"); }},
        {"a box is listed as a parent", [](Sketch& s) { s.at("s2-3").endpoint.kind = 1; }},
        {"a parent is listed as a box of a school",
         [](Sketch& s) { s.at("p-coast-1").endpoint.kind = 0, s.at("p-coast-1").endpoint.zone = 3; }},
        {"a box has ten times its weight", [](Sketch& s) { s.at("s1-1").endpoint.weight = 80; }},
        {"a box has no weight to speak of", [](Sketch& s) { s.at("s2-2").endpoint.weight = 0.2; }},
        {"a box was left draining",
         [](Sketch& s) { s.at("s3-1").endpoint.state = routing::EndpointState::draining; }},
        {"the library is missing", [](Sketch& s) { s.remove("library"); }},
        {"the library is listed as a parent", [](Sketch& s) { s.at("library").endpoint.kind = 1; }},
        {"the library was left draining",
         [](Sketch& s) { s.at("library").endpoint.state = routing::EndpointState::draining; }},
        {"all parents are missing", [](Sketch& s) { s.remove("p-"); }},
        {"a school is missing", [](Sketch& s) { s.remove("s2-"); }},
        {"a stray box stands in a school", [](Sketch& s) { s.add("stray", 3, 0, 30); }},
        {"a school's boxes are a box too few and one is doubled",
         [](Sketch& s) { s.remove("s1-3"), s.add("s1-2b", 3, 0, 16); }},
        {"the kinds of parents and library are mixed up",
         [](Sketch& s) { std::swap(s.parent_kind, s.origin_kind); }},
        {"enrol is said to be safe to repeat", [](Sketch& s) { s.enrol = "retryable"; }},
        {"enrol is said to be kept", [](Sketch& s) { s.uncached = "[false,false,false]"; }},
        {"sheets are said to be kept nowhere", [](Sketch& s) { s.uncached = "[false,true,true]"; }},
        {"videos are said to be kept nowhere", [](Sketch& s) { s.uncached = "[true,false,true]"; }},
        {"the pace is a hundred times too low", [](Sketch& s) { s.pace = 91; }},
        {"sheets are given up at once", [](Sketch& s) { s.sheet_give_up = 30'000; }},
        {"videos are given up at once", [](Sketch& s) { s.video_give_up = 50'000; }},
        {"requests may not go past the boxes", [](Sketch& s) { s.direct = false; }},
    };
    return all;
}

class Mistakes : public ::testing::TestWithParam<std::size_t> {};

}  // namespace

TEST(Mistakes, TheUnchangedConfigurationPasses) {
    const FleetModel fleet = Sketch().fleet();
    EXPECT_EQ(fleet.members.size(), 19u);
    const std::string text = term_suite();
    const Suite suite = suite_of(text, fleet);
    std::vector<Counts> tallies(suite.expectations.size());
    for (const Scenario& world : enumerate(fleet, suite)) {
        const Outcome outcome = run_world(world, fleet, suite);
        for (std::size_t i = 0; i < tallies.size(); ++i) tallies[i].add(outcome.tallies[i]);
    }
    for (std::size_t i = 0; i < tallies.size(); ++i) {
        const Evaluation verdict = verdict_of(suite.expectations[i], tallies[i]);
        EXPECT_EQ(verdict.holds, Conclusion::yes) << suite.expectations[i].name << ": " << verdict.text
                                                  << (tallies[i].first ? ", " + tallies[i].first->what : "");
    }
}

TEST_P(Mistakes, IsFlagged) {
    const Mistake& mistake = mistakes()[GetParam()];
    Sketch sketch;
    mistake.make(sketch);
    const Flagged flagged = first_flag(sketch.fleet(), term_suite());
    EXPECT_NE(flagged.by, "") << mistake.what;
    EXPECT_TRUE(flagged.replays) << mistake.what;
    RecordProperty("flagged_by", flagged.by);
    RecordProperty("world", flagged.world);
}
INSTANTIATE_TEST_SUITE_P(Each, Mistakes, ::testing::Range<std::size_t>(0, mistakes().size()));

// ---- each rule, with a case that holds and one that breaks ----

namespace {

struct RuleCase {
    const char* rule;
    const char* holds;
    const char* breaks;
};
const std::vector<RuleCase>& rule_cases() {
    static const std::vector<RuleCase> all{
        {"never_fills_from", "never_fills_from = { school = \"school-2\" }",
         "never_fills_from = { kind = \"parent\" }"},
        {"fills_from",
         "class = [\"enrol\"]\nfills_from = { kind = \"origin\" }\nwhile = { kind = \"origin\", all = \"up\" "
         "}",
         "class = [\"video\"]\nfills_from = { kind = \"origin\" }"},
        {"only_at", "only_at = { kind = [\"cache\", \"parent\"] }", "only_at = { box = \"s1-1\" }"},
        {"share_at_most", "share_at_most = { box = \"s1-1\", share = 0.9 }",
         "share_at_most = { kind = \"cache\", share = 0.1 }"},
        {"share_at_least", "share_at_least = { kind = \"cache\", share = 0.1 }",
         "share_at_least = { box = \"s1-1\", share = 0.9 }"},
        {"refused_at_most", "refused_at_most = 0.9",
         "refused_at_most = { share = 0.0001, confidence = 0.9 }"},
        {"fails_over_within", "fails_over_within = 60000", "fails_over_within = 1"},
        {"attempts_at_most", "attempts_at_most = 8", "attempts_at_most = 1"},
        {"never_twice", "never_twice = true", nullptr},
        {"kept_at_rank", nullptr, "kept_at_rank = 3"},
        {"no_new_work_after", "no_new_work_after = 0", nullptr},
    };
    return all;
}

}  // namespace

TEST(Rules, EachHasACaseThatHoldsAndOneThatBreaks) {
    const FleetModel fleet = Sketch({.schools = 2, .boxes = 2, .parents_per_hub = 1}).fleet();
    const std::string traffic = "[traffic]\nper_s = 20\nseconds = 3\n[worlds]\nmost_pairs = 0\nmost = 40\n";
    for (const RuleCase& one : rule_cases()) {
        for (const bool holds : {true, false}) {
            const char* rule = holds ? one.holds : one.breaks;
            if (!rule) continue;
            const std::string text = traffic + "[[expect]]\nname = \"n\"\nreason = \"r\"\n" + rule + "\n";
            const Suite suite = suite_of(text, fleet);
            EXPECT_EQ(std::string(name_of(suite.expectations[0].rule)), one.rule);
            Counts tally;
            for (const Scenario& world : enumerate(fleet, suite))
                tally.add(run_world(world, fleet, suite).tallies[0]);
            const Evaluation verdict = verdict_of(suite.expectations[0], tally);
            EXPECT_EQ(verdict.holds, holds ? Conclusion::yes : Conclusion::broken)
                << rule << ": " << verdict.text;
        }
    }
}

// The rules that this module never breaks are broken here by hand, or a checker that says 'holds' to all
// would pass.
TEST(Rules, WhatTheModuleNeverDoesIsSeenToo) {
    const FleetModel fleet = Sketch({.schools = 1, .boxes = 2, .parents_per_hub = 1}).fleet();
    const Suite suite = suite_of(
        "[[expect]]\nname = \"a\"\nreason = \"r\"\nnever_twice = true\n"
        "[[expect]]\nname = \"b\"\nreason = \"r\"\nno_new_work_after = 2\n"
        "[[expect]]\nname = \"c\"\nreason = \"r\"\nkept_at_rank = 1\n",
        fleet);
    Scenario world;
    world.zone = 3;
    Evaluator judge(fleet, suite.expectations, world);
    std::vector<NotifiedStateSince> told(fleet.members.size());
    SimulatedRequest enrol;
    enrol.class_index = 2;
    Decision decision;
    decision.target = fleet.find("s1-1");
    decision.source = fleet.find("library");
    decision.may_have_run = true;
    decision.attempt = 1;
    told[decision.source] = {NotifiedState::draining, 0};
    decision.at = 2'000'000;  // within the time
    judge.on_decision(enrol, decision, told);
    EXPECT_EQ(judge.tallies()[0].broken, 1u);
    EXPECT_EQ(judge.tallies()[1].broken, 0u);
    decision.at = 2'000'001;
    judge.on_decision(enrol, decision, told);
    EXPECT_EQ(judge.tallies()[1].broken, 1u);
    SimulatedRequest sheet;
    sheet.class_index = 1;
    decision.rank = 1;
    judge.on_decision(sheet, decision, told);
    EXPECT_EQ(judge.tallies()[2].broken, 0u);
    decision.rank = 2;
    judge.on_decision(sheet, decision, told);
    EXPECT_EQ(judge.tallies()[2].broken, 1u);
}

// ---- hard cases ----

TEST(HardCases, AnExpectationThatOnlyTwoFailuresTogetherBreak) {
    // One parent at each hub: a video still comes from some parent with any one of them gone.
    const FleetModel fleet = Sketch({.schools = 1, .boxes = 2, .parents_per_hub = 1}).fleet();
    const std::string rule =
        "[[expect]]\nname = \"n\"\nreason = \"r\"\nclass = [\"video\", \"sheet\"]\n"
        "only_at = { kind = \"cache\" }\nwhile = { school = \"school-1\", some = \"up\" }\n";
    const std::string traffic = "[traffic]\nper_s = 20\nseconds = 6\n";
    const Flagged single = first_flag(fleet, traffic + "[worlds]\nmost_pairs = 0\n" + rule, 30);
    const Suite pairs = suite_of(traffic + "[worlds]\nmost_pairs = 60\n" + rule, fleet);
    bool in_pairs = false;
    for (const Scenario& world : enumerate(fleet, pairs)) {
        if (in_pairs || world.title.find(" and ") == std::string::npos) continue;
        in_pairs = run_world(world, fleet, pairs).tallies[0].broken > 0;
    }
    EXPECT_TRUE(in_pairs);
    EXPECT_EQ(single.by, "") << "in world " << single.world;
}

TEST(HardCases, ACheckThatNeverReachesItsCaseIsNoPass) {
    const FleetModel fleet =
        Sketch({.schools = 1, .boxes = 1, .parents_per_hub = 1}).fleet();  // a school with one box
    const Suite suite = suite_of(
        "[traffic]\nper_s = 5\nseconds = 1\n[worlds]\nmost_pairs = 0\nmost = 1\n"
        "[[expect]]\nname = \"n\"\nreason = \"r\"\nattempts_at_most = 8\nwhile = { hub = \"coast\", all = "
        "\"gone\" }\n",
        fleet);
    Counts tally;
    for (const Scenario& world : enumerate(fleet, suite))
        tally.add(run_world(world, fleet, suite).tallies[0]);
    EXPECT_EQ(verdict_of(suite.expectations[0], tally).holds, Conclusion::never_applied);
}

// 300 boxes in 40 schools: worlds are bounded, and the first of them run.
TEST(HardCases, AFleetOf300BoxesIsEnumeratedWithinItsBound) {
    const FleetModel fleet = Sketch({.schools = 40, .boxes = 8, .parents_per_hub = 4}).fleet();
    EXPECT_EQ(fleet.members.size(), 333u);
    const Suite suite = suite_of(
        "[traffic]\nper_s = 10\nseconds = 1\n[worlds]\nmost = 5000\nmost_pairs = 10\n"
        "[[expect]]\nname = \"n\"\nreason = \"r\"\nno_new_work_after = 2\n",
        fleet);
    const auto worlds = enumerate(fleet, suite);
    EXPECT_EQ(worlds.size(), 5000u);
    for (std::size_t i = 0; i < worlds.size(); i += 500)
        EXPECT_EQ(run_world(worlds[i], fleet, suite).tallies[0].broken, 0u);
}

}  // namespace sumackeel::expectations
