// Tests of the purge log through the router's interface.
#include <gtest/gtest.h>

#include <string>

#include "router_harness.h"

namespace sumackeel::routing {
namespace {

using PurgeLogTest = RouterFixture;

TEST_F(PurgeLogTest, MaxAgeAfterPurgeIsBoundedAndNeverZero) {
    router.handle(Purge{3, 100 * kMillisecond, "x"});
    router.request("r1", "x");
    EXPECT_EQ(router.forwarded().max_age, 100 * kMillisecond);
    const std::string first = router.forwarded().endpoint;
    router.now += 50 * kMillisecond;
    router.finish("r1", first, AttemptStatus::error);
    EXPECT_EQ(router.forwarded().max_age, 150 * kMillisecond);  // applies to the retry as well
    router.handle(Purge{9, 0, ""});
    router.request("r2", "z");
    EXPECT_EQ(router.forwarded().max_age, 0);  // purge of a different group
    router.handle(Purge{3, 0, ""});
    router.request("r3", "z");
    EXPECT_EQ(router.forwarded().max_age, 1);
}

}  // namespace
}  // namespace sumackeel::routing
