// Several change logs: their order, the waits before reconnecting, and which are proven.
#include "endpoints/watch_sources.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

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

// Passes each event to the newest call of its source.
class NewestCalls : public WatchSources {
  public:
    using WatchSources::WatchSources;
    std::vector<Step> next_steps(Micros now, std::int64_t newest) {
        auto steps = WatchSources::next_steps(now, newest);
        for (const Step& step : steps)
            if (step.kind == Kind::call) calls_[step.source] = step.call;
        return steps;
    }
    void on_connected(std::size_t source, Micros now) {
        WatchSources::on_connected(source, calls_[source], now);
    }
    bool on_data(std::size_t source, Micros now) {
        return WatchSources::on_data(source, calls_[source], now);
    }
    EventResult on_event(std::size_t source, std::int64_t sequence, std::int64_t newest, Micros now) {
        return WatchSources::on_event(source, calls_[source], sequence, newest, now);
    }
    void on_disconnected(std::size_t source, Micros now, const char* reason) {
        WatchSources::on_disconnected(source, calls_[source], now, reason);
    }

  private:
    std::map<std::size_t, CallId> calls_;
};

void follow(NewestCalls& sources, std::size_t source, Micros now, std::int64_t newest) {
    sources.on_connected(source, now);
    sources.on_data(source, now);
    sources.on_event(source, newest, newest, now);
}

using Indices = std::vector<std::size_t>;

// When a log answers its n-th call, counted from 0; nullopt: never.
using AnswersAfter = std::function<std::optional<Micros>(int call)>;

AnswersAfter always(Micros after) {
    return [after](int) { return after; };
}
std::optional<Micros> never(int) {
    return std::nullopt;
}

// Change logs on a virtual clock. Once a call is answered it gets a comment each second.
class VirtualLogs {
  public:
    VirtualLogs(std::vector<AnswersAfter> logs, WatchOptions options = {})
        : answers_after_(std::move(logs)),
          made_(answers_after_.size()),
          sources_(answers_after_.size(), options, 1) {}

    void run_until(Micros end) {
        for (; now_ < end; now_ += kStep) {
            carry_out();
            for (const CallId id : due_calls()) send(id);
            carry_out();
            most_open_ = std::max(most_open_, open_.size());
        }
    }
    // The time at which the log is followed; nullopt: not by `end`.
    std::optional<Micros> followed_by(Micros end, std::size_t log = 0) {
        while (now_ < end && !is_followed(log)) run_until(now_ + kStep);
        return now_ < end ? std::optional(now_) : std::nullopt;
    }
    // Followed, and an event has come on the call.
    bool is_followed(std::size_t log) const {
        return health(log).state == State::following && health(log).highest_on_connection > 0;
    }
    void send_heads_at_once() { heads_at_once_ = true; }
    void silence_open_calls() {
        for (auto& [id, call] : open_) call.next_byte.reset();
    }
    void answer_new_calls(std::size_t log, AnswersAfter answers_after) {
        answers_after_[log] = std::move(answers_after);
    }
    Micros now() const { return now_; }
    int made(std::size_t log = 0) const { return made_[log]; }
    std::size_t most_open() const { return most_open_; }
    const WatchSources::Health& health(std::size_t log = 0) const { return sources_.health()[log]; }

  private:
    static constexpr Micros kStep = 10'000;
    struct Open {
        std::size_t log;
        std::optional<Micros> next_byte;
    };
    void carry_out() {
        for (const auto& step : sources_.next_steps(now_, 1)) {
            if (step.kind == Kind::drop) {
                EXPECT_EQ(open_.erase(step.call), 1u);
            }
            if (step.kind != Kind::call) continue;
            const auto after = answers_after_[step.source](made_[step.source]++);
            open_[step.call] = {step.source, after ? std::optional(now_ + *after) : std::nullopt};
            sources_.on_connected(step.source, step.call, now_);
            if (heads_at_once_) sources_.on_head(step.source, step.call, now_);
        }
    }
    std::vector<CallId> due_calls() const {
        std::vector<CallId> due;
        for (const auto& [id, call] : open_)
            if (call.next_byte && *call.next_byte <= now_) due.push_back(id);
        return due;
    }
    void send(CallId id) {
        open_[id].next_byte = now_ + kSecond;
        sources_.on_event(open_[id].log, id, 1, 1, now_);
    }

    std::vector<AnswersAfter> answers_after_;
    std::vector<int> made_;
    WatchSources sources_;
    std::map<CallId, Open> open_;
    std::size_t most_open_ = 0;
    Micros now_ = 0;
    bool heads_at_once_ = false;
};

}  // namespace

