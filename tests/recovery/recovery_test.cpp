// The way back without a wire: the ladder over random histories, the budget's sums, and what is kept cut and
// flipped everywhere.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <random>

#include "base/files.h"
#include "base/generation_files.h"
#include "recovery/fill_budget.h"
#include "recovery/persisted_state.h"
#include "recovery/recovery_phases.h"

namespace sumackeel::recovery {
namespace {

using base::kSecond;

RecoveryPhases asked(std::size_t before, PhaseOptions options = {}) {
    RecoveryPhases ladder(options, 0);
    ladder.on_state_read(0, before);
    return ladder;
}

MemberReport from(const char* name, Phase stage, bool living = false, bool sure = false) {
    return {name, stage, living, sure};
}

}  // namespace

TEST(Recovery, OneRestartInALivingFleetServesWithTheFirstAnswer) {
    RecoveryPhases ladder = asked(5);
    EXPECT_FALSE(ladder.ready());
    ladder.on_report(100'000, from("n1", Phase::serving, true, true));
    EXPECT_EQ(ladder.phase(), Phase::serving);
    EXPECT_TRUE(ladder.purges_confirmed());
}

TEST(Recovery, OneThatServesAlmostAloneIsNoLivingFleet) {
    RecoveryPhases early = asked(5);
    for (Micros now = 0; early.phase() != Phase::serving; now += 500'000) early.tick(now);
    EXPECT_FALSE(early.serving_fleet(2));
    EXPECT_TRUE(early.serving_fleet(3));
    RecoveryPhases late = asked(5);
    late.on_report(100'000, from("n0", Phase::serving, false, true));
    EXPECT_EQ(late.phase(), Phase::asking);
    EXPECT_TRUE(late.purges_confirmed()) << "its purges count all the same";
}

TEST(Recovery, AllOnTheLadderWaitForNobodyElse) {
    RecoveryPhases ladder = asked(3);
    ladder.on_report(100'000, from("n1", Phase::asking));
    ladder.on_report(200'000, from("n2", Phase::reading));
    EXPECT_EQ(ladder.phase(), Phase::settling);
    ladder.on_endpoints_confirmed(400'000);
    EXPECT_EQ(ladder.phase(), Phase::priming);
    EXPECT_TRUE(ladder.ready());
}

TEST(Recovery, APauseIsNoticedAndClientsAreNotTurnedAwayForIt) {
    RecoveryPhases ladder = asked(2);
    ladder.on_report(1, from("n1", Phase::serving, true, true));
    ladder.tick(500'000);
    ladder.tick(9 * kSecond);
    EXPECT_EQ(ladder.phase(), Phase::asking);
    EXPECT_TRUE(ladder.ready());
    EXPECT_FALSE(ladder.purges_confirmed());
    EXPECT_FALSE(ladder.serving_fleet(2));
}

// Whatever comes in whatever order, no stage outlasts its time, and purges are not sure without a sure word.
TEST(Recovery, NoStageOutlastsItsTimeOver200Seeds) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 chance(seed);
        const PhaseOptions options{
            .ask = 2 * kSecond, .settle = 3 * kSecond, .prime = 4 * kSecond, .elects = seed % 2 == 0};
        RecoveryPhases ladder(options, 0);
        bool sure_word = false;
        Micros served_at = -1;
        for (Micros now = 0; now < 20 * kSecond; now += 100'000) {
            switch (chance() % 8) {
                case 0:
                    ladder.on_state_read(now, chance() % 6);
                    break;
                case 1: {
                    const auto stage = static_cast<Phase>(chance() % 5);
                    const bool sure = chance() % 8 == 0;
                    sure_word = sure_word || (sure && stage == Phase::serving);
                    ladder.on_report(now, {"n" + std::to_string(chance() % 6), stage, false, sure});
                    break;
                }
                case 2:
                    ladder.on_member_count(now, chance() % 6);
                    break;
                case 3:
                    ladder.on_leader_known(now, chance() % 2 == 0);
                    break;
                case 4:
                    ladder.on_rejected(now);
                    break;
                default:
                    break;
            }
            ladder.tick(now);
            EXPECT_LT(now, ladder.deadline());
            if (!sure_word) {
                EXPECT_FALSE(ladder.purges_confirmed());
            }
            if (ladder.phase() == Phase::serving && served_at < 0) served_at = now;
        }
        ASSERT_GE(served_at, 0);
        EXPECT_LE(served_at, kReadTimeout + options.ask + options.settle + options.prime + kSecond);
    }
}

// The sum over all proxies, a late majority among them, in any second.
TEST(Recovery, BudgetHoldsOverTheWholeFleetOver200Seeds) {
    constexpr double kAll = 200;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 chance(seed);
        const std::size_t proxies = 3 + chance() % 40;
        std::vector<FillBudget> budgets;
        std::vector<Micros> begins;
        for (std::size_t i = 0; i < proxies; ++i) {
            budgets.emplace_back(kAll, 1e9, std::vector<double>{1, 2}, seed * 100 + i);
            begins.push_back(static_cast<Micros>(chance() % 5'000) * 1'000);
        }
        std::vector<Micros> fills;
        for (Micros now = 0; now < 8 * kSecond; now += 20'000)
            for (std::size_t i = 0; i < proxies; ++i) {
                if (now < begins[i]) continue;
                const RequestCost one{.key = chance(),
                                      .priority_weight = 1.0 + static_cast<double>(chance() % 2),
                                      .size_kb = 40};
                if (!budgets[i].admit(now, one, static_cast<double>(proxies), now - begins[i], kSecond))
                    fills.push_back(now);
                EXPECT_FALSE(budgets[i].admit(now, {.needs_copy = false}, 1, -1, kSecond)) << "enrol";
            }
        std::size_t first = 0, most = 0;
        for (std::size_t last = 0; last < fills.size(); ++last) {
            while (fills[last] - fills[first] > kSecond) ++first;
            most = std::max(most, last - first + 1);
        }
        // A second's part and a bucket of each.
        EXPECT_LE(most, kAll + static_cast<double>(proxies) *
                                   std::max(1.0, kAll / static_cast<double>(proxies) / 2));
        EXPECT_GT(most, kAll / 8);
    }
}

// Large objects, as streams are, take a source's link for long: four times larger ones each five seconds.
TEST(Recovery, LargeObjectsPassStepByStep) {
    FillBudget budget(1e6, 1e6, {1}, 1);
    auto passes = [&, key = std::uint64_t{0}](Micros primed_for, double kb,
                                              bool any = false) mutable -> bool {
        const RequestCost one{.key = ++key, .size_kb = kb, .any_size = any};
        return !budget.admit(primed_for, one, 1, primed_for, kSecond);
    };
    EXPECT_FALSE(passes(kSecond, 2'000));
    EXPECT_TRUE(passes(2 * kSecond, 512));
    EXPECT_TRUE(passes(3 * kSecond, 2'000, true)) << "it only stood still";
    EXPECT_TRUE(passes(5 * kSecond, 2'000));
    EXPECT_FALSE(passes(6 * kSecond, 8'000));
    EXPECT_TRUE(passes(12 * kSecond, 8'000));
    EXPECT_FALSE(passes(13 * kSecond, 1e6));
    EXPECT_TRUE(passes(21 * kSecond, 1e6));
    EXPECT_EQ(budget.too_large(), 3);
}

TEST(Recovery, BudgetTurnsAwayTheLeastWorthFirstAndCountsAnObjectOnce) {
    FillBudget budget(20, 1e9, {1, 5}, 1);
    int cheap = 0, dear = 0;
    for (Micros now = 0; now < 10 * kSecond; now += 20'000) {
        const auto key = static_cast<std::uint64_t>(now);
        cheap +=
            budget.admit(now, {.key = 2 * key, .priority_weight = 1, .size_kb = 40}, 1, now, kSecond) ? 0 : 1;
        dear += budget.admit(now, {.key = 2 * key + 1, .priority_weight = 5, .size_kb = 40}, 1, now, kSecond)
                    ? 0
                    : 1;
    }
    EXPECT_GT(dear, 10 * cheap);
    const auto away = budget.admit(10 * kSecond, {.key = 7, .size_kb = 40}, 1, -1, 3 * kSecond);
    ASSERT_TRUE(away);
    EXPECT_LE(*away, 3 * kSecond);
    FillBudget fresh(1, 1e9, {1}, 1);
    fresh.admit(0, {.key = 8, .size_kb = 40}, 1, 0, kSecond);
    const Micros full = 5 * kSecond;
    EXPECT_FALSE(fresh.admit(full, {.key = 9, .size_kb = 40}, 1, full, kSecond));
    for (int i = 1; i < 100; ++i)
        EXPECT_FALSE(fresh.admit(full + i * 1'000, {.key = 9, .size_kb = 40}, 1, full, kSecond))
            << "it joins";
    EXPECT_TRUE(fresh.admit(full + 101'000, {.key = 10, .size_kb = 40}, 1, full, kSecond));
    // What took no fill costs little from then on: as many go as before warm caches.
    int gone = 0;
    for (std::uint64_t i = 0; i < 4'000; ++i) {
        const Micros now = full + kSecond + static_cast<Micros>(i) * 20'000;
        if (fresh.admit(now, {.key = 100 + i, .size_kb = 40}, 1, now, kSecond)) continue;
        fresh.on_request_finished(100 + i, FillSource::none);
        ++gone;
    }
    EXPECT_GT(gone, 3'000);
}

TEST(Recovery, KeptCutAtEachLengthAndFlippedAtEachByteIsNamedNeverTaken) {
    PersistedState kept{.phase = Phase::priming,
                        .members = {"n0", "n1"},
                        .draining = true,
                        .bans = {"s-a", "s-b.example"},
                        .leased = {"s-c"}};
    const std::string text = encode(kept);
    PersistedState read;
    ASSERT_EQ(decode(text, read), "");
    EXPECT_EQ(read, kept);
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
        PersistedState other;
        EXPECT_NE(decode(text.substr(0, cut), other), "") << cut;
        EXPECT_EQ(other, PersistedState{});
    }
    for (std::size_t at = 0; at < text.size(); ++at)
        for (int bit = 0; bit < 8; ++bit) {
            std::string flipped = text;
            flipped[at] = static_cast<char>(flipped[at] ^ (1 << bit));
            PersistedState other;
            EXPECT_NE(decode(flipped, other), "") << at;
        }
}

// A writer that is killed between any two of its calls leaves what was kept or what was to be kept.
TEST(Recovery, KilledAtEachPointOfTheWriterTheOldOrTheNewIsThere) {
    const std::string folder = ::testing::TempDir() + "kept-" + std::to_string(::getpid());
    const base::GenerationFiles files(folder, "kept-", ".sumkept");
    const PersistedState before{.members = {"n0"}, .bans = {"s-a"}, .leased = {}};
    const PersistedState after{.members = {"n0"}, .bans = {"s-a", "s-b"}, .leased = {}};
    int killed = 0, took_new = 0;
    for (int point = 1; point <= 12; ++point) {
        std::filesystem::remove_all(folder);
        ASSERT_EQ(files.write(encode(before), 1, 0), "");
        ASSERT_EQ(files.write(encode(before), 2, 1), "");
        const pid_t child = ::fork();
        if (child == 0) {
            base::crash_at(point);
            files.write(encode(after), 3, 2);
            ::_exit(0);
        }
        int status = 0;
        ASSERT_EQ(::waitpid(child, &status, 0), child);
        killed += WEXITSTATUS(status) == 9 ? 1 : 0;
        // As a start reads: the newest that is whole.
        PersistedState kept;
        bool found = false;
        for (const std::uint64_t generation : files.generations()) {
            std::string text, fault;
            ASSERT_EQ(base::read_regular_file(files.path_of(generation), kMaxStateBytes, text, fault),
                      base::ReadStatus::ok);
            if (found = decode(text, kept).empty(); found) break;
        }
        ASSERT_TRUE(found) << "point " << point;
        EXPECT_TRUE(kept == before || kept == after) << "point " << point;
        EXPECT_TRUE(WEXITSTATUS(status) == 9 || kept == after);
        took_new += kept == after ? 1 : 0;
    }
    EXPECT_GE(killed, 5) << "the writer has so many points at least";
    EXPECT_GT(took_new, 0);
    std::filesystem::remove_all(folder);
}

}  // namespace sumackeel::recovery
