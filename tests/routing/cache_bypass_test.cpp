// Tests of the cache bypass through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

TEST(CacheBypass, OriginOnlyReadsKeepToQuota) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    settings.origin_only_requests_per_s = 5;
    RouterHarness router(settings);
    router.update_endpoints({origin()});
    int sent = 0, rejected = 0;
    for (int i = 0; i < 1000; ++i, router.now += 10 * kMillisecond) {  // 10 s at 100 requests/s
        router.request("r" + std::to_string(i), "x" + std::to_string(i));
        for (const Forward& forward : router.actions_of<Forward>()) {
            EXPECT_EQ(forward.endpoint, "origin");
            EXPECT_EQ(forward.cache_priority, 0);
            ++sent;
            router.finish(forward.id, "origin", AttemptStatus::served);
        }
        for (const Reject& reject : router.actions_of<Reject>()) rejected += reject.retry_after > 0;
    }
    EXPECT_GE(sent, 50);
    EXPECT_LE(sent, 56);
    EXPECT_EQ(sent + rejected, 1000);
}

TEST(CacheBypass, NonIdempotentRequestsDoNotCountAgainstQuota) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    settings.origin_only_requests_per_s = 1;
    settings.classes.push_back(settings.classes[0]);
    settings.classes[1].uncacheable = true;
    settings.classes[1].retry_safety = RetrySafety::not_idempotent;
    RouterHarness router(settings);
    router.update_endpoints({origin()});
    for (int i = 0; i < 30; ++i) {
        RequestReceived write;
        write.id = "w" + std::to_string(i);
        write.class_index = 1;
        write.time_left = 3 * kSecond;
        write.write = true;
        router.handle(write);
        EXPECT_EQ(router.actions_of<Lookup>().size() + router.actions_of<Forward>().size(), 1u);
        // The last request may have been executed before the connection reset, so it is not repeated.
        router.finish(write.id, "origin", i < 29 ? AttemptStatus::served : AttemptStatus::connection_reset);
        EXPECT_TRUE(router.actions_of<Forward>().empty() && router.actions_of<Lookup>().empty());
        router.now += 10 * kMillisecond;
    }
    EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
}

// Without a quota, which is the platform's setting, requests are rejected while no cache is listed.
TEST(CacheBypass, OriginOnlyIsOffByDefaultAndWhileOthersAreKnown) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    RouterHarness without_quota(settings);
    without_quota.update_endpoints({origin()});
    without_quota.request("r1", "x");
    EXPECT_EQ(without_quota.actions_of<Reject>().size(), 1u);
    settings.origin_only_requests_per_s = 5;
    RouterHarness with_cache(settings);
    with_cache.update_endpoints({cache("a"), origin()});
    with_cache.request("r1", "x");
    EXPECT_EQ(with_cache.forwarded().endpoint, "a");
}

// A parent that bypasses the caches must not be told to fill from a draining or removed origin.
TEST(CacheBypass, OriginThatIsNotReadyIsNotNamed) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        Settings settings = plain_settings();
        settings.cache_bypass_allowed = true;
        RouterHarness router(settings);
        Endpoint inactive_origin = origin();
        inactive_origin.state = state;
        router.update_endpoints({parent("p"), inactive_origin});
        router.request("r1", "x", 50);
        const Forward forward = router.forwarded();
        EXPECT_EQ(forward.endpoint, "p");
        EXPECT_EQ(forward.source, "p");  // the parent serves only what it has cached
    }
}

TEST(CacheBypass, ParentAnswersWithoutCachesOnlyWhereAllowed) {
    for (const bool allowed : {true, false}) {
        Settings settings = plain_settings();
        settings.cache_bypass_allowed = allowed;
        RouterHarness router(settings);
        router.update_endpoints({cache("a"), parent("p"), origin()});
        bool bypassed = false;
        for (int i = 0; i < 20; ++i) {
            const std::string id = "r" + std::to_string(i);
            router.request(id, "o" + std::to_string(i), 50);
            for (const Forward& forward : router.actions_of<Forward>()) {
                if (forward.endpoint == "p") {
                    bypassed = true;
                    EXPECT_EQ(forward.source, "origin");
                    EXPECT_EQ(forward.cache_priority, 0);
                }
                router.finish(
                    id, forward.endpoint,
                    forward.endpoint == "a" ? AttemptStatus::connect_failed : AttemptStatus::served);
                router.handle(ClientCancelled{id});
            }
        }
        EXPECT_EQ(bypassed, allowed);
    }
}

}  // namespace
}  // namespace sumackeel::routing
