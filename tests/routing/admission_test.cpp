// Behaviour of the admission, seen through the router: events in, actions out.
#include <gtest/gtest.h>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using AdmissionTest = RouterFixture;

TEST_F(AdmissionTest, WithoutCachesRequestIsRejectedWithRetryAfter) {
    router.update_endpoints({parent("p"), origin()});
    router.request("r1", "x");
    ASSERT_EQ(router.all<Reject>().size(), 1u);
    EXPECT_GT(router.all<Reject>()[0].retry_after, 0);
}

TEST_F(AdmissionTest, LateResponsesUnderOverloadAreRejectedWithRetryAfter) {
    int rejected = 0;
    for (int i = 0; i < 200; ++i) {
        router.request("r" + std::to_string(i), "o" + std::to_string(i), 600);
        rejected += static_cast<int>(router.all<Reject>().size());
        for (const Reject& reject : router.all<Reject>()) EXPECT_GT(reject.retry_after, 0);
    }
    EXPECT_GT(rejected, 100);
}

}  // namespace
}  // namespace sumackeel::routing
