// Tests of the eligibility rules through the router's interface.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

TEST(Eligibility, UnsafeRequestThatMayHaveRunIsNotRepeated) {
    Settings settings = plain_settings();
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    router.request("r1", "x");
    router.finish("r1", router.forwarded().endpoint, AttemptStatus::error);
    EXPECT_TRUE(router.actions_of<Forward>().empty());
    EXPECT_TRUE(router.actions_of<Reject>().empty());
    EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
}

TEST(Eligibility, UnsafeRequestThatDidNotRunIsRetried) {
    Settings settings = plain_settings();
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    RouterHarness router(settings);
    router.update_endpoints({cache("a"), cache("b"), parent("p")});
    router.request("r1", "x");
    const std::string first = router.forwarded().endpoint;
    router.finish("r1", first, AttemptStatus::overloaded);
    EXPECT_NE(router.forwarded().endpoint, first);
}

TEST(Eligibility, KeyedRequestStaysInScopeAndWindow) {
    Settings settings = plain_settings();
    settings.classes[0].retry_safety = RetrySafety::with_idempotency_key;
    settings.classes[0].idempotency_scope = IdempotencyScope::cell;
    settings.classes[0].idempotency_window = 2 * kSecond;
    for (const bool in_window : {true, false}) {
        RouterHarness router(settings);
        std::vector<Endpoint> entries = {cache("a"), cache("b"), cache("c"), cache("d"), parent("p")};
        entries[0].cell = entries[1].cell = 1;
        entries[2].cell = entries[3].cell = 2;
        router.update_endpoints(entries);
        router.request("r1", "x");
        const std::string first = router.forwarded().endpoint;
        router.now += in_window ? kSecond : 2'100 * kMillisecond;
        router.finish("r1", first, AttemptStatus::error);
        if (in_window) {
            const bool low = first == "a" || first == "b";
            const std::string second = router.forwarded().endpoint;
            EXPECT_EQ(low, second == "a" || second == "b");
        } else {
            EXPECT_TRUE(router.actions_of<Forward>().empty());
            EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
        }
    }
}

}  // namespace
}  // namespace sumackeel::routing
