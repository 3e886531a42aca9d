// Plays a purge of everything before a slow origin, a cold return, and two of four parents lost without a
// word for 6 s, with fleets of several sizes on a virtual clock. First table, one line a size: what was
// served of what was asked, the most that waited at the origin, and the share of what breaks a cold box or
// parent that reached the one worst off. Second: attempts that named the lost parents in each second from
// their loss on, what was in time of what was asked meanwhile, and the seconds from their return until they
// get nine tenths of what they got before (-1: not within 30 s). Build with -DSUMACKEEL_BENCH=ON.
#include <algorithm>
#include <cstdio>

#include "emulator/fleet_emulator.h"

using namespace sumackeel::emulator;

namespace {

void lose_parents(int routers) {
    FleetOptions options;
    options.routers = routers;
    FleetEmulator fleet(options);
    fleet.run_for(10 * kSecond);
    const std::vector<std::string> lost{"p0", "p1"};
    fleet.totals = {};
    fleet.run_for(2 * kSecond);
    const double before = fleet.totals.attempts_naming(lost, 0, fleet.now()) / 2.0;
    const Micros loss = fleet.now();
    fleet.totals = {};
    fleet.disconnect(lost);
    fleet.run_for(6 * kSecond);
    std::printf("%8d %8.0f |", routers, before);
    for (int s = 0; s < 6; ++s)
        std::printf(" %5d", fleet.totals.attempts_naming(lost, loss + s * kSecond, loss + (s + 1) * kSecond));
    std::printf(" | %5.1f%% |", 100.0 * fleet.totals.in_time / std::max(1, fleet.totals.requested));
    fleet.reconnect(lost);
    fleet.totals = {};
    const Micros window = fleet.settings().overload_window, returned = fleet.now();
    int back = -1;
    double most = 0;
    for (int s = 0; s < 30 && back < 0; ++s) {
        const Micros from = fleet.now();
        fleet.run_for(kSecond);
        if (fleet.now() - returned <= 2 * window)  // what the first windows could bear least
            for (const std::string& box : lost)
                most = std::max(most,
                                fleet.totals.max_work_within(box, window) / fleet.overload_work(box, window));
        if (fleet.totals.attempts_naming(lost, from, fleet.now()) >= 0.9 * before) back = s + 1;
    }
    std::printf(" %5d %9.2f\n", back, most);
}

}  // namespace

int main() {
    std::printf("%8s %8s %8s %8s %10s %10s\n", "routers", "asked", "served", "in time", "at origin",
                "cold most");
    for (const int routers : {4, 15, 100, 300, 1'000}) {
        FleetOptions options;
        options.routers = routers;
        FleetEmulator purged(options);
        purged.run_for(8 * kSecond);
        purged.set_origin_fill_rate(150);
        purged.totals = {};
        purged.purge_all();
        purged.run_for(8 * kSecond);

        FleetEmulator cold(options);
        cold.run_for(4 * kSecond);
        std::vector<std::string> boxes{"p0", "p1"};
        for (int zone = 0; zone < 9; ++zone) boxes.push_back(FleetEmulator::cache_name(zone, 1));
        cold.restart(boxes);
        cold.totals = {};
        const Micros window = cold.settings().overload_window;
        cold.run_for(window);
        double most = 0;
        for (const std::string& box : boxes)
            most = std::max(most, cold.totals.max_work_within(box, window) / cold.overload_work(box, window));
        const Totals& t = purged.totals;
        std::printf("%8d %8d %8d %8d %10.0f %10.2f\n", routers, t.requested, t.served, t.in_time,
                    t.max_origin_queue, most);
    }
    std::printf("\n%8s %8s | attempts at the lost in each second     | in time  | back  cold most\n",
                "routers", "a second");
    for (const int routers : {4, 15, 100, 300}) lose_parents(routers);
}
