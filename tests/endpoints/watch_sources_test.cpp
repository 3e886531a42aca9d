// Several change logs: their order, the waits before reconnecting, and which are proven.
#include "endpoints/watch_sources.h"

#include <gtest/gtest.h>

namespace sumackeel::endpoints {
namespace {

using base::kSecond;
using Kind = WatchSources::Step::Kind;
using State = WatchSources::State;

WatchOptions options_with_proof(int follow = 1) {
    WatchOptions options;
    options.longest_wait = 5 * kSecond;
    options.jitter = 0.5;
    options.follow = follow;
    options.require_proof = true;
    return options;
}

std::vector<std::size_t> called_sources(const std::vector<WatchSources::Step>& steps) {
    std::vector<std::size_t> all;
    for (const auto& step : steps)
        if (step.kind == Kind::call) all.push_back(step.source);
    return all;
}

void follow(WatchSources& sources, std::size_t source, Micros now, std::int64_t newest) {
    sources.on_connected(source, now);
    sources.on_data(source, now);
    sources.on_event(source, newest, newest, now);
}

using Indices = std::vector<std::size_t>;

}  // namespace

TEST(Sources, OneIsCalledAgainAfterAShortFixedWait) {
    WatchSources sources(1, {}, 1);
    EXPECT_EQ(called_sources(sources.next_steps(0, 3)), Indices{0});
    sources.on_connected(0, 10);
    EXPECT_TRUE(sources.on_data(0, 20));  // a single source is proven by its first byte
    for (int i = 0; i < 20; ++i) {
        const Micros at = (i + 1) * kSecond;
        sources.on_disconnected(0, at, "closed");
        EXPECT_TRUE(sources.next_steps(at + 99'999, 3).empty());
        const auto steps = sources.next_steps(at + 100'000, 3);
        ASSERT_EQ(called_sources(steps), Indices{0});
        EXPECT_EQ(steps[0].behind, 3);
    }
}

TEST(Sources, TheNextInOrderIsCalledWhenTheFirstFails) {
    WatchSources sources(3, options_with_proof(), 1);
    EXPECT_EQ(called_sources(sources.next_steps(0, 5)), Indices{0});
    EXPECT_EQ(*sources.next_deadline(), 0);  // resting sources may be called at any time
    sources.on_disconnected(0, 1000, "refused");
    EXPECT_EQ(called_sources(sources.next_steps(1000, 5)), Indices{1});
    const auto late =
        sources.next_steps(1000 + kSecond + 1, 5);  // response timeout: dropped, and both others are called
    EXPECT_EQ(late[0].kind, Kind::drop);
    EXPECT_EQ(late[0].source, 1u);
}

// Guards against a change log that lags behind, but is alive, confirming an outdated list.
TEST(Sources, OneThatLagsBehindIsNotProvenAndTheNextIsFollowedToo) {
    WatchSources sources(2, options_with_proof(), 1);
    const auto steps = sources.next_steps(0, 50);
    EXPECT_EQ(steps[0].behind, 49);  // a source that has 50 must send it again
    sources.on_connected(0, 10);
    EXPECT_FALSE(sources.on_data(0, 20));
    EXPECT_EQ(called_sources(sources.next_steps(30, 50)), Indices{1});
    sources.on_connected(1, 40);
    EXPECT_FALSE(sources.on_data(1, 50));
    EXPECT_EQ(sources.on_event(1, 50, 50, 60), WatchSources::EventResult::duplicate);
    EXPECT_TRUE(sources.on_data(1, 70));
    EXPECT_FALSE(sources.on_data(0, 80));
    EXPECT_EQ(sources.on_event(0, 51, 50, 90), WatchSources::EventResult::apply);  // it has caught up
    EXPECT_TRUE(sources.on_data(0, 100));
    const auto went_back = sources.next_steps(110, 51);  // the first in order suffices again
    ASSERT_EQ(went_back.size(), 1u);
    EXPECT_EQ(went_back[0].kind, Kind::drop);
    EXPECT_EQ(went_back[0].source, 1u);
}

// Guards against a source that was current when it was called and then stopped receiving events, but still
// sends a sign of life each second.
TEST(Sources, OneThatFallsBehindLaterIsNoLongerProven) {
    WatchSources sources(2, options_with_proof(2), 1);
    EXPECT_EQ(called_sources(sources.next_steps(0, 5)), (Indices{0, 1}));
    follow(sources, 0, 10, 5);
    follow(sources, 1, 10, 5);
    EXPECT_EQ(sources.on_event(1, 6, 5, kSecond), WatchSources::EventResult::apply);
    EXPECT_TRUE(sources.on_data(0, kSecond + 1));  // within the allowed lag
    EXPECT_TRUE(sources.on_data(0, 3 * kSecond - 1));
    EXPECT_FALSE(sources.on_data(0, 3 * kSecond));
    EXPECT_TRUE(sources.on_data(1, 3 * kSecond));
    EXPECT_EQ(sources.on_event(0, 6, 6, 4 * kSecond), WatchSources::EventResult::duplicate);
    EXPECT_TRUE(sources.on_data(0, 4 * kSecond));
}

TEST(Sources, OneThatGoesBackIsNotBelieved) {
    WatchSources sources(2, options_with_proof(), 1);
    sources.next_steps(0, 50);
    follow(sources, 0, 10, 50);
    EXPECT_EQ(sources.on_event(0, 51, 50, 20), WatchSources::EventResult::apply);
    EXPECT_EQ(sources.on_event(0, 51, 51, 30), WatchSources::EventResult::duplicate);  // sent twice
    EXPECT_EQ(sources.on_event(0, 12, 51, 40), WatchSources::EventResult::regressed);
    EXPECT_EQ(sources.on_event(0, 13, 51, 50), WatchSources::EventResult::duplicate);  // reported once
    EXPECT_TRUE(sources.health()[0].regressed);
}

// Guards against every proxy reconnecting ten times a second at the same moments when discovery flaps.
TEST(Sources, FlappingWaitsGrowWithJitterAndASteadyConnectionEndsThem) {
    WatchSources sources(1, options_with_proof(), 7);
    Micros now = 0, last_wait = 0;
    for (int flaps = 0; flaps < 10; ++flaps) {
        ASSERT_EQ(called_sources(sources.next_steps(now, 5)), Indices{0});
        follow(sources, 0, now, 5);
        now += kSecond;
        sources.on_disconnected(0, now, "closed");
        last_wait = *sources.next_deadline() - now;
        now = *sources.next_deadline();
    }
    EXPECT_GE(last_wait, 2'500'000);
    EXPECT_LE(last_wait, 5 * kSecond);
    EXPECT_EQ(sources.health()[0].failures, 10);
    sources.next_steps(now, 5);
    follow(sources, 0, now, 5);
    for (int s = 1; s <= 11; ++s) sources.on_data(0, now + s * kSecond);
    EXPECT_EQ(sources.health()[0].failures, 0);
    WatchSources other(1, options_with_proof(), 8);
    other.next_steps(0, 5), other.on_disconnected(0, 0, "x"), other.next_steps(*other.next_deadline(), 5);
    WatchSources third(1, options_with_proof(), 9);
    third.next_steps(0, 5), third.on_disconnected(0, 0, "x"), third.next_steps(*third.next_deadline(), 5);
    EXPECT_NE(other.health()[0].retry_at, third.health()[0].retry_at);  // jitter
}

TEST(Sources, ASilentOneIsDropped) {
    WatchSources sources(1, {}, 1);
    sources.next_steps(0, 0);
    sources.on_connected(0, 0);
    sources.on_data(0, 0);
    EXPECT_TRUE(sources.next_steps(2'500'000, 0).empty());
    const auto steps = sources.next_steps(2'500'001, 0);
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].kind, Kind::drop);
    EXPECT_EQ(sources.health()[0].last_fault, "fell silent");
}

TEST(Sources, AnotherListIsCalledAtOnce) {
    WatchSources sources(1, options_with_proof(), 1);
    for (Micros now = 0; now < 100; ++now)
        sources.next_steps(now, 5), sources.on_disconnected(0, now, "refused");
    sources.replace(2);
    EXPECT_EQ(called_sources(sources.next_steps(200, 5)), Indices{0});
    EXPECT_EQ(sources.health()[0].state, State::calling);
}

// Guards against a change log that began anew with fewer events being waited for in vain (review/6).
TEST(Sources, TheOnlyOneThatHasLessThanIsKnownBeganAnew) {
    WatchSources sources(1, options_with_proof(), 1);
    EXPECT_EQ(called_sources(sources.next_steps(0, 50)), Indices{0});
    sources.on_connected(0, 10);
    EXPECT_FALSE(sources.on_data(0, 20));
    EXPECT_TRUE(sources.next_steps(500'019, 50).empty());
    const auto steps = sources.next_steps(*sources.next_deadline(), 50);
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].kind, Kind::restart_numbering);
    EXPECT_TRUE(sources.next_steps(600'000, 50).empty()) << "said once";
    sources.restart_numbering();
    sources.replace(1);
    const auto again = sources.next_steps(600'000, 0);
    ASSERT_EQ(called_sources(again), Indices{0});
    EXPECT_EQ(again[0].behind, 0);
    sources.on_connected(0, 600'010);
    EXPECT_EQ(sources.on_event(0, 1, 0, 600'020), WatchSources::EventResult::apply);
    EXPECT_TRUE(sources.on_data(0, 600'030));
}

TEST(Sources, OneOfSeveralThatHasLessIsAskedForAllItHasOnce) {
    WatchSources sources(2, options_with_proof(), 1);
    sources.next_steps(0, 50);
    sources.on_connected(0, 10);
    EXPECT_FALSE(sources.on_data(0, 20));
    EXPECT_EQ(called_sources(sources.next_steps(30, 50)), Indices{1});
    follow(sources, 1, 40, 50);
    EXPECT_TRUE(sources.is_other_proven(0));
    EXPECT_FALSE(sources.is_other_proven(1));
    const auto steps = sources.next_steps(500'020, 50);
    ASSERT_EQ(called_sources(steps), Indices{0});
    EXPECT_EQ(steps[0].behind, 0);
    sources.on_connected(0, 500'030);
    sources.on_event(0, 3, 50, 500'040);
    EXPECT_FALSE(sources.on_data(0, 500'050));
    EXPECT_TRUE(called_sources(sources.next_steps(1'500'000, 50)).empty());
}

}  // namespace sumackeel::endpoints
