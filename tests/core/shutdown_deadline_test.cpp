// The shutdown deadline: requests that are still open when the platform is about to kill the process get a
// response from the core, instead of losing their connection without one.
#include <gtest/gtest.h>

#include <vector>

#include "core_fixture.h"

using namespace sumackeel;

namespace {

// Never ends an attempt, like a pop cache that has stopped responding.
struct UnresponsiveUpstream : IdleUpstream {
    int started = 0;
    std::uint64_t start(const core::AttemptRequest&) override { return ++started; }
};

using LastWordFixture = CoreFixture<UnresponsiveUpstream, RecordingSink>;

}  // namespace

TEST(LastWord, AnswersWhatIsOpenByTheTimeTheProcessIsToBeGone) {
    LastWordFixture fixture;
    fixture.submit();
    const base::Micros now = fixture.clock.now();
    fixture.core.set_shutdown_deadline(now + 1'000'000);
    fixture.deadlines.run_due(now + 1'100'000);
    ASSERT_EQ(fixture.sink.statuses.size(), 1u);
    EXPECT_EQ(fixture.sink.statuses.front(), core::ResponseStatus::deadline_exceeded);
    EXPECT_EQ(fixture.core.open_requests(), 0u);
}

TEST(LastWord, BindsRequestsTakenAfterItWasSaid) {
    LastWordFixture fixture;
    const base::Micros now = fixture.clock.now();
    fixture.core.set_shutdown_deadline(now + 1'000'000);
    fixture.submit();
    fixture.deadlines.run_due(now + 1'100'000);
    EXPECT_EQ(fixture.sink.statuses.size(), 1u);
}

// Without an immediate rejection, clients that keep sending on open connections during an upgrade have every
// long video cut off at the shutdown deadline, 2 s after they could have had it from the new process.
TEST(LastWord, RefusesAtOnceWhatCanNotEndByThen) {
    LastWordFixture fixture;
    fixture.core.set_shutdown_deadline(fixture.clock.now() + 500'000);
    const double kb_a_second = fixture.config.site.settings.transfer_rate_kb_per_s;
    fixture.submit(0.1 * kb_a_second);
    EXPECT_EQ(fixture.upstream.started, 1);  // 0.1 s at the full transfer rate: there is enough time
    fixture.submit(0.6 * kb_a_second);
    EXPECT_EQ(fixture.upstream.started, 1);
    ASSERT_EQ(fixture.sink.statuses.size(), 1u);
    EXPECT_EQ(fixture.sink.statuses.front(), core::ResponseStatus::rejected);
}

TEST(LastWord, LeavesRequestsAloneWhileNoEndIsNear) {
    LastWordFixture fixture;
    fixture.submit();
    fixture.deadlines.run_due(fixture.clock.now() + 1'100'000);
    EXPECT_TRUE(fixture.sink.statuses.empty());
    EXPECT_EQ(fixture.core.open_requests(), 1u);
}
