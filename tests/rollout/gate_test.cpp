// Tests of the release gate: failures, insignificant differences, and undecided results.
#include "rollout/gate.h"

#include <gtest/gtest.h>

namespace sumackeel::rollout {
namespace {

MetricsSum sum(std::uint64_t requests, std::uint64_t failed, std::uint64_t rejected = 0,
               std::uint64_t late = 0) {
    return {.requests = requests,
            .in_time = requests - failed - rejected - late,
            .rejected = rejected,
            .failed = failed,
            .dispatch_time_us = requests * 50,
            .dispatched = requests,
            .memory_kb = 30'000,
            .members = 1};
}

}  // namespace

TEST(Gate, FailsOnlyOnDifferencesThatChanceDoesNotExplain) {
    const GateThresholds thresholds;
    struct Case {
        const char* about;
        MetricsSum changed, unchanged;
        bool soak_complete;
        GateOutcome outcome;
        const char* expected_in_reason;
    };
    const Case cases[] = {
        {"too early", sum(500, 0), sum(5'000, 0), false, GateOutcome::undecided, ""},
        {"good", sum(500, 0), sum(5'000, 0), true, GateOutcome::passed, ""},
        {"both as bad", sum(500, 50), sum(5'000, 500), true, GateOutcome::passed, ""},
        {"one of few", sum(40, 1), sum(5'000, 0), false, GateOutcome::undecided, ""},
        {"many of few", sum(40, 20), sum(5'000, 0), false, GateOutcome::failed, "failed"},
        {"rejected", sum(500, 0, 60), sum(5'000, 0, 10), false, GateOutcome::failed, "refused"},
        {"late", sum(500, 0, 0, 60), sum(5'000, 0, 0, 10), false, GateOutcome::failed, "late"},
        {"no data", sum(10, 0), sum(5'000, 0), true, GateOutcome::failed, "without data"},
        {"nobody else", sum(500, 0), sum(0, 0), true, GateOutcome::failed, "nobody to compare"},
    };
    for (const Case& test_case : cases) {
        const GateResult result =
            evaluate_gate(test_case.changed, test_case.unchanged, thresholds, test_case.soak_complete);
        EXPECT_EQ(result.outcome, test_case.outcome) << test_case.about << ": " << result.reason;
        EXPECT_NE(result.reason.find(test_case.expected_in_reason), std::string::npos)
            << test_case.about << ": " << result.reason;
    }
}

TEST(Gate, FailsOnMemoryBeforeTheSoakIsComplete) {
    MetricsSum heavy = sum(500, 0);
    heavy.memory_kb = 100'000;
    EXPECT_EQ(evaluate_gate(heavy, sum(5'000, 0), GateThresholds{}, false).outcome, GateOutcome::failed);
}

}  // namespace sumackeel::rollout
