// What a hundred routers do together, each alone: totals at the origin and at cold boxes.
#include "fleet.h"

#include <gtest/gtest.h>

using namespace fleet;

namespace {

void each_answered_once(const Fleet& fleet) {
    const Totals& t = fleet.totals;
    EXPECT_EQ(t.twice, 0);
    EXPECT_LE(t.asked - t.served - t.refused - t.failed, t.asked / 20);  // those still open
}

}  // namespace

// Guards: fills given up at a crowded origin were asked for again, by all routers, until it stopped for good.
TEST(Fleet, APurgeOfEverythingDoesNotPushAnOriginOver) {
    Fleet fleet({});
    const Micros start = fleet.now();
    fleet.run_until(start + 8 * kSecond);
    fleet.origin_does(150);
    fleet.totals = {};
    fleet.purge_all();
    fleet.run_until(start + 16 * kSecond);
    each_answered_once(fleet);
    // The origin can do a seventh of what is asked; of what it fills hardly anything may come too late.
    EXPECT_GT(fleet.totals.in_time, 2'000) << "892 with no bound on what waits at the origin";
    EXPECT_GT(fleet.totals.in_time, fleet.totals.served * 9 / 10);
}
