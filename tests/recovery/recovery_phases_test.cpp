// Tests of the recovery phases without a network: single events and random event sequences.
#include "recovery/recovery_phases.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace sumackeel::recovery {
namespace {

using base::kSecond;

RecoveryPhases with_state_read(std::size_t members_before, PhaseOptions options = {}) {
    RecoveryPhases phases(options, 0);
    phases.on_state_read(0, members_before);
    return phases;
}

MemberReport report(const char* name, Phase phase, bool serving_fleet = false,
                    bool purges_confirmed = false) {
    return {name, phase, serving_fleet, purges_confirmed};
}

}  // namespace

TEST(RecoveryPhasesTest, ServesWithTheFirstReportOfAServingCluster) {
    RecoveryPhases phases = with_state_read(5);
    EXPECT_FALSE(phases.ready());
    phases.on_report(100'000, report("n1", Phase::serving, true, true));
    EXPECT_EQ(phases.phase(), Phase::serving);
    EXPECT_TRUE(phases.purges_confirmed());
}

TEST(RecoveryPhasesTest, AMemberThatServesAlmostAloneIsNoServingCluster) {
    RecoveryPhases early = with_state_read(5);
    for (Micros now = 0; early.phase() != Phase::serving; now += 500'000) early.tick(now);
    EXPECT_FALSE(early.serving_fleet(2));
    EXPECT_TRUE(early.serving_fleet(3));
    RecoveryPhases late = with_state_read(5);
    late.on_report(100'000, report("n0", Phase::serving, false, true));
    EXPECT_EQ(late.phase(), Phase::querying);
    EXPECT_TRUE(late.purges_confirmed()) << "its purges count nevertheless";
}

TEST(RecoveryPhasesTest, SettlesOnceAllOtherMembersAreRecovering) {
    RecoveryPhases phases = with_state_read(3);
    phases.on_report(100'000, report("n1", Phase::querying));
    phases.on_report(200'000, report("n2", Phase::reading));
    EXPECT_EQ(phases.phase(), Phase::settling);
    phases.on_endpoints_confirmed(400'000);
    EXPECT_EQ(phases.phase(), Phase::priming);
    EXPECT_TRUE(phases.ready());
}

// Regression: a drain ended after a power loss because it was taken for a restart of this process alone.
TEST(RecoveryPhasesTest, TellsALossOfPowerFromARestartInAServingCluster) {
    RecoveryPhases restarted = with_state_read(3);
    restarted.on_report(100'000, report("n1", Phase::serving, true, true));
    EXPECT_TRUE(restarted.ready());
    EXPECT_FALSE(restarted.whole_cluster_was_down());
    RecoveryPhases lost_power = with_state_read(3);
    lost_power.on_report(100'000, report("n1", Phase::querying));
    lost_power.on_report(100'000, report("n2", Phase::querying));
    lost_power.on_report(200'000, report("n1", Phase::serving, true, true));
    EXPECT_EQ(lost_power.phase(), Phase::serving);
    EXPECT_TRUE(lost_power.whole_cluster_was_down());
}

TEST(RecoveryPhasesTest, APausedProcessQueriesAgainAndStaysReady) {
    RecoveryPhases phases = with_state_read(2);
    phases.on_report(1, report("n1", Phase::serving, true, true));
    phases.tick(500'000);
    phases.tick(9 * kSecond);
    EXPECT_EQ(phases.phase(), Phase::querying);
    EXPECT_TRUE(phases.ready());
    EXPECT_FALSE(phases.purges_confirmed());
    EXPECT_FALSE(phases.serving_fleet(2));
}

// Random events in any order. Purges count as confirmed only after a report that confirms them.
TEST(RecoveryPhasesTest, EachPhaseEndsByItsDeadlineOver200Seeds) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 rng(seed);
        const PhaseOptions options{.query_timeout = 2 * kSecond,
                                   .settle_timeout = 3 * kSecond,
                                   .prime_timeout = 4 * kSecond,
                                   .wait_for_leader = seed % 2 == 0};
        RecoveryPhases phases(options, 0);
        bool confirmed_by_report = false;
        Micros serving_at = -1;
        for (Micros now = 0; now < 20 * kSecond; now += 100'000) {
            switch (rng() % 8) {
                case 0:
                    phases.on_state_read(now, rng() % 6);
                    break;
                case 1: {
                    const auto phase = static_cast<Phase>(rng() % 5);
                    const bool purges_confirmed = rng() % 8 == 0;
                    confirmed_by_report =
                        confirmed_by_report || (purges_confirmed && phase == Phase::serving);
                    phases.on_report(now, {"n" + std::to_string(rng() % 6), phase, false, purges_confirmed});
                    break;
                }
                case 2:
                    phases.on_member_count(now, rng() % 6);
                    break;
                case 3:
                    phases.on_leader_known(now, rng() % 2 == 0);
                    break;
                case 4:
                    phases.on_rejected(now);
                    break;
                default:
                    break;
            }
            phases.tick(now);
            EXPECT_LT(now, phases.deadline());
            if (!confirmed_by_report) {
                EXPECT_FALSE(phases.purges_confirmed());
            }
            if (phases.phase() == Phase::serving && serving_at < 0) serving_at = now;
        }
        ASSERT_GE(serving_at, 0);
        EXPECT_LE(serving_at, kReadTimeout + options.query_timeout + options.settle_timeout +
                                  options.prime_timeout + kSecond);
    }
}

}  // namespace sumackeel::recovery
