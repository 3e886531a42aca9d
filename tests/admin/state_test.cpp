// The operators' board as a value: each call's yes and no, the phases, and the hand-over form.
#include "admin/state.h"

#include <gtest/gtest.h>

#include "admin/api.h"

using namespace sumackeel::admin;

namespace {

State able() {
    State board;
    board.on_started();
    return board;
}

ApiReply call(State& board, std::string_view method, std::string_view path) {
    const IsKnownEndpoint listed = [](const std::string& id) { return id == "s-a" || id == "s-b"; };
    return handle_call(board, {method, path}, listed, {});
}

}  // namespace

TEST(Board, IsReadyOnlyOnceAbleAndNotWhileDrainingOrEnding) {
    State board;
    EXPECT_FALSE(board.is_ready());
    board.on_started();
    EXPECT_TRUE(board.is_ready());
    EXPECT_EQ(board.start_drain(), ChangeResult::accepted);
    EXPECT_FALSE(board.is_ready());
    EXPECT_TRUE(board.is_draining_clients());
    EXPECT_EQ(board.start_drain(), ChangeResult::accepted);  // repeated: harmless
    EXPECT_EQ(board.stop_drain(), ChangeResult::accepted);
    EXPECT_TRUE(board.is_ready());
    EXPECT_FALSE(board.is_draining_clients());
    board.on_shutdown();
    EXPECT_FALSE(board.is_ready());
    EXPECT_TRUE(board.is_draining_clients());
    EXPECT_EQ(board.stop_drain(), ChangeResult::rejected);  // the end is for good
    EXPECT_FALSE(board.is_ready());
}

TEST(Board, BansOnlyWhatWasListedAndLiftsWithOneCall) {
    State board = able();
    EXPECT_EQ(board.ban("s-a", false), ChangeResult::unknown);
    EXPECT_EQ(board.ban("s-a", true), ChangeResult::accepted);
    EXPECT_EQ(board.ban("s-a", false),
              ChangeResult::accepted);  // repeated, even once the list has dropped it
    EXPECT_TRUE(board.is_banned("s-a"));
    EXPECT_EQ(board.unban("s-a", false), ChangeResult::accepted);
    EXPECT_FALSE(board.is_banned("s-a"));
    EXPECT_EQ(board.unban("s-z", false), ChangeResult::unknown);
    EXPECT_EQ(board.ban("../etc", true), ChangeResult::unknown);
    EXPECT_EQ(board.ban(std::string(kMaxIdLength + 1, 'a'), true), ChangeResult::unknown);
}

TEST(Board, RefusesBansBeyondItsTableAndKeepsThoseItHas) {
    State board = able();
    for (std::size_t i = 0; i < kMaxBans; ++i)
        ASSERT_EQ(board.ban("c" + std::to_string(i), true), ChangeResult::accepted);
    EXPECT_EQ(board.ban("one-more", true), ChangeResult::rejected);
    EXPECT_EQ(board.bans().size(), kMaxBans);
}

TEST(Board, HandsOverBansAndDrainAndReadsThemBack) {
    State old = able();
    old.ban("s-a", true);
    old.ban("s-b", true);
    old.start_drain();
    const DecodedState read = decode_state(old.encode());
    ASSERT_TRUE(read.state) << read.error;
    State fresh = able();
    fresh.adopt(*read.state);
    EXPECT_TRUE(fresh.is_banned("s-a"));
    EXPECT_TRUE(fresh.is_banned("s-b"));
    EXPECT_EQ(fresh.phase(), ProcessPhase::draining);
    EXPECT_EQ(fresh.stop_drain(), ChangeResult::accepted);
    EXPECT_TRUE(fresh.is_ready());
}

TEST(Board, PassesOverTornForeignFutureAndForgedFiles) {
    State old = able();
    old.ban("s-a", true);
    const std::string good = old.encode();
    const auto fault_of = [](const std::string& text) {
        const DecodedState read = decode_state(text);
        EXPECT_FALSE(read.state) << text;
        return read.error;
    };
    EXPECT_NE(fault_of(good.substr(0, good.size() - 5)).find("torn"), std::string::npos);
    EXPECT_NE(fault_of("{\"bans\": []}\n").find("not a hand-over"), std::string::npos);
    std::string future = good;
    future.replace(future.find(" 1\n"), 3, " 2\n");
    EXPECT_NE(fault_of(future).find("version 2"), std::string::npos);
    std::string forged = good;
    forged.replace(forged.find("s-a"), 3, "s-b");
    EXPECT_NE(fault_of(forged).find("checksum"), std::string::npos);
    EXPECT_FALSE(fault_of("").empty());
}

TEST(Calls, AnswerEachCallWithItsYesOrNo) {
    State board = able();
    EXPECT_EQ(call(board, "GET", "/ops/readiness").status, 200);
    EXPECT_EQ(call(board, "POST", "/ops/readiness").status, 405);
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/down/s-a").status, 200);
    EXPECT_TRUE(board.is_banned("s-a"));
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/down/s-never").status, 404);
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/down/").status, 400);
    EXPECT_EQ(call(board, "GET", "/ops/pop-caches/down/s-a").status, 405);
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/up/s-a").status, 200);
    EXPECT_FALSE(board.is_banned("s-a"));
    EXPECT_EQ(call(board, "POST", "/ops/drain/start").status, 200);
    EXPECT_EQ(call(board, "GET", "/ops/readiness").status, 503);
    EXPECT_EQ(call(board, "POST", "/ops/drain/stop").status, 200);
    EXPECT_EQ(call(board, "GET", "/ops/readiness?x=1").status, 200);
    EXPECT_EQ(call(board, "GET", "/ops/nothing").status, 404);
    EXPECT_NE(call(board, "GET", "/ops/stats").body.find("gw_ready 1"), std::string::npos);
}
