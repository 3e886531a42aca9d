// Tests of the drain stages and deadlines with times passed in.
#include "admin/drain_schedule.h"

#include <gtest/gtest.h>

namespace {

using sumackeel::admin::DrainSchedule;
using sumackeel::admin::DrainStage;
using sumackeel::admin::Micros;

constexpr Micros kBegan = 1'000'000'000, kSecond = 1'000'000;
constexpr Micros kDrainDuration = 4 * kSecond;  // documented to operators

TEST(DrainSchedule, StagesFollowOneAnother) {
    const DrainSchedule drain(kBegan);
    const struct {
        Micros since;
        DrainStage stage;
    } cases[] = {{0, DrainStage::serving},
                 {DrainSchedule::kRejectAfter - 1, DrainStage::serving},
                 {DrainSchedule::kRejectAfter, DrainStage::rejecting},
                 {DrainSchedule::kResponseDeadline, DrainStage::closing},
                 {DrainSchedule::kForceAfter, DrainStage::forcing},
                 {100 * kSecond, DrainStage::forcing}};
    for (const auto& test_case : cases)
        EXPECT_EQ(drain.stage(kBegan + test_case.since), test_case.stage) << test_case.since;
    EXPECT_EQ(DrainSchedule().stage(kBegan), DrainStage::none);
    EXPECT_FALSE(DrainSchedule().rejects_new_requests(kBegan));
}

TEST(DrainSchedule, WhatCameInTheFirstTwoSecondsIsServedAndNothingIsHeldAtFour) {
    EXPECT_GE(DrainSchedule::kRejectAfter, 2 * kSecond);
    EXPECT_LT(DrainSchedule::kForceAfter + DrainSchedule::kLateIdleTimeout, kDrainDuration);
    EXPECT_EQ(DrainSchedule(kBegan).ends_at(), kBegan + kDrainDuration);
    EXPECT_FALSE(DrainSchedule().ends_at());
}

TEST(DrainSchedule, OpenBesideARefusedOneIsAnsweredInTimeAndAtOnceWhereThatHasPassed) {
    const DrainSchedule drain(kBegan);
    EXPECT_EQ(drain.response_deadline(kBegan + 2 * kSecond), kBegan + DrainSchedule::kResponseDeadline);
    EXPECT_EQ(drain.response_deadline(kBegan + 5 * kSecond), kBegan + 5 * kSecond);
}

TEST(DrainSchedule, ARefusalIsHeldForAPartOfItsTimeNeverBeyondTheAnswers) {
    const DrainSchedule drain(kBegan);
    const Micros now = kBegan + DrainSchedule::kRejectAfter;
    EXPECT_EQ(drain.rejection_deadline(now, 400'000), now + 100'000);
    EXPECT_EQ(drain.rejection_deadline(now, 60 * kSecond), now + DrainSchedule::kMaxRejectionDelay);
    EXPECT_EQ(drain.rejection_deadline(kBegan + DrainSchedule::kResponseDeadline, 60 * kSecond),
              kBegan + DrainSchedule::kResponseDeadline);
    EXPECT_EQ(drain.rejection_deadline(kBegan + 9 * kSecond, 60 * kSecond), kBegan + 9 * kSecond);
}

TEST(DrainSchedule, PatienceOnlyShrinks) {
    const DrainSchedule drain(kBegan);
    EXPECT_EQ(DrainSchedule().timeout(15 * kSecond, kBegan), 15 * kSecond);
    EXPECT_EQ(drain.timeout(15 * kSecond, kBegan), DrainSchedule::kIdleTimeout);
    EXPECT_EQ(drain.timeout(1 * kSecond, kBegan), 1 * kSecond);
    EXPECT_EQ(drain.timeout(1 * kSecond, kBegan + DrainSchedule::kResponseDeadline),
              DrainSchedule::kLateIdleTimeout);
}

}  // namespace
