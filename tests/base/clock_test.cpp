// The clock that all deadlines hang on.
#include "base/clock.h"

#include <gtest/gtest.h>

namespace sumackeel::base {
namespace {

Clock::Reading machine;
Clock::Reading read_machine() {
    return machine;
}

struct ClockTest : testing::Test {
    ClockTest() { machine = {{1'000'000 * kSecond}, 5 * kSecond}; }
    static void pass(Micros span) { machine.wall = machine.wall + span, machine.steady += span; }
};

// Guards: a wall clock that is stepped must neither end what is open nor hold it up, by seconds or by an
// hour.
TEST_F(ClockTest, RunsOnWhateverTheWallClockDoes) {
    for (const Micros step : {5 * kSecond, 3600 * kSecond, -5 * kSecond, -3600 * kSecond}) {
        Clock clock(read_machine);
        const Micros start = clock.now();
        pass(kSecond);
        machine.wall = machine.wall + step;
        EXPECT_EQ(clock.now(), start + kSecond);
        pass(kSecond);
        EXPECT_EQ(clock.now(), start + 2 * kSecond);
        EXPECT_EQ(clock.unix_now().micros, start + 2 * kSecond + step);
    }
}

TEST_F(ClockTest, ReadsUnixTimesAsTheyAreWithoutAStep) {
    Clock clock(read_machine);
    const Micros start = clock.now();
    pass(10 * kSecond);
    machine.wall = machine.wall - 20'000;  // slewed a little
    EXPECT_EQ(clock.from_unix({start + 3 * kSecond}), start + 3 * kSecond);
    EXPECT_EQ(clock.from_unix({start + 60 * kSecond}), clock.now());
}

// Guards: a purge or a start told behind a step must not seem an hour old, whichever of the two times is
// right.
TEST_F(ClockTest, TakesTheLaterMomentBehindAStep) {
    for (const Micros step : {5 * kSecond, 3600 * kSecond, -5 * kSecond, -3600 * kSecond}) {
        Clock clock(read_machine);
        const Micros start = clock.now();
        pass(20 * kSecond);
        machine.wall = machine.wall + step;
        const Micros told = start + 18 * kSecond;
        EXPECT_GE(clock.from_unix({told}), told);
        EXPECT_LE(clock.from_unix({told}), clock.now());
        EXPECT_GE(clock.from_unix({told + step}), told);
        EXPECT_LE(clock.from_unix({told + step}), clock.now());
    }
}

TEST_F(ClockTest, CountsHowLongTheProcessStoodStill) {
    Clock clock(read_machine);
    clock.expect_wakeup(clock.now() + 20'000);
    pass(20'000);
    clock.now();
    EXPECT_EQ(clock.total_stall_time(), 0);
    pass(2 * kSecond);
    clock.now();
    EXPECT_EQ(clock.total_stall_time(), 2 * kSecond);
    clock.now();
    EXPECT_EQ(clock.total_stall_time(), 2 * kSecond);
    clock.expect_wakeup(std::nullopt);  // waits for events alone: silence is no stall
    pass(10 * kSecond);
    clock.now();
    EXPECT_EQ(clock.total_stall_time(), 2 * kSecond);
}

}  // namespace
}  // namespace sumackeel::base
