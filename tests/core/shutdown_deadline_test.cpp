// The core's last word at the end of a process: what the module has not answered by the time the platform
// kills the process is answered by the core, never left to die with its connection.
#include <gtest/gtest.h>

#include "../daemon/support.h"
#include "config/config.h"
#include "core/core.h"

using namespace sumackeel;

namespace {

// Carries nothing and never ends an attempt, as a cache that went silent.
struct Silent : core::Upstream {
    int sent = 0;
    std::uint64_t start(const core::AttemptRequest&) override { return ++sent; }
    bool cancel(base::Handle) override { return true; }
    bool not_started(base::Handle) const override { return false; }
    void close_idle_connections(const std::string&) override {}
};

struct Told : core::ResponseSink {
    std::vector<core::ResponseStatus> answers;
    void on_response(std::uint64_t, core::Response reply) override { answers.push_back(reply.status); }
};

struct World {
    config::Config config = config::parse_config(story::config_text(
        {R"({"host":"s-a","dial":"127.0.0.1:1","site":"edge-1","class":"small","block":1,"health":"SERVING","share":8,"born_ms":0})",
         R"({"host":"s-o","dial":"127.0.0.1:2","site":"coast","class":"origin","block":3,"health":"SERVING","share":8,"born_ms":0})"}));
    base::Clock clock;
    base::TimerQueue deadlines;
    Silent upstream;
    Told told;
    core::Core core{config.site.settings, 42, clock, deadlines};

    World() {
        core.attach(upstream);
        routing::EndpointUpdate news;
        news.kind = routing::EndpointUpdateKind::full;
        for (const config::LocatedEndpoint& placed : config.known.front().endpoints)
            news.endpoints.push_back(placed.endpoint);
        core.notify(std::move(news));
        core.process_events();
    }
    void take(double size_kb = 40) {
        core::Request ask;
        ask.class_index = 0;  // video: 6 s until the client gives up
        ask.id = "00000000000000c1";
        ask.object = "7f3a9c21e0b4d655";
        ask.time_left = 6'000'000;
        ask.size_kb = size_kb;
        core.submit(std::move(ask), told, 1);
        core.process_events();
    }
};

}  // namespace

TEST(LastWord, AnswersWhatIsOpenByTheTimeTheProcessIsToBeGone) {
    World world;
    world.take();
    const base::Micros now = world.clock.now();
    world.core.set_shutdown_deadline(now + 1'000'000);
    world.deadlines.run_due(now + 1'100'000);
    ASSERT_EQ(world.told.answers.size(), 1u);
    EXPECT_EQ(world.told.answers.front(), core::ResponseStatus::deadline_exceeded);
    EXPECT_EQ(world.core.open_requests(), 0u);
}

TEST(LastWord, BindsRequestsTakenAfterItWasSaid) {
    World world;
    const base::Micros now = world.clock.now();
    world.core.set_shutdown_deadline(now + 1'000'000);
    world.take();
    world.deadlines.run_due(now + 1'100'000);
    EXPECT_EQ(world.told.answers.size(), 1u);
}

// Seen on an upgrade: clients went on sending on kept connections until the last word, which then cut every
// long video that had just come, 2 s after its client could have had it from the new process.
TEST(LastWord, RefusesAtOnceWhatCanNotEndByThen) {
    World world;
    world.core.set_shutdown_deadline(world.clock.now() + 500'000);
    const double kb_a_second = world.config.site.settings.transfer_rate_kb_per_s;
    world.take(0.1 * kb_a_second);
    EXPECT_EQ(world.upstream.sent, 1);  // 0.1 s at full pace: there is time for it
    world.take(0.6 * kb_a_second);
    EXPECT_EQ(world.upstream.sent, 1);
    ASSERT_EQ(world.told.answers.size(), 1u);
    EXPECT_EQ(world.told.answers.front(), core::ResponseStatus::rejected);
}

TEST(LastWord, LeavesRequestsAloneWhileNoEndIsNear) {
    World world;
    world.take();
    world.deadlines.run_due(world.clock.now() + 1'100'000);
    EXPECT_TRUE(world.told.answers.empty());
    EXPECT_EQ(world.core.open_requests(), 1u);
}
