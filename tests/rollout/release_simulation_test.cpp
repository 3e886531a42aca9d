// What holds over whole releases on the virtual clock.
#include "rollout/release_simulation.h"

#include <gtest/gtest.h>

#include <random>

#include "release_fixtures.h"

namespace sumackeel::rollout {

// Random faults: which member fails, which dies and when.
TEST(ReleaseSimulation, EndsDoneOrHaltedWithinTheBudget) {
    int done = 0;
    int halted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        SimulationPlan given = simulation_plan(12 + random() % 30, seed);
        given.change = static_cast<Micros>(5 + random() % 40) * base::kSecond;
        const bool fails = random() % 3 == 0;
        const bool dies = random() % 3 == 0;
        const std::string member = given.plan.members[random() % given.plan.members.size()];
        if (fails) given.fails[member] = 0.3;
        if (dies) given.dies[member] = static_cast<Micros>(random() % 600) * base::kSecond;
        const SimulationResult result = simulate_release(given);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + result.reason);
        ASSERT_TRUE(result.stage == ReleaseStage::done || result.stage == ReleaseStage::halted);
        if (!fails && !dies) {
            EXPECT_EQ(result.stage, ReleaseStage::done);
            EXPECT_EQ(result.changed, given.plan.members.size());
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
    SimulationPlan given = simulation_plan(40);
    given.plan.soak = 300 * base::kSecond;
    for (const std::string& member : given.plan.members) given.fails[member] = 0.1;
    const SimulationResult result = simulate_release(given);
    EXPECT_EQ(result.stage, ReleaseStage::halted);
    EXPECT_LT(result.met, 0.03);
    EXPECT_EQ(result.changed, 1U);
}

}  // namespace sumackeel::rollout
