// Behaviour of the cache bypass, seen through the router: events in, actions out.
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
    for (int i = 0; i < 1000; ++i, router.now += 10 * kMillisecond) {  // ten seconds of 100 a second
        router.request("r" + std::to_string(i), "x" + std::to_string(i));
        for (const Forward& forward : router.all<Forward>()) {
            EXPECT_EQ(forward.endpoint, "origin");
            EXPECT_EQ(forward.cache_priority, 0);
            ++sent;
            router.finish(forward.id, "origin", AttemptStatus::served);
        }
        for (const Reject& reject : router.all<Reject>()) rejected += reject.retry_after > 0;
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
        EXPECT_EQ(router.all<Lookup>().size() + router.all<Forward>().size(), 1u);
        // The last one may have run when its connection was reset: it is not repeated.
        router.finish(write.id, "origin", i < 29 ? AttemptStatus::served : AttemptStatus::connection_reset);
        EXPECT_TRUE(router.all<Forward>().empty() && router.all<Lookup>().empty());
        router.now += 10 * kMillisecond;
    }
    EXPECT_EQ(router.all<Fail>().size(), 1u);
}

// Without a quota, as on the platform, requests are rejected while the list is empty.
TEST(CacheBypass, OriginOnlyIsOffByDefaultAndWhileOthersAreKnown) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    RouterHarness off(settings);
    off.update_endpoints({origin()});
    off.request("r1", "x");
    EXPECT_EQ(off.all<Reject>().size(), 1u);
    settings.origin_only_requests_per_s = 5;
    RouterHarness on(settings);
    on.update_endpoints({cache("a"), origin()});
    on.request("r1", "x");
    EXPECT_EQ(on.forwarded().endpoint, "a");
}

// A parent that answers without caches must not be asked to fill from a draining or removed origin.
TEST(CacheBypass, OriginThatIsNotReadyIsNotNamed) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        Settings settings = plain_settings();
        settings.cache_bypass_allowed = true;
        RouterHarness router(settings);
        Endpoint out = origin();
        out.state = state;
        router.update_endpoints({parent("p"), out});
        router.request("r1", "x", 50);
        const Forward forward = router.forwarded();
        EXPECT_EQ(forward.endpoint, "p");
        EXPECT_EQ(forward.source, "p");  // it gives what it has cached
    }
}

TEST(CacheBypass, ParentAnswersWithoutCachesOnlyWhereAllowed) {
    for (const bool allowed : {true, false}) {
        Settings settings = plain_settings();
        settings.cache_bypass_allowed = allowed;
        RouterHarness router(settings);
        router.update_endpoints({cache("a"), parent("p"), origin()});
        bool past = false;
        for (int i = 0; i < 20; ++i) {
            const std::string id = "r" + std::to_string(i);
            router.request(id, "o" + std::to_string(i), 50);
            for (const Forward& forward : router.all<Forward>()) {
                if (forward.endpoint == "p") {
                    past = true;
                    EXPECT_EQ(forward.source, "origin");
                    EXPECT_EQ(forward.cache_priority, 0);
                }
                router.finish(
                    id, forward.endpoint,
                    forward.endpoint == "a" ? AttemptStatus::connect_failed : AttemptStatus::served);
                router.handle(ClientCancelled{id});
            }
        }
        EXPECT_EQ(past, allowed);
    }
}

}  // namespace
}  // namespace sumackeel::routing
