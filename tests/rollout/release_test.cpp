// Tests of the release state machine: commands, steps and their order.
#include <gtest/gtest.h>

#include "release_fixtures.h"
#include "rollout/codec.h"

namespace sumackeel::rollout {
namespace {

class ReleaseTest : public testing::Test {
  protected:
    ReleaseTest() {
        start_.action = ReleaseAction::start;
        start_.requested_by = "n100";
        start_.plan = simulation_plan(8).plan;
        start_.live_members = start_.plan.members;
    }

    State state_;
    ReleaseCommand start_;
};

}  // namespace

TEST_F(ReleaseTest, StartsOnceAndOneAtATime) {
    ASSERT_EQ(state_.apply(start_).outcome, Outcome::granted);
    EXPECT_EQ(state_.apply(start_).outcome, Outcome::granted) << "asked again";
    ReleaseCommand other = start_;
    other.plan.name = "other";
    EXPECT_EQ(state_.apply(other).outcome, Outcome::rejected);
}

TEST_F(ReleaseTest, StepOfTwoLeadersCountsOnceAndAHaltedReleaseTakesNone) {
    ASSERT_EQ(state_.apply(start_).outcome, Outcome::granted);
    const ReleaseStep step{.release = 1,
                           .expected_steps = state_.releases().active()->steps,
                           .to = ReleaseStage::soaking,
                           .reason = {},
                           .baseline = {}};
    EXPECT_EQ(state_.apply(step).outcome, Outcome::granted);
    EXPECT_EQ(state_.apply(step).outcome, Outcome::none);
    const ReleaseCommand halt{
        .action = ReleaseAction::halt, .requested_by = "n101", .plan = {}, .live_members = {}};
    EXPECT_EQ(state_.apply(halt).outcome, Outcome::granted);
    ReleaseStep late = step;
    late.expected_steps = state_.releases().active()->steps;
    EXPECT_EQ(state_.apply(late).outcome, Outcome::none) << "a halted release takes no step";
    EXPECT_EQ(State::decode(state_.encode()), state_);
}

TEST_F(ReleaseTest, EncodedCommandStartsTheSamePlan) {
    rollout::apply(state_, encode(start_));
    ASSERT_NE(state_.releases().active(), nullptr);
    EXPECT_EQ(state_.releases().active()->plan, start_.plan);
}

}  // namespace sumackeel::rollout
