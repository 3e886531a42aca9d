// Tests of admission through the router's interface.
#include <gtest/gtest.h>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using AdmissionTest = RouterFixture;

TEST_F(AdmissionTest, WithoutCachesRequestIsRejectedWithRetryAfter) {
    router.update_endpoints({parent("p"), origin()});
    router.request("r1", "x");
    ASSERT_EQ(router.actions_of<Reject>().size(), 1u);
    EXPECT_GT(router.actions_of<Reject>()[0].retry_after, 0);
}

TEST_F(AdmissionTest, LateResponsesUnderOverloadAreRejectedWithRetryAfter) {
    int rejected = 0;
    for (int i = 0; i < 200; ++i) {
        router.request("r" + std::to_string(i), "o" + std::to_string(i), 600);
        rejected += static_cast<int>(router.actions_of<Reject>().size());
        for (const Reject& reject : router.actions_of<Reject>()) EXPECT_GT(reject.retry_after, 0);
    }
    EXPECT_GT(rejected, 100);
}

}  // namespace
}  // namespace sumackeel::routing
