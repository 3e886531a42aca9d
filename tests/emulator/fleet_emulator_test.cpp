// What a hundred routers do together, each alone: totals at the origin and at cold boxes.
#include "emulator/fleet_emulator.h"

#include <gtest/gtest.h>

using namespace sumackeel::emulator;

namespace {

void each_answered_once(const FleetEmulator& fleet) {
    const Totals& t = fleet.totals;
    EXPECT_EQ(t.duplicate_answers, 0);
    EXPECT_LE(t.requested - t.served - t.rejected - t.failed, t.requested / 20);  // those still open
}

}  // namespace

// Guards: fills given up at a crowded origin were asked for again, by all routers, until it stopped for good.
TEST(Fleet, APurgeOfEverythingDoesNotPushAnOriginOver) {
    FleetEmulator fleet({});
    fleet.run_for(8 * kSecond);
    fleet.set_origin_fill_rate(150);
    fleet.totals = {};
    fleet.purge_all();
    fleet.run_for(8 * kSecond);
    each_answered_once(fleet);
    // The origin can do a seventh of what is asked; of what it fills hardly anything may come too late.
    EXPECT_GT(fleet.totals.in_time, 2'000) << "892 with no bound on what waits at the origin";
    EXPECT_GT(fleet.totals.in_time, fleet.totals.served * 9 / 10);
}

// Guards: each router keeps to its part of what a cold box may get, whatever the number of routers; the sum
// must not push it over right after a list told of it to all at once.
TEST(Fleet, AllRoutersTogetherKeepToTheColdBudget) {
    for (const int routers : {15, 100, 300}) {
        FleetOptions options;
        options.routers = routers;
        FleetEmulator fleet(options);
        fleet.run_for(4 * kSecond);
        std::vector<std::string> cold{"p0", "p1"};
        for (int zone = 0; zone < 9; ++zone) cold.push_back(FleetEmulator::cache_name(zone, 1));
        fleet.restart(cold);
        fleet.totals = {};
        const Micros window = fleet.settings().overload_window;
        fleet.run_for(window);
        for (const std::string& box : cold)
            EXPECT_LE(fleet.totals.max_work_within(box, window), fleet.overload_work(box, window))
                << box << ", " << routers << " routers";
    }
}

// Guards: parents that vanish without a word are known by each router alone, from what it sent there itself;
// and once they answer again, empty and cold and told by no list, all together must not push them over.
TEST(Fleet, ParentsLostWithoutAWordAreLeftAndNotPushedOverOnTheirReturn) {
    FleetOptions options;
    options.routers = 15;
    FleetEmulator fleet(options);
    const std::vector<std::string> lost{"p0", "p1"};
    fleet.run_for(10 * kSecond);
    const int before = fleet.totals.attempts_naming(lost, fleet.now() - kSecond, fleet.now());
    fleet.disconnect(lost);
    fleet.run_for(2 * kSecond);
    fleet.totals = {};
    const Micros from = fleet.now();
    fleet.run_for(4 * kSecond);
    EXPECT_LT(fleet.totals.attempts_naming(lost, from, fleet.now()) / 4, before / 5);
    EXPECT_EQ(fleet.totals.duplicate_answers, 0);
    fleet.reconnect(lost);
    fleet.totals = {};
    const Micros window = fleet.settings().overload_window;
    fleet.run_for(window);
    for (const std::string& box : lost)
        EXPECT_LE(fleet.totals.max_work_within(box, window), fleet.overload_work(box, window)) << box;
}
