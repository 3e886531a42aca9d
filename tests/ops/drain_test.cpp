// The stages of a drain, on times handed in.
#include "ops/drain.h"

#include <gtest/gtest.h>

namespace {

using sumackeel::ops::Drain;
using sumackeel::ops::DrainStage;
using sumackeel::ops::Micros;

constexpr Micros kBegan = 1'000'000'000, kSecond = 1'000'000;
constexpr Micros kNoneHeld = 4 * kSecond;  // the operators' page

TEST(Drain, StagesFollowOneAnother) {
    const Drain drain(kBegan);
    const struct {
        Micros since;
        DrainStage stage;
    } rows[] = {{0, DrainStage::serving},
                {Drain::kServing - 1, DrainStage::serving},
                {Drain::kServing, DrainStage::refusing},
                {Drain::kAnswered, DrainStage::closing},
                {Drain::kForced, DrainStage::forcing},
                {100 * kSecond, DrainStage::forcing}};
    for (const auto& row : rows) EXPECT_EQ(drain.stage(kBegan + row.since), row.stage) << row.since;
    EXPECT_EQ(Drain().stage(kBegan), DrainStage::none);
    EXPECT_FALSE(Drain().refuses(kBegan));
}

TEST(Drain, WhatCameInTheFirstTwoSecondsIsServedAndNothingIsHeldAtFour) {
    EXPECT_GE(Drain::kServing, 2 * kSecond);
    EXPECT_LT(Drain::kForced + Drain::kLateSilence, kNoneHeld);
}

TEST(Drain, OpenBesideARefusedOneIsAnsweredInTimeAndAtOnceWhereThatHasPassed) {
    const Drain drain(kBegan);
    EXPECT_EQ(drain.answer_by(kBegan + 2 * kSecond), kBegan + Drain::kAnswered);
    EXPECT_EQ(drain.answer_by(kBegan + 5 * kSecond), kBegan + 5 * kSecond);
}

TEST(Drain, ARefusalIsHeldForAPartOfItsTimeNeverBeyondTheAnswers) {
    const Drain drain(kBegan);
    const Micros now = kBegan + Drain::kServing;
    EXPECT_EQ(drain.refuse_by(now, 400'000), now + 100'000);
    EXPECT_EQ(drain.refuse_by(now, 60 * kSecond), now + Drain::kHoldMost);
    EXPECT_EQ(drain.refuse_by(kBegan + Drain::kAnswered, 60 * kSecond), kBegan + Drain::kAnswered);
    EXPECT_EQ(drain.refuse_by(kBegan + 9 * kSecond, 60 * kSecond), kBegan + 9 * kSecond);
}

TEST(Drain, PatienceOnlyShrinks) {
    const Drain drain(kBegan);
    EXPECT_EQ(Drain().patience(15 * kSecond, kBegan), 15 * kSecond);
    EXPECT_EQ(drain.patience(15 * kSecond, kBegan), Drain::kSilence);
    EXPECT_EQ(drain.patience(1 * kSecond, kBegan), 1 * kSecond);
    EXPECT_EQ(drain.patience(1 * kSecond, kBegan + Drain::kAnswered), Drain::kLateSilence);
}

}  // namespace
