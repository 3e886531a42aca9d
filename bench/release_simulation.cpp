// Releases of 40, 300 and 1,000 proxies played on the virtual clock: how long one takes, the longest that a
// member waits for its turn once its wave has begun, the most out at once; and with a version that fails one
// request in ten, when it halts and the share of all requests that met it. Build with -DSUMACKEEL_BENCH=ON.
#include "rollout/release_simulation.h"

#include <cstdio>

using namespace sumackeel;

int main() {
    std::printf("%8s %10s %12s %12s %8s | %10s %8s\n", "members", "out at once", "done after s",
                "longest wait", "most out", "halted s", "met");
    for (const std::size_t members : {40U, 300U, 1'000U})
        for (const int out : {4, static_cast<int>(members / 20)}) {
            rollout::SimulationPlan given;
            given.budget = {.max_unavailable_in_zone = out,
                            .max_zone_weight_share = 0.25,
                            .max_unavailable = out,
                            .min_interval_in_zone = 0};
            given.change = 30 * base::kSecond;
            given.requests_per_s = 30;
            for (std::size_t i = 0; i < members; ++i) {
                rollout::FleetMember seen;
                seen.name = "n" + std::to_string(10'000 + i), seen.zone = "school-" + std::to_string(i % 15);
                given.fleet.push_back(seen);
                given.plan.members.push_back(seen.name);
            }
            given.plan.name = "spring", given.plan.from = "1", given.plan.to = "2";
            given.plan.waves = {1, members / 10, 4 * members / 10,
                                members - 1 - members / 10 - 4 * members / 10};
            given.plan.soak = 60 * base::kSecond, given.plan.wave_timeout = 86'400 * base::kSecond;
            const rollout::SimulationResult good = rollout::simulate_release(given);
            for (const std::string& member : given.plan.members) given.fails[member] = 0.1;
            const rollout::SimulationResult bad = rollout::simulate_release(given);
            std::printf("%8zu %11d %12.0f %12.0f %8zu | %10.0f %7.3f%%  %s\n", members, out,
                        static_cast<double>(good.took) / 1e6, static_cast<double>(good.longest_wait) / 1e6,
                        good.most_out, static_cast<double>(bad.took) / 1e6, 100 * bad.met,
                        name_of(good.stage));
        }
}
