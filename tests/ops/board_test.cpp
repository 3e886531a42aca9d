// The operators' board as a value: each call's yes and no, the phases, and the hand-over form.
#include "ops/board.h"

#include <gtest/gtest.h>

#include "ops/calls.h"

using namespace sumackeel::ops;

namespace {

Board able() {
    Board board;
    board.able();
    return board;
}

Reply call(Board& board, std::string_view method, std::string_view path) {
    const Listed listed = [](const std::string& id) { return id == "s-a" || id == "s-b"; };
    return take_call(board, {method, path}, listed, {});
}

}  // namespace

TEST(Board, IsReadyOnlyOnceAbleAndNotWhileDrainingOrEnding) {
    Board board;
    EXPECT_FALSE(board.ready());
    board.able();
    EXPECT_TRUE(board.ready());
    EXPECT_EQ(board.drain_start(), Said::yes);
    EXPECT_FALSE(board.ready());
    EXPECT_TRUE(board.sending_away());
    EXPECT_EQ(board.drain_start(), Said::yes);  // repeated: harmless
    EXPECT_EQ(board.drain_stop(), Said::yes);
    EXPECT_TRUE(board.ready());
    EXPECT_FALSE(board.sending_away());
    board.end();
    EXPECT_FALSE(board.ready());
    EXPECT_TRUE(board.sending_away());
    EXPECT_EQ(board.drain_stop(), Said::refused);  // the end is for good
    EXPECT_FALSE(board.ready());
}

TEST(Board, BansOnlyWhatWasListedAndLiftsWithOneCall) {
    Board board = able();
    EXPECT_EQ(board.ban("s-a", false), Said::unknown);
    EXPECT_EQ(board.ban("s-a", true), Said::yes);
    EXPECT_EQ(board.ban("s-a", false), Said::yes);  // repeated, even once the list has dropped it
    EXPECT_TRUE(board.banned("s-a"));
    EXPECT_EQ(board.lift("s-a", false), Said::yes);
    EXPECT_FALSE(board.banned("s-a"));
    EXPECT_EQ(board.lift("s-z", false), Said::unknown);
    EXPECT_EQ(board.ban("../etc", true), Said::unknown);
    EXPECT_EQ(board.ban(std::string(kLongestId + 1, 'a'), true), Said::unknown);
}

TEST(Board, RefusesBansBeyondItsTableAndKeepsThoseItHas) {
    Board board = able();
    for (std::size_t i = 0; i < kMostBans; ++i)
        ASSERT_EQ(board.ban("c" + std::to_string(i), true), Said::yes);
    EXPECT_EQ(board.ban("one-more", true), Said::refused);
    EXPECT_EQ(board.bans().size(), kMostBans);
}

TEST(Board, HandsOverBansAndDrainAndReadsThemBack) {
    Board old = able();
    old.ban("s-a", true);
    old.ban("s-b", true);
    old.drain_start();
    const Read read = read_hand_over(old.hand_over());
    ASSERT_TRUE(read.board) << read.fault;
    Board fresh = able();
    fresh.take_over(*read.board);
    EXPECT_TRUE(fresh.banned("s-a"));
    EXPECT_TRUE(fresh.banned("s-b"));
    EXPECT_EQ(fresh.phase(), Phase::draining);
    EXPECT_EQ(fresh.drain_stop(), Said::yes);
    EXPECT_TRUE(fresh.ready());
}

TEST(Board, PassesOverTornForeignFutureAndForgedFiles) {
    Board old = able();
    old.ban("s-a", true);
    const std::string good = old.hand_over();
    const auto fault_of = [](const std::string& text) {
        const Read read = read_hand_over(text);
        EXPECT_FALSE(read.board) << text;
        return read.fault;
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
    Board board = able();
    EXPECT_EQ(call(board, "GET", "/ops/readiness").status, 200);
    EXPECT_EQ(call(board, "POST", "/ops/readiness").status, 405);
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/down/s-a").status, 200);
    EXPECT_TRUE(board.banned("s-a"));
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/down/s-never").status, 404);
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/down/").status, 400);
    EXPECT_EQ(call(board, "GET", "/ops/pop-caches/down/s-a").status, 405);
    EXPECT_EQ(call(board, "POST", "/ops/pop-caches/up/s-a").status, 200);
    EXPECT_FALSE(board.banned("s-a"));
    EXPECT_EQ(call(board, "POST", "/ops/drain/start").status, 200);
    EXPECT_EQ(call(board, "GET", "/ops/readiness").status, 503);
    EXPECT_EQ(call(board, "POST", "/ops/drain/stop").status, 200);
    EXPECT_EQ(call(board, "GET", "/ops/readiness?x=1").status, 200);
    EXPECT_EQ(call(board, "GET", "/ops/nothing").status, 404);
    EXPECT_NE(call(board, "GET", "/ops/stats").body.find("gw_ready 1"), std::string::npos);
}