TEST(Sources, OneIsCalledAgainAfterAShortFixedWait) {
    NewestCalls sources(1, {}, 1);
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
    NewestCalls sources(3, options_with_proof(), 1);
    EXPECT_EQ(called_sources(sources.next_steps(0, 5)), Indices{0});
    EXPECT_EQ(*sources.next_deadline(), 0);  // resting sources may be called at any time
    sources.on_disconnected(0, 1000, "refused");
    EXPECT_EQ(called_sources(sources.next_steps(1000, 5)), Indices{1});
    // Response timeout: both others are called, and the one that waits is kept.
    const auto late = sources.next_steps(1000 + kSecond + 1, 5);
    EXPECT_EQ(called_sources(late), (Indices{0, 2}));
    EXPECT_EQ(late.size(), 2u);
    EXPECT_EQ(sources.health()[1].last_fault, "response timeout");
    EXPECT_EQ(sources.pending_count(1), 1u);
}

// Guards against a change log that lags behind, but is alive, confirming an outdated list.
TEST(Sources, OneThatLagsBehindIsNotProvenAndTheNextIsFollowedToo) {
    NewestCalls sources(2, options_with_proof(), 1);
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
    NewestCalls sources(2, options_with_proof(2), 1);
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
    NewestCalls sources(2, options_with_proof(), 1);
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
    NewestCalls sources(1, options_with_proof(), 7);
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
    NewestCalls other(1, options_with_proof(), 8);
    other.next_steps(0, 5), other.on_disconnected(0, 0, "x"), other.next_steps(*other.next_deadline(), 5);
    NewestCalls third(1, options_with_proof(), 9);
    third.next_steps(0, 5), third.on_disconnected(0, 0, "x"), third.next_steps(*third.next_deadline(), 5);
    EXPECT_NE(other.health()[0].retry_at, third.health()[0].retry_at);  // jitter
}

// What it says after that proves nothing: its events may have been lost. It is dropped for the next answer.
TEST(Sources, ASilentOneIsCalledAgainAndKeptUntilThatIsAnswered) {
    WatchSources sources(1, {}, 1);
    const CallId silent = sources.next_steps(0, 0)[0].call;
    sources.on_connected(0, silent, 0);
    sources.on_data(0, silent, 0);
    EXPECT_TRUE(sources.next_steps(2'500'000, 0).empty());
    EXPECT_TRUE(sources.next_steps(2'500'001, 0).empty());
    EXPECT_EQ(sources.health()[0].last_fault, "fell silent");
    EXPECT_FALSE(sources.health()[0].proven);
    const auto steps = sources.next_steps(2'600'001, 0);
    ASSERT_EQ(called_sources(steps), Indices{0});
    EXPECT_EQ(steps.size(), 1u);
    EXPECT_FALSE(sources.on_data(0, silent, 2'700'000));
    EXPECT_EQ(sources.on_event(0, silent, 1, 0, 2'700'000), WatchSources::EventResult::apply);
    EXPECT_TRUE(sources.on_data(0, steps[0].call, 2'800'000));
    const auto dropped = sources.next_steps(2'800'000, 1);
    ASSERT_EQ(dropped.size(), 1u);
    EXPECT_EQ(dropped[0].kind, Kind::drop);
    EXPECT_EQ(dropped[0].call, silent);
}

TEST(Sources, AnotherListIsCalledAtOnce) {
    NewestCalls sources(1, options_with_proof(), 1);
    for (Micros now = 0; now < 100; ++now)
        sources.next_steps(now, 5), sources.on_disconnected(0, now, "refused");
    sources.replace(2);
    EXPECT_EQ(called_sources(sources.next_steps(200, 5)), Indices{0});
    EXPECT_EQ(sources.health()[0].state, State::calling);
}

