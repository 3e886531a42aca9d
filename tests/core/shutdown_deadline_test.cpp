// The shutdown deadline: requests that are still open when the platform is about to kill the process get a
// response from the core, instead of losing their connection without one.
#include <gtest/gtest.h>

#include "../daemon/support.h"
#include "config/config.h"
#include "core/core.h"

using namespace sumackeel;

namespace {

// Never ends an attempt, like a pop cache that has stopped responding.
struct UnresponsiveUpstream : core::Upstream {
    int started = 0;
    std::uint64_t start(const core::AttemptRequest&) override { return ++started; }
    bool cancel(base::Handle) override { return true; }
    bool not_started(base::Handle) const override { return false; }
    void close_idle_connections(const std::string&) override {}
};

struct RecordingSink : core::ResponseSink {
    std::vector<core::ResponseStatus> statuses;
    void on_response(std::uint64_t, core::Response response) override { statuses.push_back(response.status); }
};

struct CoreFixture {
    config::Config config = config::parse_config(story::config_text(
        {R"({"host":"s-a","dial":"127.0.0.1:1","site":"edge-1","class":"small","block":1,"health":"SERVING","share":8,"born_ms":0})",
         R"({"host":"s-o","dial":"127.0.0.1:2","site":"coast","class":"origin","block":3,"health":"SERVING","share":8,"born_ms":0})"}));
    base::Clock clock;
    base::TimerQueue deadlines;
    UnresponsiveUpstream upstream;
    RecordingSink sink;
    core::Core core{config.site.settings, 42, clock, deadlines};

    CoreFixture() {
        core.attach(upstream);
        routing::EndpointUpdate update;
        update.kind = routing::EndpointUpdateKind::full;
        for (const config::LocatedEndpoint& located : config.known.front().endpoints)
            update.endpoints.push_back(located.endpoint);
        core.notify(std::move(update));
        core.process_events();
    }
    void submit(double size_kb = 40) {
        core::Request request;
        request.class_index = 0;  // video: the client's timeout is 6 s
        request.id = "00000000000000c1";
        request.object = "7f3a9c21e0b4d655";
        request.time_left = 6'000'000;
        request.size_kb = size_kb;
        core.submit(std::move(request), sink, 1);
        core.process_events();
    }
};

}  // namespace

TEST(LastWord, AnswersWhatIsOpenByTheTimeTheProcessIsToBeGone) {
    CoreFixture fixture;
    fixture.submit();
    const base::Micros now = fixture.clock.now();
    fixture.core.set_shutdown_deadline(now + 1'000'000);
    fixture.deadlines.run_due(now + 1'100'000);
    ASSERT_EQ(fixture.sink.statuses.size(), 1u);
    EXPECT_EQ(fixture.sink.statuses.front(), core::ResponseStatus::deadline_exceeded);
    EXPECT_EQ(fixture.core.open_requests(), 0u);
}

TEST(LastWord, BindsRequestsTakenAfterItWasSaid) {
    CoreFixture fixture;
    const base::Micros now = fixture.clock.now();
    fixture.core.set_shutdown_deadline(now + 1'000'000);
    fixture.submit();
    fixture.deadlines.run_due(now + 1'100'000);
    EXPECT_EQ(fixture.sink.statuses.size(), 1u);
}

// Without an immediate rejection, clients that keep sending on open connections during an upgrade have every
// long video cut off at the shutdown deadline, 2 s after they could have had it from the new process.
TEST(LastWord, RefusesAtOnceWhatCanNotEndByThen) {
    CoreFixture fixture;
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
    CoreFixture fixture;
    fixture.submit();
    fixture.deadlines.run_due(fixture.clock.now() + 1'100'000);
    EXPECT_TRUE(fixture.sink.statuses.empty());
    EXPECT_EQ(fixture.core.open_requests(), 1u);
}
