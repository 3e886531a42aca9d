// Invariants of complete releases on the virtual clock.
#include "rollout/release_simulation.h"

#include <gtest/gtest.h>

#include <random>

#include "release_fixtures.h"

namespace sumackeel::rollout {

// With random faults: one member may fail requests with the new version, one may die at a random time.
TEST(ReleaseSimulation, EndsDoneOrHaltedWithinTheBudget) {
    int done = 0;
    int halted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        SimulationPlan simulation = simulation_plan(12 + random() % 30, seed);
        simulation.change = static_cast<Micros>(5 + random() % 40) * base::kSecond;
        const bool fails = random() % 3 == 0;
        const bool dies = random() % 3 == 0;
        const std::string member = simulation.plan.members[random() % simulation.plan.members.size()];
        if (fails) simulation.fails[member] = 0.3;
        if (dies) simulation.dies[member] = static_cast<Micros>(random() % 600) * base::kSecond;
        const SimulationResult result = simulate_release(simulation);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + result.reason);
        ASSERT_TRUE(result.stage == ReleaseStage::done || result.stage == ReleaseStage::halted);
        if (!fails && !dies) {
            EXPECT_EQ(result.stage, ReleaseStage::done);
            EXPECT_EQ(result.changed, simulation.plan.members.size());
        }
        if (fails && !dies) {
            EXPECT_EQ(result.stage, ReleaseStage::halted);
        }
        EXPECT_LE(result.most_out, 5U + (dies ? 1 : 0));
        ++(result.stage == ReleaseStage::done ? done : halted);
    }
    EXPECT_GT(done, 50);
    EXPECT_GT(halted, 50);
}

TEST(ReleaseSimulation, HaltsBeforeThreeInAHundredRequestsReachAFailingVersion) {
    SimulationPlan simulation = simulation_plan(40);
    simulation.plan.soak = 300 * base::kSecond;
    for (const std::string& member : simulation.plan.members) simulation.fails[member] = 0.1;
    const SimulationResult result = simulate_release(simulation);
    EXPECT_EQ(result.stage, ReleaseStage::halted);
    EXPECT_LT(result.met, 0.03);
    EXPECT_EQ(result.changed, 1U);
}

}  // namespace sumackeel::rollout
