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
    int most = 0;
    for (auto second = fleet.totals.origin_asked.begin(); second != fleet.totals.origin_asked.end(); ++second) {
        const auto third = std::next(second, 2) == fleet.totals.origin_asked.end() ? second : std::next(second, 2);
        if (third->first == second->first + 2) most = std::max(most, second->second + std::next(second)->second + third->second);
    }
    RecordProperty("origin_asked_in_3_s", most);
    printf("asked %d served %d in time %d refused %d failed %d queue %.0f most in 3 s %d\n", fleet.totals.asked,
           fleet.totals.served, fleet.totals.in_time, fleet.totals.refused, fleet.totals.failed,
           fleet.totals.origin_longest_queue, most);
    EXPECT_LT(most, 2.5 * 150 * 3);
}
