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
    std::uint64_t send(const core::Sending&) override { return ++sent; }
    bool stop(base::Handle) override { return true; }
    bool unbegun(base::Handle) const override { return false; }
    void close_idle(const std::string&) override {}
};

struct Told : core::Asker {
    std::vector<core::Answered> answers;
    void answer(std::uint64_t, core::Reply reply) override { answers.push_back(reply.how); }
};

struct World {
    config::Config config = config::read_config(story::config_text(
        {R"({"host":"s-a","dial":"127.0.0.1:1","site":"edge-1","class":"small","block":1,"health":"SERVING","share":8,"born_ms":0})",
         R"({"host":"s-o","dial":"127.0.0.1:2","site":"coast","class":"origin","block":3,"health":"SERVING","share":8,"born_ms":0})"}));
    base::Clock clock;
    base::Deadlines deadlines;
    Silent upstream;
    Told told;
    core::Core core{config.site.settings, 42, clock, deadlines};

    World() {
        core.attach(upstream);
        nettlethread::ListNews news;
        news.kind = nettlethread::ListKind::full;
        for (const config::Placed& placed : config.known.front().members)
            news.entries.push_back(placed.entry);
        core.tell(std::move(news));
        core.run();
    }
    void take(double size_kb = 40) {
        core::Ask ask;
        ask.service = 0;  // video: 6 s until the client gives up
        ask.id = "00000000000000c1";
        ask.object = "7f3a9c21e0b4d655";
        ask.left = 6'000'000;
        ask.size_kb = size_kb;
        core.take(std::move(ask), told, 1);
        core.run();
    }
};

}  // namespace

TEST(LastWord, AnswersWhatIsOpenByTheTimeTheProcessIsToBeGone) {
    World world;
    world.take();
    const base::Micros now = world.clock.now();
    world.core.last_word_by(now + 1'000'000);
    world.deadlines.sweep(now + 1'100'000);
    ASSERT_EQ(world.told.answers.size(), 1u);
    EXPECT_EQ(world.told.answers.front(), core::Answered::out_of_time);
    EXPECT_EQ(world.core.open_requests(), 0u);
}

TEST(LastWord, BindsRequestsTakenAfterItWasSaid) {
    World world;
    const base::Micros now = world.clock.now();
    world.core.last_word_by(now + 1'000'000);
    world.take();
    world.deadlines.sweep(now + 1'100'000);
    EXPECT_EQ(world.told.answers.size(), 1u);
}

// Seen on an upgrade: clients went on sending on kept connections until the last word, which then cut every
// long video that had just come, 2 s after its client could have had it from the new process.
TEST(LastWord, RefusesAtOnceWhatCanNotEndByThen) {
    World world;
    world.core.last_word_by(world.clock.now() + 500'000);
    const double kb_a_second = world.config.site.settings.pace_kb_per_s;
    world.take(0.1 * kb_a_second);
    EXPECT_EQ(world.upstream.sent, 1);  // 0.1 s at full pace: there is time for it
    world.take(0.6 * kb_a_second);
    EXPECT_EQ(world.upstream.sent, 1);
    ASSERT_EQ(world.told.answers.size(), 1u);
    EXPECT_EQ(world.told.answers.front(), core::Answered::refused);
}

TEST(LastWord, LeavesRequestsAloneWhileNoEndIsNear) {
    World world;
    world.take();
    world.deadlines.sweep(world.clock.now() + 1'100'000);
    EXPECT_TRUE(world.told.answers.empty());
    EXPECT_EQ(world.core.open_requests(), 1u);
}
