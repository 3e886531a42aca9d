// Tests of the fill budget: a single proxy, and the sum over many proxies.
#include "recovery/fill_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace sumackeel::recovery {

using base::kSecond;

// Checks the sum over all proxies, which start priming at different times, in every one-second window.
TEST(FillBudgetTest, HoldsOverAllProxiesOver200Seeds) {
    constexpr double kFillsPerSecond = 200;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 rng(seed);
        const std::size_t proxies = 3 + rng() % 40;
        std::vector<FillBudget> budgets;
        std::vector<Micros> start_times;
        for (std::size_t i = 0; i < proxies; ++i) {
            budgets.emplace_back(kFillsPerSecond, 1e9, std::vector<double>{1, 2}, seed * 100 + i);
            start_times.push_back(static_cast<Micros>(rng() % 5'000) * 1'000);
        }
        std::vector<Micros> fills;
        for (Micros now = 0; now < 8 * kSecond; now += 20'000)
            for (std::size_t i = 0; i < proxies; ++i) {
                if (now < start_times[i]) continue;
                const RequestCost cost{
                    .key = rng(), .priority_weight = 1.0 + static_cast<double>(rng() % 2), .size_kb = 40};
                if (!budgets[i].admit(now, cost, static_cast<double>(proxies), now - start_times[i], kSecond))
                    fills.push_back(now);
                EXPECT_FALSE(budgets[i].admit(now, {.needs_copy = false}, 1, -1, kSecond)) << "enrol";
            }
        std::size_t first = 0, max_per_second = 0;
        for (std::size_t last = 0; last < fills.size(); ++last) {
            while (fills[last] - fills[first] > kSecond) ++first;
            max_per_second = std::max(max_per_second, last - first + 1);
        }
        // The budget of one second plus one bucket per proxy.
        EXPECT_LE(max_per_second,
                  kFillsPerSecond + static_cast<double>(proxies) *
                                        std::max(1.0, kFillsPerSecond / static_cast<double>(proxies) / 2));
        EXPECT_GT(max_per_second, kFillsPerSecond / 8);
    }
}

// Transfers of large objects such as streams occupy a source's link: the size limit increases fourfold every
// five seconds.
TEST(FillBudgetTest, AdmitsLargeObjectsStepByStep) {
    FillBudget budget(1e6, 1e6, {1}, 1);
    auto admits = [&, key = std::uint64_t{0}](Micros primed_for, double kb,
                                              bool ignore_size_limit = false) mutable -> bool {
        const RequestCost cost{.key = ++key, .size_kb = kb, .ignore_size_limit = ignore_size_limit};
        return !budget.admit(primed_for, cost, 1, primed_for, kSecond);
    };
    EXPECT_FALSE(admits(kSecond, 2'000));
    EXPECT_TRUE(admits(2 * kSecond, 512));
    EXPECT_TRUE(admits(3 * kSecond, 2'000, true)) << "no size limit after a pause";
    EXPECT_TRUE(admits(5 * kSecond, 2'000));
    EXPECT_FALSE(admits(6 * kSecond, 8'000));
    EXPECT_TRUE(admits(12 * kSecond, 8'000));
    EXPECT_FALSE(admits(13 * kSecond, 1e6));
    EXPECT_TRUE(admits(21 * kSecond, 1e6));
    EXPECT_EQ(budget.too_large(), 3);
}

TEST(FillBudgetTest, RejectsTheLowestWeightFirstAndChargesAnObjectOnce) {
    FillBudget budget(20, 1e9, {1, 5}, 1);
    int low_admitted = 0, high_admitted = 0;
    for (Micros now = 0; now < 10 * kSecond; now += 20'000) {
        const auto key = static_cast<std::uint64_t>(now);
        low_admitted +=
            budget.admit(now, {.key = 2 * key, .priority_weight = 1, .size_kb = 40}, 1, now, kSecond) ? 0 : 1;
        high_admitted +=
            budget.admit(now, {.key = 2 * key + 1, .priority_weight = 5, .size_kb = 40}, 1, now, kSecond) ? 0
                                                                                                          : 1;
    }
    EXPECT_GT(high_admitted, 10 * low_admitted);
    const auto retry_after = budget.admit(10 * kSecond, {.key = 7, .size_kb = 40}, 1, -1, 3 * kSecond);
    ASSERT_TRUE(retry_after);
    EXPECT_LE(*retry_after, 3 * kSecond);
    FillBudget fresh(1, 1e9, {1}, 1);
    fresh.admit(0, {.key = 8, .size_kb = 40}, 1, 0, kSecond);
    const Micros full = 5 * kSecond;
    EXPECT_FALSE(fresh.admit(full, {.key = 9, .size_kb = 40}, 1, full, kSecond));
    for (int i = 1; i < 100; ++i)
        EXPECT_FALSE(fresh.admit(full + i * 1'000, {.key = 9, .size_kb = 40}, 1, full, kSecond))
            << "joins the fill";
    EXPECT_TRUE(fresh.admit(full + 101'000, {.key = 10, .size_kb = 40}, 1, full, kSecond));
    // Requests without a fill reduce the charge of later ones: in front of warm caches nearly all are
    // admitted.
    int admitted = 0;
    for (std::uint64_t i = 0; i < 4'000; ++i) {
        const Micros now = full + kSecond + static_cast<Micros>(i) * 20'000;
        if (fresh.admit(now, {.key = 100 + i, .size_kb = 40}, 1, now, kSecond)) continue;
        fresh.on_request_finished(100 + i, FillSource::none);
        ++admitted;
    }
    EXPECT_GT(admitted, 3'000);
}

}  // namespace sumackeel::recovery
