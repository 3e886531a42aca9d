// Tests of the endpoint table through the router's interface.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using EndpointTableTest = RouterFixture;

TEST_F(EndpointTableTest, DrainingCacheGetsNoNewAttempts) {
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    std::vector<std::string> others;
    for (const std::string name : {"a", "b", "c"})
        if (name != home) others.push_back(name);
    Endpoint draining = cache(others[0]);
    draining.state = EndpointState::draining;
    router.update_endpoints({draining}, EndpointUpdateKind::incremental);
    router.finish("r1", home, AttemptStatus::error);
    EXPECT_EQ(router.forwarded().endpoint, others[1]);
}

TEST_F(EndpointTableTest, DrainingParentIsNoSource) {
    router.request("r1", "x");
    const std::string source = router.forwarded().source;
    Endpoint draining = parent(source);
    draining.state = EndpointState::draining;
    router.update_endpoints({draining}, EndpointUpdateKind::incremental);
    router.request("r2", "y");
    EXPECT_NE(router.forwarded().source, source);
    router.update_endpoints({origin(), cache("a")});  // the full list no longer contains the parents
    router.request("r3", "z");
    EXPECT_EQ(router.forwarded().source, "origin");
}

// A crashed parent returns cold before the list reports its new start time. The routers must not all send it
// their full load at once.
TEST(EndpointTable, UnreachableParentThatReturnsIsCold) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    settings.instance_count = 100;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), origin()});
    const auto send_request = [&](int i, AttemptStatus status, CacheStatus cache_status) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        const std::string source = router.actions_of<Forward>().empty() ? "" : router.forwarded().source;
        router.now += 100 * kMillisecond;
        if (!source.empty()) router.finish(id, router.forwarded().endpoint, status, 0, cache_status);
        router.handle(ClientCancelled{id});
        return source;
    };
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send_request(i, AttemptStatus::error, CacheStatus::source_unreachable), "p");
    int to_parent = 0;
    router.now += 10 * kSecond;
    for (int i = 10; i < 40; ++i)
        to_parent += send_request(i, AttemptStatus::served, CacheStatus::filled) == "p";
    EXPECT_GE(to_parent, 1);
    EXPECT_LE(to_parent, 5);  // 1/100 of the cold budget allows less than one request per second
}

}  // namespace
}  // namespace sumackeel::routing
