// The clock that all deadlines hang on.
#include "base/clock.h"

#include <gtest/gtest.h>

namespace sumackeel::base {
namespace {

Clock::Reading machine;
Clock::Reading read_machine() {
    return machine;
}

// Guards: a machine whose clock is set back an hour must not stop answering for an hour.
TEST(Clock, RunsOnWhenTheSystemsClockIsSetBack) {
    machine = {1'000'000 * kSecond, 5 * kSecond};
    Clock clock(read_machine);
    const Micros start = clock.now();
    machine = {machine.wall - 3600 * kSecond, 6 * kSecond};
    EXPECT_EQ(clock.now(), start + kSecond);
    machine.wall += kSecond, machine.steady += kSecond;
    EXPECT_EQ(clock.now(), start + 2 * kSecond);
    EXPECT_LT(clock.wall(), start);
}

TEST(Clock, FollowsTheSystemAndItsStepsAhead) {
    machine = {1'000'000 * kSecond, 5 * kSecond};
    Clock clock(read_machine);
    const Micros start = clock.now();
    machine = {machine.wall + 60 * kSecond, 6 * kSecond};
    EXPECT_EQ(clock.now(), start + 60 * kSecond);
    machine.steady += kSecond, machine.wall += kSecond - 20'000;  // slewed a little: no step
    EXPECT_EQ(clock.now(), start + 61 * kSecond - 20'000);
    machine.wall -= 10;
    EXPECT_EQ(clock.now(), start + 61 * kSecond - 20'000);
}

}  // namespace
}  // namespace sumackeel::base