// Guards against a change log that began anew with fewer events being waited for in vain (review/6).
TEST(Sources, TheOnlyOneThatHasLessThanIsKnownBeganAnew) {
    NewestCalls sources(1, options_with_proof(), 1);
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
    NewestCalls sources(2, options_with_proof(), 1);
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

// Guards against calls that are given up before their answer, each time anew (review/7).
TEST(Sources, LateAnswersAreHeardAtTheStartAndAfterASilence) {
    std::mt19937 random(7);
    struct Case {
        const char* name;
        AnswersAfter answers_after;
        Micros heard_within;
    };
    const Case cases[] = {
        {"0.9 s", always(900'000), 900'000},
        {"1.5 s", always(1'500'000), 1'500'000},
        {"3 s", always(3 * kSecond), 3 * kSecond},
        {"6.5 s", always(6'500'000), 6'500'000},
        {"40 s", always(40 * kSecond), 40 * kSecond},
        {"ever later", [](int call) { return (call + 1) * 1'500'000; }, 9 * kSecond},
        {"at random",
         [&](int) { return std::uniform_int_distribution<Micros>(200'000, 4 * kSecond)(random); },
         4 * kSecond},
        {"every other one never",
         [](int call) { return call % 2 == 0 ? std::nullopt : std::optional<Micros>(1'500'000); }, 4'800'000},
        {"two of three never",
         [](int call) { return call % 3 < 2 ? std::nullopt : std::optional<Micros>(1'500'000); },
         7 * kSecond}};
    const auto check = [](const Case& one, bool heads_at_once) {
        SCOPED_TRACE(one.name);
        SCOPED_TRACE(heads_at_once);
        VirtualLogs logs({one.answers_after});
        if (heads_at_once) logs.send_heads_at_once();
        EXPECT_TRUE(logs.followed_by(one.heard_within + 20'000));
        logs.run_until(logs.now() + 15 * kSecond);
        logs.silence_open_calls();
        logs.run_until(logs.now() + 2'600'000);
        EXPECT_EQ(logs.health().state, State::silent) << "noticed in time";
        EXPECT_TRUE(logs.followed_by(logs.now() + one.heard_within + 150'000));
        EXPECT_LE(logs.most_open(), PendingCalls::kMaxPending + 1);
    };
    for (const Case& one : cases) {
        check(one, false);
        check(one, true);
    }
}

// Some calls are never answered, the others late: whichever those are, one is kept for long enough.
TEST(Sources, CallsNextToDeadOnesAreKeptForLongEnough) {
    for (const Micros late : {6'500'000, 15'000'000}) {
        for (unsigned seed = 0; seed < 50; ++seed) {
            SCOPED_TRACE(seed);
            std::mt19937 random(seed);
            VirtualLogs logs(
                {[&](int) { return random() % 2 == 0 ? std::nullopt : std::optional<Micros>(late); }});
            EXPECT_TRUE(logs.followed_by(12 * late));
        }
    }
}

TEST(Sources, ALogThatNeverAnswersIsCalledAtABoundedRateAndHeardOnceItRecovers) {
    VirtualLogs logs({never});
    logs.run_until(60 * kSecond);
    EXPECT_LE(logs.made(), 30);
    EXPECT_LE(logs.most_open(), PendingCalls::kMaxPending);
    EXPECT_EQ(logs.health().given_up, static_cast<std::uint64_t>(logs.made()) - PendingCalls::kMaxPending);
    logs.answer_new_calls(0, always(1'000));
    EXPECT_TRUE(logs.followed_by(logs.now() + 2'200'000));
    logs.run_until(logs.now() + 11 * kSecond);
    EXPECT_EQ(logs.health().failures, 0);
    logs.silence_open_calls();
    logs.run_until(logs.now() + 2'600'000 + 200'000);
    EXPECT_EQ(logs.health().state, State::following) << "its calls are answered in time again";
}

TEST(Sources, WhereSocketsAreShortTheOldestCallWaitsBesideTheNewest) {
    PendingCalls pending;
    for (CallId id = 1; id <= PendingCalls::kMaxPending; ++id)
        EXPECT_TRUE(
            pending.add({id, static_cast<Micros>(id) * kSecond, false}, PendingCalls::kMaxPending).empty());
    EXPECT_EQ(pending.add({9, 9 * kSecond, false}, PendingCalls::kMinPending).size(), 4u);
    EXPECT_EQ(pending.size(), 2u);
    EXPECT_TRUE(pending.contains(1) && pending.contains(9));
}

TEST(Sources, OfTwoTheOneThatIsSlowIsFollowedOnceItAnswersAndTheOtherUntilThen) {
    VirtualLogs logs({always(3 * kSecond), always(10'000)}, options_with_proof());
    EXPECT_LE(logs.followed_by(2 * kSecond, 1).value_or(-1), 1'050'000);
    EXPECT_LE(logs.followed_by(10 * kSecond, 0).value_or(-1), 3'050'000);
    logs.run_until(logs.now() + 100'000);
    EXPECT_EQ(logs.health(1).state, State::resting) << "not needed";
    logs.answer_new_calls(0, never);
    logs.silence_open_calls();
    logs.run_until(logs.now() + 4 * kSecond);
    EXPECT_TRUE(logs.health(1).proven);
    const int before = logs.made(0);
    logs.run_until(logs.now() + 60 * kSecond);
    EXPECT_LE(logs.made(0) - before, 30);
}

TEST(Sources, ThoseThatStayInTheListKeepTheirCalls) {
    WatchSources sources(2, options_with_proof(2), 1);
    const auto calls = sources.next_steps(0, 5);
    ASSERT_EQ(called_sources(calls), (Indices{0, 1}));
    sources.replace({std::nullopt, 1});
    const auto more = sources.next_steps(10, 5);
    EXPECT_EQ(called_sources(more), Indices{0});
    EXPECT_EQ(sources.on_event(1, calls[1].call, 6, 5, 20), WatchSources::EventResult::apply);
    EXPECT_TRUE(sources.on_data(1, calls[1].call, 30));
    EXPECT_FALSE(sources.on_data(0, calls[0].call, 40)) << "its source is gone";
}

}  // namespace sumackeel::endpoints
