// Several change logs: order, waits, and which is believed.
#include "membership/sources.h"

#include <gtest/gtest.h>

namespace sumackeel::membership {
namespace {

using base::kSecond;
using Kind = Sources::Step::Kind;
using State = Sources::State;

SourceOptions several(int follow = 1) {
    SourceOptions set;
    set.longest_wait = 5 * kSecond;
    set.jitter = 0.5;
    set.follow = follow;
    set.prove = true;
    return set;
}

std::vector<std::size_t> called(const std::vector<Sources::Step>& steps) {
    std::vector<std::size_t> all;
    for (const auto& step : steps)
        if (step.kind == Kind::call) all.push_back(step.source);
    return all;
}

void follow(Sources& sources, std::size_t source, Micros now, std::int64_t newest) {
    sources.asked(source, now);
    sources.heard(source, now);
    sources.event(source, newest, newest, now);
}

using List = std::vector<std::size_t>;

}  // namespace

TEST(Sources, OneIsCalledAgainAfterAShortFixedWait) {
    Sources sources(1, {}, 1);
    EXPECT_EQ(called(sources.next(0, 3)), List{0});
    sources.asked(0, 10);
    EXPECT_TRUE(sources.heard(0, 20));  // the only one is proven with its first byte
    for (int i = 0; i < 20; ++i) {
        const Micros at = (i + 1) * kSecond;
        sources.gone(0, at, "closed");
        EXPECT_TRUE(sources.next(at + 99'999, 3).empty());
        const auto steps = sources.next(at + 100'000, 3);
        ASSERT_EQ(called(steps), List{0});
        EXPECT_EQ(steps[0].behind, 3);
    }
}

TEST(Sources, TheNextInOrderIsCalledWhenTheFirstFails) {
    Sources sources(3, several(), 1);
    EXPECT_EQ(called(sources.next(0, 5)), List{0});
    EXPECT_EQ(*sources.due(), 0);  // those at rest may be called at any time
    sources.gone(0, 1000, "refused");
    EXPECT_EQ(called(sources.next(1000, 5)), List{1});
    const auto late =
        sources.next(1000 + kSecond + 1, 5);  // no answer in time: dropped, both others are called
    EXPECT_EQ(late[0].kind, Kind::drop);
    EXPECT_EQ(late[0].source, 1u);
}

// Guards: a log that lags behind and only says that it lives would keep an old list for current.
TEST(Sources, OneThatLagsBehindIsNotProvenAndTheNextIsFollowedToo) {
    Sources sources(2, several(), 1);
    const auto steps = sources.next(0, 50);
    EXPECT_EQ(steps[0].behind, 49);  // one that holds 50 has to tell it again
    sources.asked(0, 10);
    EXPECT_FALSE(sources.heard(0, 20));
    EXPECT_EQ(called(sources.next(30, 50)), List{1});
    sources.asked(1, 40);
    EXPECT_FALSE(sources.heard(1, 50));
    EXPECT_EQ(sources.event(1, 50, 50, 60), Sources::Took::known);
    EXPECT_TRUE(sources.heard(1, 70));
    EXPECT_FALSE(sources.heard(0, 80));
    EXPECT_EQ(sources.event(0, 51, 50, 90), Sources::Took::take);  // it caught up
    EXPECT_TRUE(sources.heard(0, 100));
    const auto back = sources.next(110, 51);  // the first in order is enough again
    ASSERT_EQ(back.size(), 1u);
    EXPECT_EQ(back[0].kind, Kind::drop);
    EXPECT_EQ(back[0].source, 1u);
}

// Guards: one that was current when it was called and then stopped growing still says each second that it
// lives.
TEST(Sources, OneThatFallsBehindLaterIsNoLongerProven) {
    Sources sources(2, several(2), 1);
    EXPECT_EQ(called(sources.next(0, 5)), (List{0, 1}));
    follow(sources, 0, 10, 5);
    follow(sources, 1, 10, 5);
    EXPECT_EQ(sources.event(1, 6, 5, kSecond), Sources::Took::take);
    EXPECT_TRUE(sources.heard(0, kSecond + 1));  // they may be a little apart
    EXPECT_TRUE(sources.heard(0, 3 * kSecond - 1));
    EXPECT_FALSE(sources.heard(0, 3 * kSecond));
    EXPECT_TRUE(sources.heard(1, 3 * kSecond));
    EXPECT_EQ(sources.event(0, 6, 6, 4 * kSecond), Sources::Took::known);
    EXPECT_TRUE(sources.heard(0, 4 * kSecond));
}

TEST(Sources, OneThatGoesBackIsNotBelieved) {
    Sources sources(2, several(), 1);
    sources.next(0, 50);
    follow(sources, 0, 10, 50);
    EXPECT_EQ(sources.event(0, 51, 50, 20), Sources::Took::take);
    EXPECT_EQ(sources.event(0, 51, 51, 30), Sources::Took::known);  // written twice
    EXPECT_EQ(sources.event(0, 12, 51, 40), Sources::Took::went_back);
    EXPECT_EQ(sources.event(0, 13, 51, 50), Sources::Took::known);  // said once
    EXPECT_TRUE(sources.health()[0].went_back);
}

// Guards: discovery that flaps each second must not be called ten times a second by every proxy at once.
TEST(Sources, FlappingWaitsGrowWithJitterAndASteadyConnectionEndsThem) {
    Sources sources(1, several(), 7);
    Micros now = 0, last_wait = 0;
    for (int flaps = 0; flaps < 10; ++flaps) {
        ASSERT_EQ(called(sources.next(now, 5)), List{0});
        follow(sources, 0, now, 5);
        now += kSecond;
        sources.gone(0, now, "closed");
        last_wait = *sources.due() - now;
        now = *sources.due();
    }
    EXPECT_GE(last_wait, 2'500'000);
    EXPECT_LE(last_wait, 5 * kSecond);
    EXPECT_EQ(sources.health()[0].failures, 10);
    sources.next(now, 5);
    follow(sources, 0, now, 5);
    for (int s = 1; s <= 11; ++s) sources.heard(0, now + s * kSecond);
    EXPECT_EQ(sources.health()[0].failures, 0);
    Sources other(1, several(), 8);
    other.next(0, 5), other.gone(0, 0, "x"), other.next(*other.due(), 5);
    Sources third(1, several(), 9);
    third.next(0, 5), third.gone(0, 0, "x"), third.next(*third.due(), 5);
    EXPECT_NE(other.health()[0].rest_until, third.health()[0].rest_until);  // not all at once
}

TEST(Sources, ASilentOneIsDropped) {
    Sources sources(1, {}, 1);
    sources.next(0, 0);
    sources.asked(0, 0);
    sources.heard(0, 0);
    EXPECT_TRUE(sources.next(2'500'000, 0).empty());
    const auto steps = sources.next(2'500'001, 0);
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].kind, Kind::drop);
    EXPECT_EQ(sources.health()[0].last_fault, "fell silent");
}

TEST(Sources, AnotherListIsCalledAtOnce) {
    Sources sources(1, several(), 1);
    for (Micros now = 0; now < 100; ++now) sources.next(now, 5), sources.gone(0, now, "refused");
    sources.replace(2);
    EXPECT_EQ(called(sources.next(200, 5)), List{0});
    EXPECT_EQ(sources.health()[0].state, State::calling);
}

}  // namespace sumackeel::membership
