// Releases of 40, 300 and 1,000 proxies on the virtual clock: how long one takes, the longest that a member
// waits for its lease once its wave has begun, and the most out at once; and with a version that fails one
// request in ten, when the release halts and the share of all requests that the new version served.
// Build with -DSUMACKEEL_BENCH=ON.
#include "rollout/release_simulation.h"

#include <cstdio>

namespace {

using namespace sumackeel;

constexpr std::size_t kZones = 15;
constexpr double kFailureShare = 0.1;

rollout::SimulationPlan simulation_plan(std::size_t members, int max_unavailable) {
    rollout::SimulationPlan given;
    given.budget = {.max_unavailable_in_zone = max_unavailable,
                    .max_zone_weight_share = 0.25,
                    .max_unavailable = max_unavailable,
                    .min_interval_in_zone = 0};
    given.change = 30 * base::kSecond;
    given.requests_per_s = 30;
    for (std::size_t i = 0; i < members; ++i) {
        rollout::FleetMember member;
        member.name = "n" + std::to_string(10'000 + i);
        member.zone = "school-" + std::to_string(i % kZones);
        given.fleet.push_back(member);
        given.plan.members.push_back(member.name);
    }
    given.plan.name = "spring";
    given.plan.from = "1";
    given.plan.to = "2";
    given.plan.waves = {1, members / 10, 4 * members / 10, members - 1 - members / 10 - 4 * members / 10};
    given.plan.soak = 60 * base::kSecond;
    given.plan.wave_timeout = 86'400 * base::kSecond;
    return given;
}

double seconds(base::Micros time) {
    return static_cast<double>(time) / 1e6;
}

void run(std::size_t members, int max_unavailable) {
    rollout::SimulationPlan given = simulation_plan(members, max_unavailable);
    const rollout::SimulationResult good = rollout::simulate_release(given);
    for (const std::string& member : given.plan.members) given.fails[member] = kFailureShare;
    const rollout::SimulationResult bad = rollout::simulate_release(given);
    std::printf("%8zu %11d %12.0f %12.0f %8zu | %10.0f %7.3f%%  %s\n", members, max_unavailable,
                seconds(good.took), seconds(good.longest_wait), good.most_out, seconds(bad.took),
                100 * bad.met, name_of(good.stage));
}

}  // namespace

int main() {
    std::printf("%8s %10s %12s %12s %8s | %10s %8s\n", "members", "out at once", "done after s",
                "longest wait", "most out", "halted s", "met");
    for (const std::size_t members : {40U, 300U, 1'000U}) {
        run(members, 4);
        run(members, static_cast<int>(members / 20));
    }
}
