// Tests of outlier detection through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using OutlierDetectionTest = RouterFixture;

// A cache's report of an unreachable source has more weight than a plain failure. Otherwise each of many
// routers would send the source three fills before ejecting it.
TEST(OutlierDetection, UnreachableSourceIsEjectedAfterTwoReports) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p"), origin()});
    int opened = 0;
    for (int i = 0; i < 2; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        router.finish(id, router.forwarded().endpoint, AttemptStatus::error, 0,
                      CacheStatus::source_unreachable);
        for (const LogMessage& log : router.actions_of<LogMessage>()) opened += log.text == "breaker open: p";
        router.handle(ClientCancelled{id});
        EXPECT_EQ(opened, i);
    }
}

TEST_F(OutlierDetectionTest, SlowRejectionIsNotBlamedOnCache) {
    int parent_logs = 0, cache_logs = 0;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        router.request(id, "o" + std::to_string(i));
        Forward forward = router.forwarded();
        AttemptFinished result;
        result.id = id;
        result.endpoint = forward.endpoint;
        result.status = AttemptStatus::overloaded;
        result.elapsed = 60 * kMillisecond;
        router.now += result.elapsed;
        router.handle(result);
        for (const LogMessage& log : router.actions_of<LogMessage>())
            (log.text == "breaker open: p" || log.text == "breaker open: q" ||
                     log.text == "breaker open: origin"
                 ? parent_logs
                 : cache_logs) += 1;
        router.handle(ClientCancelled{id});
        router.finish(id, forward.endpoint, AttemptStatus::cancelled, 1);
    }
    EXPECT_GE(parent_logs, 1);
    EXPECT_EQ(cache_logs, 0);
}

}  // namespace
}  // namespace sumackeel::routing
