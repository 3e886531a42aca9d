// The router as a whole: it is deterministic and ignores events of finished requests.
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
    EXPECT_TRUE(router.actions_of<Reject>().empty() && router.actions_of<Fail>().empty() &&
                router.actions_of<Cancel>().empty());
}

TEST_F(RouterTest, IdenticalEventsGiveIdenticalActions) {
    const auto run_events = [](RouterHarness& one) {
        one.update_endpoints({cache("a"), cache("b"), parent("p"), parent("q")});
        std::string decisions;
        for (int i = 0; i < 200; ++i) {
            one.now += 5 * kMillisecond;
            const std::string id = "r" + std::to_string(i);
            one.request(id, "o" + std::to_string(i % 17));
            for (const Forward& forward : one.actions_of<Forward>()) {
                decisions += forward.endpoint + forward.source + std::to_string(forward.timeout) + ';';
                one.finish(id, forward.endpoint, i % 3 ? AttemptStatus::served : AttemptStatus::error);
                for (const Forward& retry : one.actions_of<Forward>())
                    decisions += retry.endpoint + retry.source + '!';
            }
        }
        return decisions;
    };
    RouterHarness one, two;
    EXPECT_EQ(run_events(one), run_events(two));
}

TEST_F(RouterTest, EventsOfUnknownRequestsAreIgnored) {
    router.finish("unknown", "a", AttemptStatus::served);
    router.finish("unknown", "never listed", AttemptStatus::error);
    router.handle(ClientCancelled{"unknown"});
    router.handle(TimerExpired{987654321});
    EXPECT_TRUE(router.actions_of<Forward>().empty());
}

}  // namespace
}  // namespace sumackeel::routing
