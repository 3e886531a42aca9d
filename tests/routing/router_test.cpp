// The router as a whole: repeatable, and indifferent to events of requests that are over.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using RouterTest = RouterFixture;

TEST_F(RouterTest, CancelAfterFinishHasNoEffect) {
    router.request("r1", "x");
    const std::string home = router.forwarded().endpoint;
    router.now += 100 * kMillisecond;
    router.finish("r1", home, AttemptStatus::served);
    router.handle(ClientCancelled{"r1"});
    EXPECT_TRUE(router.all<Reject>().empty() && router.all<Fail>().empty() && router.all<Cancel>().empty());
}

TEST_F(RouterTest, IdenticalEventsGiveIdenticalActions) {
    const auto play = [](RouterHarness& one) {
        one.update_endpoints({cache("a"), cache("b"), parent("p"), parent("q")});
        std::string seen;
        for (int i = 0; i < 200; ++i) {
            one.now += 5 * kMillisecond;
            const std::string id = "r" + std::to_string(i);
            one.request(id, "o" + std::to_string(i % 17));
            for (const Forward& forward : one.all<Forward>()) {
                seen += forward.endpoint + forward.source + std::to_string(forward.timeout) + ';';
                one.finish(id, forward.endpoint, i % 3 ? AttemptStatus::served : AttemptStatus::error);
                for (const Forward& again : one.all<Forward>()) seen += again.endpoint + again.source + '!';
            }
        }
        return seen;
    };
    RouterHarness one, two;
    EXPECT_EQ(play(one), play(two));
}

TEST_F(RouterTest, EventsOfUnknownRequestsAreIgnored) {
    router.finish("unknown", "a", AttemptStatus::served);
    router.finish("unknown", "never listed", AttemptStatus::error);
    router.handle(ClientCancelled{"unknown"});
    router.handle(TimerExpired{987654321});
    EXPECT_TRUE(router.all<Forward>().empty());
}

}  // namespace
}  // namespace sumackeel::routing
