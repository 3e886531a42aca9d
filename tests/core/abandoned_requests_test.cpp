// Requests whose client left. Guards against an `enrol` that ran twice: its client closed the connection
// after it was written to a cache, and its id came again on another one.
#include "core/abandoned_requests.h"

#include <gtest/gtest.h>

#include <vector>

#include "core_fixture.h"

using namespace sumackeel;

namespace {

struct RecordingUpstream : IdleUpstream {
    int started = 0;
    bool writes = true;
    std::uint64_t start(const core::AttemptRequest&) override { return ++started; }
    bool not_started(base::Handle) const override { return !writes; }
};

struct AbandonedTest : testing::Test, CoreFixture<RecordingUpstream, RecordingSink> {
    base::Handle submit_enrol(const std::string& id) {
        core::Request request;
        request.class_index = 2;
        request.id = id;
        request.time_left = 3'000'000;
        const base::Handle handle = core.submit(std::move(request), sink, 1);
        core.process_events();
        return handle;
    }
    void leave(base::Handle handle) {
        core.cancel(handle);
        core.process_events();
    }
};

}  // namespace

TEST_F(AbandonedTest, AnIdThatMayHaveRunFailsWhenItComesAgain) {
    leave(submit_enrol("e1"));
    ASSERT_EQ(upstream.started, 1);
    submit_enrol("e1");
    EXPECT_EQ(upstream.started, 1) << "it ran twice";
    EXPECT_EQ(sink.statuses, std::vector{core::ResponseStatus::failed});
    submit_enrol("e2");
    EXPECT_EQ(upstream.started, 2) << "another id";
}

TEST_F(AbandonedTest, AnIdOfWhichNothingWasWrittenIsServed) {
    upstream.writes = false;
    leave(submit_enrol("e1"));
    submit_enrol("e1");
    EXPECT_EQ(upstream.started, 2);
    EXPECT_TRUE(sink.statuses.empty());
}

TEST(AbandonedRequests, AreBoundedAndForgotten) {
    core::AbandonedRequests abandoned;
    for (std::size_t i = 0; i < core::AbandonedRequests::kMaxEntries; ++i)
        abandoned.add(std::to_string(i), 5, 10, 100);
    EXPECT_FALSE(abandoned.has_room(10));
    abandoned.add("7", 3, 10, 100);
    ASSERT_TRUE(abandoned.find("7", 109));
    EXPECT_EQ(abandoned.find("7", 109)->may_have_run_since, 3) << "the earliest";
    EXPECT_FALSE(abandoned.find("7", 110));
    EXPECT_TRUE(abandoned.has_room(110));
}
