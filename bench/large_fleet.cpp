// Plays a purge of everything before a slow origin, and a cold return, with fleets of several sizes on a
// virtual clock. One line a size: what was served of what was asked, the most that waited at the origin, and
// the share of what breaks a cold box or parent that reached the one worst off. Build with
// -DSUMACKEEL_BENCH=ON.
#include <cstdio>

#include "emulator/fleet.h"

using namespace sumackeel::emulator;

int main() {
    std::printf("%8s %8s %8s %8s %10s %10s\n", "routers", "asked", "served", "in time", "at origin",
                "cold most");
    for (const int routers : {4, 15, 100, 300, 1'000}) {
        Shape shape;
        shape.routers = routers;
        Fleet purged(shape);
        purged.run_for(8 * kSecond);
        purged.origin_does(150);
        purged.totals = {};
        purged.purge_all();
        purged.run_for(8 * kSecond);

        Fleet cold(shape);
        cold.run_for(4 * kSecond);
        std::vector<std::string> boxes{"p0", "p1"};
        for (int zone = 0; zone < 9; ++zone) boxes.push_back(Fleet::box(zone, 1));
        cold.restart(boxes);
        cold.totals = {};
        const Micros window = cold.set().overload_for;
        cold.run_for(window);
        double most = 0;
        for (const std::string& box : boxes)
            most = std::max(most, cold.totals.most_within(box, window) / cold.breaks_at(box, window));
        const Totals& t = purged.totals;
        std::printf("%8d %8d %8d %8d %10.0f %10.2f\n", routers, t.asked, t.served, t.in_time,
                    t.longest_at_origin, most);
    }
}
