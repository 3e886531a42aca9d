// Tests of the administrative state: results of each call, phases, and the handover format.
#include "admin/state.h"

#include <gtest/gtest.h>

#include "admin/api.h"

using namespace sumackeel::admin;

namespace {

State started_state() {
    State state;
    state.on_started();
    return state;
}

ApiReply call(State& state, std::string_view method, std::string_view path) {
    const IsKnownEndpoint is_known = [](const std::string& id) { return id == "s-a" || id == "s-b"; };
    return handle_call(state, {method, path}, is_known, {});
}

}  // namespace

TEST(Board, IsReadyOnlyOnceAbleAndNotWhileDrainingOrEnding) {
    State state;
    EXPECT_FALSE(state.is_ready());
    state.on_started();
    EXPECT_TRUE(state.is_ready());
    EXPECT_EQ(state.start_drain(), ChangeResult::accepted);
    EXPECT_FALSE(state.is_ready());
    EXPECT_TRUE(state.is_draining_clients());
    EXPECT_EQ(state.start_drain(), ChangeResult::accepted);  // repeated call: no effect
    EXPECT_EQ(state.stop_drain(), ChangeResult::accepted);
    EXPECT_TRUE(state.is_ready());
    EXPECT_FALSE(state.is_draining_clients());
    state.on_shutdown();
    EXPECT_FALSE(state.is_ready());
    EXPECT_TRUE(state.is_draining_clients());
    EXPECT_EQ(state.stop_drain(), ChangeResult::rejected);  // shutdown is permanent
    EXPECT_FALSE(state.is_ready());
}

TEST(Board, BansOnlyWhatWasListedAndLiftsWithOneCall) {
    State state = started_state();
    EXPECT_EQ(state.ban("s-a", false), ChangeResult::unknown);
    EXPECT_EQ(state.ban("s-a", true), ChangeResult::accepted);
    EXPECT_EQ(state.ban("s-a", false),
              ChangeResult::accepted);  // repeated call, even after the id is no longer listed
    EXPECT_TRUE(state.is_banned("s-a"));
    EXPECT_EQ(state.unban("s-a", false), ChangeResult::accepted);
    EXPECT_FALSE(state.is_banned("s-a"));
    EXPECT_EQ(state.unban("s-z", false), ChangeResult::unknown);
    EXPECT_EQ(state.ban("../etc", true), ChangeResult::unknown);
    EXPECT_EQ(state.ban(std::string(kMaxIdLength + 1, 'a'), true), ChangeResult::unknown);
}

TEST(Board, RefusesBansBeyondItsTableAndKeepsThoseItHas) {
    State state = started_state();
    for (std::size_t i = 0; i < kMaxBans; ++i)
        ASSERT_EQ(state.ban("c" + std::to_string(i), true), ChangeResult::accepted);
    EXPECT_EQ(state.ban("one-more", true), ChangeResult::rejected);
    EXPECT_EQ(state.bans().size(), kMaxBans);
}

TEST(Board, HandsOverBansAndDrainAndReadsThemBack) {
    State old = started_state();
    old.ban("s-a", true);
    old.ban("s-b", true);
    old.start_drain();
    const DecodedState read = decode_state(old.encode());
    ASSERT_TRUE(read.state) << read.error;
    State fresh = started_state();
    fresh.adopt(*read.state);
    EXPECT_TRUE(fresh.is_banned("s-a"));
    EXPECT_TRUE(fresh.is_banned("s-b"));
    EXPECT_EQ(fresh.phase(), ProcessPhase::draining);
    EXPECT_EQ(fresh.stop_drain(), ChangeResult::accepted);
    EXPECT_TRUE(fresh.is_ready());
}

TEST(Board, PassesOverTornForeignFutureAndForgedFiles) {
    State old = started_state();
    old.ban("s-a", true);
    const std::string good = old.encode();
    const auto error_of = [](const std::string& text) {
        const DecodedState read = decode_state(text);
        EXPECT_FALSE(read.state) << text;
        return read.error;
    };
    EXPECT_NE(error_of(good.substr(0, good.size() - 5)).find("torn"), std::string::npos);
    EXPECT_NE(error_of("{\"bans\": []}\n").find("not a hand-over"), std::string::npos);
    std::string future = good;
    future.replace(future.find(" 1\n"), 3, " 2\n");
    EXPECT_NE(error_of(future).find("version 2"), std::string::npos);
    std::string forged = good;
    forged.replace(forged.find("s-a"), 3, "s-b");
    EXPECT_NE(error_of(forged).find("checksum"), std::string::npos);
    EXPECT_FALSE(error_of("").empty());
}

TEST(Calls, AnswerEachCallWithItsYesOrNo) {
    State state = started_state();
    EXPECT_EQ(call(state, "GET", "/ops/readiness").status, 200);
    EXPECT_EQ(call(state, "POST", "/ops/readiness").status, 405);
    EXPECT_EQ(call(state, "POST", "/ops/pop-caches/down/s-a").status, 200);
    EXPECT_TRUE(state.is_banned("s-a"));
    EXPECT_EQ(call(state, "POST", "/ops/pop-caches/down/s-never").status, 404);
    EXPECT_EQ(call(state, "POST", "/ops/pop-caches/down/").status, 400);
    EXPECT_EQ(call(state, "GET", "/ops/pop-caches/down/s-a").status, 405);
    EXPECT_EQ(call(state, "POST", "/ops/pop-caches/up/s-a").status, 200);
    EXPECT_FALSE(state.is_banned("s-a"));
    EXPECT_EQ(call(state, "POST", "/ops/drain/start").status, 200);
    EXPECT_EQ(call(state, "GET", "/ops/readiness").status, 503);
    EXPECT_EQ(call(state, "POST", "/ops/drain/stop").status, 200);
    EXPECT_EQ(call(state, "GET", "/ops/readiness?x=1").status, 200);
    EXPECT_EQ(call(state, "GET", "/ops/nothing").status, 404);
    EXPECT_NE(call(state, "GET", "/ops/stats").body.find("gw_ready 1"), std::string::npos);
}
