// Tests of cache selection through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using CacheSelectionTest = RouterFixture;

TEST_F(CacheSelectionTest, RecentHitSelectsSameCache) {
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.now += 300 * kMillisecond;
    router.finish("r1", home, AttemptStatus::served, 0, CacheStatus::filled);
    router.now += kSecond;
    router.request("r2", "x");
    EXPECT_EQ(router.forwarded().endpoint, home);
}

TEST_F(CacheSelectionTest, AllRoutersSelectSameHome) {
    RouterHarness other(plain_settings(), 99);
    other.update_endpoints({origin(), parent("q"), parent("p"), cache("c"), cache("b"), cache("a")});
    for (int i = 0; i < 20; ++i) {
        const std::string object = "o" + std::to_string(i);
        router.request("r" + object, object);
        other.request("s" + object, object);
        EXPECT_EQ(router.forwarded().endpoint, other.forwarded().endpoint);
        EXPECT_EQ(router.forwarded().source, other.forwarded().source);
        router.finish("r" + object, router.forwarded().endpoint, AttemptStatus::served);
        other.finish("s" + object, other.forwarded().endpoint, AttemptStatus::served);
    }
}

TEST_F(CacheSelectionTest, NeverEjectsAllCaches) {
    for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.now += kSecond / 2;
        router.request(id, "o" + std::to_string(i));
        const Forward forward = router.forwarded();
        router.now += 10 * kMillisecond;
        router.finish(id, forward.endpoint, AttemptStatus::connect_failed);
        for (const Forward& retry : router.actions_of<Forward>()) {
            router.handle(ClientCancelled{retry.id});
            router.finish(retry.id, retry.endpoint, AttemptStatus::cancelled, 1);
        }
    }
    router.request("last", "last");
    EXPECT_EQ(router.actions_of<Forward>().size(), 1u);
}

TEST(CacheSelection, StaleCopyIsAcceptedAfterFailedAttempt) {
    Settings settings = plain_settings();
    settings.classes[0].freshness_lifetime = 2 * kSecond;
    settings.classes[0].stale_grace = 10 * kSecond;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), parent("q")});
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.now += 300 * kMillisecond;
    router.finish("r1", home, AttemptStatus::served, 0, CacheStatus::filled);
    router.now += 3 * kSecond;
    router.request("r2", "x");
    EXPECT_EQ(router.forwarded().max_age, 0);
    router.now += 100 * kMillisecond;
    router.finish("r2", home, AttemptStatus::error);
    EXPECT_EQ(router.forwarded().endpoint, home);
    EXPECT_EQ(router.forwarded().max_age, 12 * kSecond);
    EXPECT_TRUE(router.forwarded().revalidate);
    router.now += 100 * kMillisecond;  // a stale copy from before a purge is not accepted either
    router.handle(Purge{3, 0, "x"});
    router.now += 5 * kMillisecond;
    router.request("r3", "x");
    EXPECT_EQ(router.forwarded().max_age, 5 * kMillisecond);
}

}  // namespace
}  // namespace sumackeel::routing
