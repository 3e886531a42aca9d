// Drives the module alone: settings and events in, actions out. One small test a failure or a rule.
#include "routing/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <variant>

namespace sumackeel::routing {
namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;

Settings plain_settings() {
    Settings settings;
    ClassSettings service;
    service.latency_objective = 400 * kMs;
    service.latency_objective_stretch = 2;
    service.deadline = 5 * kSecond;
    settings.classes = {service};
    settings.instance_count = 2;
    settings.own_zone = 0;
    settings.instances_by_zone = {1, 1, 0};
    settings.region_by_zone = {0, 0, 0};
    settings.parent_kind = 1;
    settings.origin_kind = 2;
    settings.transfer_rate_kb_per_s = 1'000;
    settings.coalescing_allowed = true;
    settings.cache_status_detail = CacheStatusDetail::hits;
    settings.purge_completes_within = 6 * kSecond;
    settings.notification_grace = 500 * kMs;
    settings.drain_grace = 250 * kMs;
    settings.cold_capacity_fraction = 0.2;
    settings.warm_up_duration = 20 * kSecond;
    settings.cold_overload_multiple = 2;
    settings.overload_window = 2 * kSecond;
    settings.parent_cold_fraction = 0.1;
    settings.parent_slow_start = 20 * kSecond;
    settings.parent_overload_multiple = 2;
    settings.cancellation_allowed = true;
    settings.retry_after_allowed = true;
    settings.max_retry_after = 500 * kMs;
    settings.max_attempts = 8;
    return settings;
}

Endpoint cache(const std::string& name, Micros since = 0, double weight = 4) {
    return {.name = name, .weight = weight, .zone = 0, .started_at = since, .kind = 0, .cell = 0};
}
Endpoint parent(const std::string& name, Micros since = 0) {
    return {.name = name, .weight = 20, .zone = 2, .started_at = since, .kind = 1};
}
Endpoint origin() {
    return {.name = "origin", .weight = 1, .zone = 2, .kind = 2};
}

// A router with its clock and the actions of the last event.
class Bench {
  public:
    explicit Bench(const Settings& settings = plain_settings(), std::uint64_t seed = 7)
        : router_(settings, seed) {}

    void list(std::vector<Endpoint> entries, EndpointUpdateKind kind = EndpointUpdateKind::full) {
        tell(EndpointUpdate{1, kind, std::move(entries)});
    }
    void tell(const Event& event) {
        actions_.clear();
        router_.handle(now, event, actions_);
    }
    void ask(const std::string& id, const std::string& object, double kb = 200, int part = 0) {
        RequestReceived arrival;
        arrival.id = id;
        arrival.object = object;
        arrival.time_left = 4 * kSecond;
        arrival.size_kb = kb;
        arrival.part = part;
        arrival.purge_group = 3;
        tell(arrival);
    }
    void end(const std::string& id, const std::string& cache_name, AttemptStatus verdict, int attempt = 0,
             CacheStatus note = CacheStatus::unknown) {
        AttemptFinished outcome;
        outcome.id = id;
        outcome.attempt = attempt;
        outcome.endpoint = cache_name;
        outcome.status = verdict;
        outcome.request_finished = verdict == AttemptStatus::served;
        outcome.cache_status = note;
        tell(outcome);
    }
    template <typename T>
    std::vector<T> all() const {
        std::vector<T> found;
        for (const Action& action : actions_)
            if (const T* one = std::get_if<T>(&action)) found.push_back(*one);
        return found;
    }
    Forward served() const {
        const auto sends = all<Forward>();
        EXPECT_EQ(sends.size(), 1u);
        return sends.empty() ? Forward{} : sends.front();
    }
    std::uint64_t timer() const {
        const auto timers = all<SetTimer>();
        EXPECT_FALSE(timers.empty());
        return timers.empty() ? 0 : timers.back().token;
    }

    Micros now = 100 * kSecond;

  private:
    Router router_;
    std::vector<Action> actions_;
};

class ChoiceTest : public ::testing::Test {
  protected:
    void SetUp() override {
        bench.list({cache("a"), cache("b"), cache("c"), parent("p"), parent("q"), origin()});
    }
    Bench bench;
};

// ---- the fill table ----

TEST_F(ChoiceTest, FirstMissLeadsThroughAParent) {
    bench.ask("r1", "x");
    const Forward serve = bench.served();
    EXPECT_TRUE(serve.source == "p" || serve.source == "q");
    EXPECT_GT(serve.cache_priority, 0);
}

// Guards: a request that no cache can use is an error wherever it is sent. Sent on and on, it would use up
// the budget for retries and open the breaker of one healthy cache after another.
TEST_F(ChoiceTest, ErrorsAtTwoCachesEndTheRequest) {
    bench.ask("r1", "x");
    const std::string first = bench.served().endpoint;
    bench.end("r1", first, AttemptStatus::error);
    const std::string second = bench.served().endpoint;
    EXPECT_NE(first, second);
    bench.end("r1", second, AttemptStatus::error, 1);
    EXPECT_TRUE(bench.all<Forward>().empty());
    EXPECT_EQ(bench.all<Reject>().size(), 1u);
}

TEST_F(ChoiceTest, ErrorsOfTheSourceAreNotTheRequests) {
    bench.ask("r1", "x");
    bench.end("r1", bench.served().endpoint, AttemptStatus::error, 0, CacheStatus::source_unreachable);
    bench.end("r1", bench.served().endpoint, AttemptStatus::error, 1, CacheStatus::source_unreachable);
    bench.now += kSecond;
    bench.tell(TimerExpired{bench.timer()});
    EXPECT_EQ(bench.all<Forward>().size(), 1u);
}

// Guards: what runs at the origin may not be tried again. A parent that fails it on the way costs it for
// good.
TEST(ChoiceWrites, WhatRunsAtTheOriginPassesTheParentsBy) {
    Settings settings = plain_settings();
    settings.classes[0].uncacheable = true;
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p"), parent("q"), origin()});
    bench.ask("r1", "x");
    EXPECT_EQ(bench.served().source, "origin");
    // Not once the origin is gone from the list: a parent may still reach it.
    bench.list({cache("a"), cache("b"), parent("p")});
    bench.ask("r2", "x");
    EXPECT_EQ(bench.served().source, "p");
}

TEST_F(ChoiceTest, LaterRequestsJoinTheFillAtTheSameCache) {
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.now += 10 * kMs;
    bench.ask("r2", "x");
    EXPECT_EQ(bench.served().endpoint, home);
    EXPECT_TRUE(bench.served().coalesce);
}

TEST_F(ChoiceTest, AfterARecentHitGoesStraightThere) {
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.now += 300 * kMs;
    bench.end("r1", home, AttemptStatus::served, 0, CacheStatus::filled);
    bench.now += kSecond;
    bench.ask("r2", "x");
    EXPECT_EQ(bench.served().endpoint, home);
}

TEST_F(ChoiceTest, EveryRouterPicksTheSameHome) {
    Bench other(plain_settings(), 99);
    other.list({origin(), parent("q"), parent("p"), cache("c"), cache("b"), cache("a")});
    for (int i = 0; i < 20; ++i) {
        const std::string object = "o" + std::to_string(i);
        bench.ask("r" + object, object);
        other.ask("s" + object, object);
        EXPECT_EQ(bench.served().endpoint, other.served().endpoint);
        EXPECT_EQ(bench.served().source, other.served().source);
        bench.end("r" + object, bench.served().endpoint, AttemptStatus::served);
        other.end("s" + object, other.served().endpoint, AttemptStatus::served);
    }
}

// Where the site has no joins.
Bench without_joins() {
    Settings settings = plain_settings();
    settings.coalescing_allowed = false;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p")});
    return bench;
}

TEST(ChoiceHold, WithoutJoinsWaitersAreHeldBoundedThenSentAlone) {
    Bench bench = without_joins();
    bench.ask("r1", "x");
    bench.ask("r2", "x");
    EXPECT_TRUE(bench.all<Forward>().empty());
    const auto timers = bench.all<SetTimer>();
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_LT(timers[0].at, bench.now + plain_settings().classes[0].latency_objective + 400 * kMs);
    bench.now = timers[0].at;
    bench.tell(TimerExpired{timers[0].token});
    EXPECT_EQ(bench.served().id, "r2");
    EXPECT_FALSE(bench.served().coalesce);
}

TEST(ChoiceHold, TheAnswerReleasesHeldWaiters) {
    Bench bench = without_joins();
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.ask("r2", "x");
    bench.now += 200 * kMs;
    bench.end("r1", home, AttemptStatus::served);
    EXPECT_EQ(bench.served().id, "r2");
    EXPECT_EQ(bench.served().endpoint, home);
}

TEST(ChoiceHold, WhenTheLeadersClientLeavesTheNextWaiterLeads) {
    Bench bench = without_joins();
    bench.ask("r1", "x");
    bench.ask("r2", "x");
    bench.ask("r3", "x");
    bench.tell(ClientCancelled{"r1"});
    EXPECT_EQ(bench.served().id, "r2");
    bench.now += 100 * kMs;
    bench.end("r2", "a", AttemptStatus::served);
    bench.ask("r4", "y");
    EXPECT_EQ(bench.served().id, "r4");
}

TEST(ChoiceHold, WaitersOfAFailedLeaderLeaveSpacedOut) {
    Settings settings = plain_settings();
    settings.coalescing_allowed = false;
    settings.max_attempts = 1;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p")});
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.ask("r2", "x");
    bench.ask("r3", "x");
    bench.now += 50 * kMs;
    bench.end("r1", home, AttemptStatus::error);
    const auto timers = bench.all<SetTimer>();
    ASSERT_EQ(timers.size(), 2u);
    EXPECT_LT(timers[0].at, timers[1].at);
}

TEST_F(ChoiceTest, AnOverdueFillIsNotJoined) {
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.now += 3'900 * kMs;  // far past any predicted time: the fill hangs
    bench.ask("r2", "x");
    EXPECT_NE(bench.served().endpoint, home);
}

// ---- rule 1: one answer, in time ----

TEST_F(ChoiceTest, OutcomeAndDepartureInOneBatchGiveNothingMore) {
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.now += 100 * kMs;
    bench.end("r1", home, AttemptStatus::served);
    bench.tell(ClientCancelled{"r1"});
    EXPECT_TRUE(bench.all<Reject>().empty() && bench.all<Fail>().empty() && bench.all<Cancel>().empty());
}

TEST_F(ChoiceTest, ARetryNeverWaitsPastTheClientsPatience) {
    bench.ask("r1", "x", 40);
    std::string at = bench.served().endpoint;
    bench.now += 3'800 * kMs;
    bench.end("r1", at, AttemptStatus::error, 0);
    at = bench.served().endpoint;
    bench.now += 180 * kMs;
    bench.end("r1", at, AttemptStatus::error, 1);
    EXPECT_EQ(bench.all<Reject>().size(), 1u);
    EXPECT_TRUE(bench.all<SetTimer>().empty());
}

// Seen on the last incident: some answers never came, from every box alike, and each sent the large objects
// of a healthy box to others, to be filled there once more.
TEST_F(ChoiceTest, OneLostAnswerDrivesNobodyFromABoxThatAnswersOthers) {
    for (const bool answers_others : {true, false}) {
        Bench one;
        one.list({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
        one.ask("first", "x", 40);
        const std::string home = one.served().endpoint;
        one.now += 70 * kMs;
        one.end("first", home, AttemptStatus::served);
        one.ask("lost", "x", 40);
        EXPECT_EQ(one.served().endpoint, home);
        one.now += 100 * kMs;
        one.ask("other", "x", 40);
        EXPECT_EQ(one.served().endpoint, home);
        one.now += 70 * kMs;
        if (answers_others) one.end("other", home, AttemptStatus::served);
        one.now += 200 * kMs;
        one.ask("large", "x", 600);
        EXPECT_EQ(one.served().endpoint == home, answers_others);
    }
}

// Guards: the time-out of an answer that was lost alone is no word on how fast its box is.
TEST_F(ChoiceTest, ALostAnswersTimeOutDoesNotMakeItsBoxLate) {
    bench.list({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
    bench.ask("first", "x", 40);
    const std::string home = bench.served().endpoint;
    bench.now += 70 * kMs;
    bench.end("first", home, AttemptStatus::served);
    int lost = 0;
    for (int i = 0; lost < 2 && i < 100; ++i) {  // small objects that the same box holds
        const std::string id = "r" + std::to_string(i), other = "other" + std::to_string(i);
        bench.ask(id + "first", "y" + std::to_string(i), 40);
        const std::string at = bench.served().endpoint;
        bench.now += 70 * kMs;
        bench.end(id + "first", at, AttemptStatus::served);
        if (at != home) continue;
        ++lost;
        bench.ask(id, "y" + std::to_string(i), 40);
        bench.now += 400 * kMs;
        bench.ask(other, "x", 40);
        bench.now += 70 * kMs;
        bench.end(other, home, AttemptStatus::served);
        bench.end(id, home, AttemptStatus::timed_out);
    }
    ASSERT_EQ(lost, 2);
    bench.ask("large", "x", 600);
    EXPECT_EQ(bench.served().endpoint, home);
}

// Guards: sent again with less time left than its bytes take at full pace, it could only end late.
TEST_F(ChoiceTest, WhatCanNotBeSentWholeInTheTimeLeftIsGivenUpAtOnce) {
    bench.ask("r1", "x", 300);  // 0.3 s at full pace
    const std::string at = bench.served().endpoint;
    bench.now += 3'720 * kMs;
    bench.end("r1", at, AttemptStatus::error, 0);
    EXPECT_EQ(bench.all<Reject>().size(), 1u);
}

TEST_F(ChoiceTest, TheLastTimeOutEndsBeforeTheClientGivesUp) {
    bench.ask("r1", "x", 3'000);
    EXPECT_LT(bench.served().timeout, 4 * kSecond);
    EXPECT_GT(bench.served().timeout, 0);
}

TEST_F(ChoiceTest, WithNoCacheListedTheRequestIsRefusedAtOnceWithAdvice) {
    bench.list({parent("p"), origin()});
    bench.ask("r1", "x");
    ASSERT_EQ(bench.all<Reject>().size(), 1u);
    EXPECT_GT(bench.all<Reject>()[0].retry_after, 0);
}

// ---- rule 2: no effect twice ----

TEST(ChoiceEffects, AnUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain) {
    Settings settings = plain_settings();
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p")});
    bench.ask("r1", "x");
    bench.end("r1", bench.served().endpoint, AttemptStatus::error);
    EXPECT_TRUE(bench.all<Forward>().empty());
    EXPECT_TRUE(bench.all<Reject>().empty());
    EXPECT_EQ(bench.all<Fail>().size(), 1u);
}

TEST(ChoiceEffects, AnUnsafeRequestThatProvablyDidNotRunIsSentAgain) {
    Settings settings = plain_settings();
    settings.classes[0].retry_safety = RetrySafety::not_idempotent;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p")});
    bench.ask("r1", "x");
    const std::string first = bench.served().endpoint;
    bench.end("r1", first, AttemptStatus::overloaded);
    EXPECT_NE(bench.served().endpoint, first);
}

TEST(ChoiceEffects, AKeyedRequestStaysInItsGroupAndWindow) {
    Settings settings = plain_settings();
    settings.classes[0].retry_safety = RetrySafety::with_idempotency_key;
    settings.classes[0].idempotency_scope = IdempotencyScope::cell;
    settings.classes[0].idempotency_window = 2 * kSecond;
    for (const bool in_window : {true, false}) {
        Bench bench(settings);
        std::vector<Endpoint> entries = {cache("a"), cache("b"), cache("c"), cache("d"), parent("p")};
        entries[0].cell = entries[1].cell = 1;
        entries[2].cell = entries[3].cell = 2;
        bench.list(entries);
        bench.ask("r1", "x");
        const std::string first = bench.served().endpoint;
        bench.now += in_window ? kSecond : 2'100 * kMs;
        bench.end("r1", first, AttemptStatus::error);
        if (in_window) {
            const bool low = first == "a" || first == "b";
            const std::string second = bench.served().endpoint;
            EXPECT_EQ(low, second == "a" || second == "b");
        } else {
            EXPECT_TRUE(bench.all<Forward>().empty());
            EXPECT_EQ(bench.all<Fail>().size(), 1u);
        }
    }
}

// ---- rule 3: drains ----

TEST_F(ChoiceTest, NothingNewToADrainingCacheNorOnARetry) {
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    std::vector<std::string> others;
    for (const std::string name : {"a", "b", "c"})
        if (name != home) others.push_back(name);
    Endpoint draining = cache(others[0]);
    draining.state = EndpointState::draining;
    bench.list({draining}, EndpointUpdateKind::incremental);
    bench.end("r1", home, AttemptStatus::error);
    EXPECT_EQ(bench.served().endpoint, others[1]);
}

TEST_F(ChoiceTest, ADrainingParentIsNoSource) {
    bench.ask("r1", "x");
    const std::string source = bench.served().source;
    Endpoint draining = parent(source);
    draining.state = EndpointState::draining;
    bench.list({draining}, EndpointUpdateKind::incremental);
    bench.ask("r2", "y");
    EXPECT_NE(bench.served().source, source);
    bench.list({origin(), cache("a")});  // both parents left the full list
    bench.ask("r3", "z");
    EXPECT_EQ(bench.served().source, "origin");
}

// ---- rule 4: cold starts ----

// Work of 400 new objects, one a millisecond, that names the cold one in `place`.
double work_sent_to_cold(Bench& bench, std::string Forward::*place) {
    double sent = 0;
    for (int i = 0; i < 400; ++i) {
        bench.now += kMs;
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        for (const Forward& serve : bench.all<Forward>()) {
            if (serve.*place == "cold") sent += 200 * kMs;
            bench.end(id, serve.endpoint, AttemptStatus::served);
        }
    }
    return sent;
}

TEST(ChoiceCold, AColdCacheGetsNoMoreThanItsPartOfTheBudget) {
    Settings settings = plain_settings();
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), cache("cold", bench.now - kSecond), parent("p")});
    const double sent = work_sent_to_cold(bench, &Forward::endpoint);
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, settings.cold_overload_multiple * 4 * 0.25 * settings.overload_window);
}

Endpoint careful(Endpoint entry) {
    entry.unverified = true;
    return entry;
}

// Guards: a box known from an old list may have come back cold a moment ago. It gets no more than a cold one
// for as long as it has not answered, however long ago this router started.
TEST(ChoiceCold, ABoxOfAnOldListStaysAtItsColdestUntilItAnswers) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    Bench bench(settings);
    bench.list({careful(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    const Micros budget = static_cast<Micros>(0.2 * 2 * 4 * static_cast<double>(settings.overload_window));
    for (int start = 0; start < 3; ++start) {  // at the start, and when a warming from it would be over
        Micros sent = 0;
        for (int i = 0; i < 1500; ++i, bench.now += kMs) {
            const std::string id = "r" + std::to_string(start) + '.' + std::to_string(i);
            bench.ask(id, id);
            int attempt = 0;
            for (auto out = bench.all<Forward>(); !out.empty(); out = bench.all<Forward>()) {
                if (out[0].endpoint == "cold") sent += 200 * kMs;
                bench.end(id, out[0].endpoint, AttemptStatus::connect_failed, attempt++);
            }
        }
        EXPECT_GT(sent, 0) << start;
        EXPECT_LT(sent, budget) << start;
        bench.now += 20 * kSecond;
    }
}

TEST(ChoiceCold, ABoxOfAnOldListWarmsFromItsFirstAnswerOn) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    Bench bench(settings);
    bench.list({careful(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    bench.now += 60 * kSecond;
    bench.ask("first", "y");
    bench.end("first", bench.served().endpoint, AttemptStatus::served, 0, CacheStatus::hit);
    const double just_proven = work_sent_to_cold(bench, &Forward::endpoint);
    EXPECT_GT(just_proven, 0);
    bench.now += settings.warm_up_duration;
    const double warm = work_sent_to_cold(bench, &Forward::endpoint);
    EXPECT_GT(warm, 3 * just_proven);
}

// Guards: telling the same old list again must not start the box's warming, or its debt, anew.
TEST(ChoiceCold, AnOldListToldTwiceChangesNothing) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    Bench bench(settings);
    const std::vector<Endpoint> old{careful(cache("cold")), parent("p"), origin()};
    bench.list(old, EndpointUpdateKind::snapshot);
    const double once = work_sent_to_cold(bench, &Forward::endpoint);
    double more = 0;
    for (int i = 0; i < 20; ++i) {
        bench.list(old, EndpointUpdateKind::incremental);
        bench.ask("again " + std::to_string(i), "z" + std::to_string(i));
        for (const Forward& serve : bench.all<Forward>()) more += serve.endpoint == "cold" ? 200 * kMs : 0;
    }
    EXPECT_GT(once, 0);
    EXPECT_LE(more, once);
}

TEST(ChoiceCold, ALiveListEndsTheCare) {
    Settings settings = plain_settings();
    settings.instances_by_zone = {1};
    Bench bench(settings);
    bench.list({careful(cache("cold")), parent("p"), origin()}, EndpointUpdateKind::snapshot);
    const double careful_share = work_sent_to_cold(bench, &Forward::endpoint);
    bench.list({cache("cold"), parent("p"), origin()});
    EXPECT_GT(work_sent_to_cold(bench, &Forward::endpoint), 3 * careful_share);
}

// ---- the origin alone ----

TEST(ChoiceOriginAlone, ReadsKeepToTheBudgetAndTheRestIsRefusedAtOnce) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    settings.origin_only_requests_per_s = 5;
    Bench bench(settings);
    bench.list({origin()});
    int sent = 0, refused = 0;
    for (int i = 0; i < 1000; ++i, bench.now += 10 * kMs) {  // ten seconds of 100 a second
        bench.ask("r" + std::to_string(i), "x" + std::to_string(i));
        for (const Forward& serve : bench.all<Forward>()) {
            EXPECT_EQ(serve.endpoint, "origin");
            EXPECT_EQ(serve.cache_priority, 0);
            ++sent;
            bench.end(serve.id, "origin", AttemptStatus::served);
        }
        for (const Reject& refuse : bench.all<Reject>()) refused += refuse.retry_after > 0;
    }
    EXPECT_GE(sent, 50);
    EXPECT_LE(sent, 56);
    EXPECT_EQ(sent + refused, 1000);
}

TEST(ChoiceOriginAlone, WhatRunsThereInAnyCaseIsNotCounted) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    settings.origin_only_requests_per_s = 1;
    settings.classes.push_back(settings.classes[0]);
    settings.classes[1].uncacheable = true;
    settings.classes[1].retry_safety = RetrySafety::not_idempotent;
    Bench bench(settings);
    bench.list({origin()});
    for (int i = 0; i < 30; ++i) {
        RequestReceived write;
        write.id = "w" + std::to_string(i);
        write.class_index = 1;
        write.time_left = 3 * kSecond;
        write.write = true;
        bench.tell(write);
        EXPECT_EQ(bench.all<Lookup>().size() + bench.all<Forward>().size(), 1u);
        // The last one may have run when it broke off: it does not go out again.
        bench.end(write.id, "origin", i < 29 ? AttemptStatus::served : AttemptStatus::connection_reset);
        EXPECT_TRUE(bench.all<Forward>().empty() && bench.all<Lookup>().empty());
        bench.now += 10 * kMs;
    }
    EXPECT_EQ(bench.all<Fail>().size(), 1u);
}

// Guards: where nobody set a budget, and on the platform, an empty list is answered as it always was.
TEST(ChoiceOriginAlone, OffByDefaultAndWhileAnyCacheOrParentIsKnown) {
    Settings settings = plain_settings();
    settings.cache_bypass_allowed = true;
    Bench off(settings);
    off.list({origin()});
    off.ask("r1", "x");
    EXPECT_EQ(off.all<Reject>().size(), 1u);
    settings.origin_only_requests_per_s = 5;
    Bench on(settings);
    on.list({cache("a"), origin()});
    on.ask("r1", "x");
    EXPECT_EQ(on.served().endpoint, "a");
}

TEST(ChoiceCold, AColdParentIsSparedForAWarmOne) {
    Settings settings = plain_settings();
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("warm"), parent("cold", bench.now - kSecond)});
    const double sent = work_sent_to_cold(bench, &Forward::source);
    // Two routers share it; the lowest curve gives a tenth and a little more of its link.
    EXPECT_LT(sent, 2 * 20 * 0.15 * settings.overload_window / 2);
}

// ---- size: many routers share a cache, all share a parent ----

TEST(ChoiceSize, ALoneRequestIsTakenAtAnIdleCacheThatManyRoutersShare) {
    Settings settings = plain_settings();
    settings.instance_count = 40;
    settings.instances_by_zone = {40, 0, 0};
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p"), origin()});
    // A share of a tenth of a transfer is no crowd by itself: nothing tells of others here.
    bench.ask("r1", "x");
    EXPECT_EQ(bench.all<Forward>().size(), 1u);
    const std::string home = bench.served().endpoint;
    bench.now += 300 * kMs;
    bench.end("r1", home, AttemptStatus::served);
    bench.now += 300 * kMs;
    bench.ask("r2", "x");  // nor does one repeat spread the object to a second home
    EXPECT_EQ(bench.served().endpoint, home);
}

TEST(ChoiceSize, AReportedCrowdOfOthersIsFeltAndFades) {
    Settings settings = plain_settings();
    settings.instance_count = 40;
    settings.instances_by_zone = {40, 0, 0};
    settings.load_reporting = LoadReporting::with_responses;
    for (const Micros later : {50 * kMs, 20 * kSecond}) {
        Bench bench(settings);
        bench.list({cache("a"), parent("p"), origin()});
        bench.ask("r1", "x");
        bench.now += 300 * kMs;
        AttemptFinished outcome;
        outcome.id = "r1";
        outcome.endpoint = "a";
        outcome.request_finished = true;
        outcome.load.in_flight = 40;
        bench.tell(outcome);
        bench.now += later;
        bench.ask("r2", "y");
        EXPECT_EQ(bench.all<Reject>().size(), later < kSecond ? 1u : 0u);
    }
}

// Work that `routers` together send to a target named "cold" within the worst window, over what it can take
// then, and all the work sent to it.
struct Pressure {
    double worst = 0, total = 0;
};

Pressure press_on_cold(Settings settings, int routers, std::string Forward::*place, std::uint64_t seed) {
    const bool on_parent = place == &Forward::source;
    settings.instance_count = routers;
    settings.instances_by_zone = {routers, 0, 0};
    const Micros start = 1'000 * kSecond;
    std::vector<std::unique_ptr<Bench>> fleet;
    for (int i = 0; i < routers; ++i) {
        fleet.push_back(std::make_unique<Bench>(settings, seed * 1'000 + static_cast<std::uint64_t>(i)));
        fleet.back()->now = start;
        const Endpoint fresh = on_parent ? parent("cold", start - kSecond) : cache("cold", start - kSecond);
        fleet.back()->list({cache("a"), cache("b"), cache("c"), parent("warm"), origin(), fresh});
    }
    const double multiple = on_parent ? settings.parent_overload_multiple : settings.cold_overload_multiple;
    const double from = on_parent ? settings.parent_cold_fraction : settings.cold_capacity_fraction;
    const double weight = on_parent ? 20 : 4;
    std::deque<std::pair<Micros, double>> sent;
    Pressure pressure;
    int number = 0;
    for (Micros now = start; now < start + 8 * kSecond; now += 400 * kMs) {
        for (int i = 0; i < routers; ++i) {
            Bench& one = *fleet[static_cast<std::size_t>(i)];
            one.now = now + 400 * kMs * i / routers;
            const std::string id = "r" + std::to_string(number++);
            one.ask(id, "o" + std::to_string(seed) + id);
            for (const Forward& serve : one.all<Forward>()) {
                if (serve.*place == "cold") sent.emplace_back(one.now, 200.0 * kMs);
                one.end(id, serve.endpoint, AttemptStatus::served);
            }
            while (!sent.empty() && sent.front().first <= one.now - settings.overload_window) {
                pressure.total += sent.front().second;
                sent.pop_front();
            }
            double window = 0;
            for (const auto& [at, work] : sent) window += work;
            const double age = static_cast<double>(one.now - settings.overload_window - start + kSecond);
            const double ramp = from + (1 - from) * std::max(0.0, age) / (20.0 * kSecond);
            pressure.worst =
                std::max(pressure.worst, window / (multiple * weight * ramp * settings.overload_window));
        }
    }
    return pressure;
}

TEST(ChoiceSize, ManyRoutersTogetherKeepAColdCachesBudgetAndUseIt) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const Pressure pressure = press_on_cold(plain_settings(), 30, &Forward::endpoint, seed);
        EXPECT_LT(pressure.worst, 1) << "seed " << seed;
        EXPECT_GT(pressure.worst, 0.3) << "seed " << seed;
    }
}

TEST(ChoiceSize, AllRoutersTogetherKeepAColdParentsBudgetAndUseIt) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const Pressure pressure = press_on_cold(plain_settings(), 120, &Forward::source, seed);
        EXPECT_LT(pressure.worst, 1) << "seed " << seed;
        EXPECT_GT(pressure.worst, 0.2) << "seed " << seed;
        EXPECT_GT(pressure.total, 0) << "seed " << seed;
    }
}

TEST(ChoiceSize, WhatOthersKeepIsNotRefusedForACrowdedLinkIn) {
    // The zone's caches hold most of what this one never asked for. The link in fits two fills and a half;
    // when all that came lately was answered as fast as a hit, new objects are no crowd on it.
    for (const bool kept : {true, false}) {
        Settings settings = plain_settings();
        settings.cache_status_detail = CacheStatusDetail::none;
        settings.instance_count = 12;
        settings.instances_by_zone = {12, 0, 0};
        settings.ingress_kb_per_s_by_zone = {2'500, 0, 0};
        Bench bench(settings);
        bench.list({cache("a", 0, 40), cache("b", 0, 40), parent("p"), origin()});
        int refused = 0;
        for (int i = 0; i < 120; ++i) {
            const std::string id = "r" + std::to_string(i);
            bench.ask(id, "o" + std::to_string(i));
            refused += static_cast<int>(i >= 60 && !bench.all<Reject>().empty());
            const auto sends = bench.all<Forward>();
            bench.now += kept ? 200 * kMs : 1'100 * kMs;
            for (const Forward& serve : sends) bench.end(id, serve.endpoint, AttemptStatus::served);
        }
        EXPECT_EQ(refused > 0, !kept);
    }
}

// ---- rule 5: purges ----

TEST_F(ChoiceTest, AfterAPurgeTheAgeIsBoundedAndNeverZero) {
    bench.tell(Purge{3, 100 * kMs, "x"});
    bench.ask("r1", "x");
    EXPECT_EQ(bench.served().max_age, 100 * kMs);
    const std::string first = bench.served().endpoint;
    bench.now += 50 * kMs;
    bench.end("r1", first, AttemptStatus::error);
    EXPECT_EQ(bench.served().max_age, 150 * kMs);  // the retry too
    bench.tell(Purge{9, 0, ""});
    bench.ask("r2", "z");
    EXPECT_EQ(bench.served().max_age, 0);  // another group's purge
    bench.tell(Purge{3, 0, ""});
    bench.ask("r3", "z");
    EXPECT_EQ(bench.served().max_age, 1);
}

TEST_F(ChoiceTest, NoJoinOfAFillOlderThanThePurge) {
    bench.ask("r1", "x");
    bench.now += 20 * kMs;
    bench.tell(Purge{3, 10 * kMs, "x"});
    bench.ask("r2", "x");
    EXPECT_FALSE(bench.served().coalesce);
}

// Guards: after a purge of everything each of many routers, new to the part, had it filled once more.
TEST(Choice, RoutersNewToAPurgedPartShareOneFill) {
    int joined = 0;
    for (int i = 0; i < 100; ++i) {
        Bench bench(plain_settings(), 100 + i);
        bench.list({cache("a"), cache("b"), parent("p"), origin()});
        bench.tell(Purge{3, 200 * kMs, ""});
        bench.ask("r1", "x");
        joined += bench.served().coalesce && bench.served().max_age == 200 * kMs;
    }
    EXPECT_EQ(joined, 100);
}

// Guards: parents that died came back cold before the list told of it, and all routers fell upon them.
TEST(Choice, AParentThatComesBackUnheardIsTakenForCold) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    settings.instance_count = 100;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p"), origin()});
    const auto ask = [&](int i, AttemptStatus verdict, CacheStatus note) {
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        const std::string source = bench.all<Forward>().empty() ? "" : bench.served().source;
        bench.now += 100 * kMs;
        if (!source.empty()) bench.end(id, bench.served().endpoint, verdict, 0, note);
        bench.tell(ClientCancelled{id});
        return source;
    };
    for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(i, AttemptStatus::error, CacheStatus::source_unreachable), "p");
    int to_parent = 0;
    bench.now += 10 * kSecond;
    for (int i = 10; i < 40; ++i) to_parent += ask(i, AttemptStatus::served, CacheStatus::filled) == "p";
    EXPECT_GE(to_parent, 1);
    EXPECT_LE(to_parent, 5);  // a hundredth of the cold budget is less than a request a second
}

// Guards: each of many routers sent a dead parent three fills before it knew; a cache's own word is worth
// more.
TEST(Choice, ASourceToldAsNotReachedOpensItsBreakerAfterTwo) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p"), origin()});
    int opened = 0;
    for (int i = 0; i < 2; ++i) {
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        bench.end(id, bench.served().endpoint, AttemptStatus::error, 0, CacheStatus::source_unreachable);
        for (const LogMessage& log : bench.all<LogMessage>()) opened += log.text == "breaker open: p";
        bench.tell(ClientCancelled{id});
        EXPECT_EQ(opened, i);
    }
}

// Guards: with no parent up, fills went on to those that fail, while the origin had room.
TEST(Choice, WithNoParentUpTheOriginIsNamedInTurn) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    settings.instance_count = 100;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p"), origin()});
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        const auto sends = bench.all<Forward>();
        if (!sends.empty() && sends.front().source == "origin") {
            bench.ask("next", "other");  // one turn at a time
            EXPECT_TRUE(bench.all<Forward>().empty() || bench.served().source != "origin");
            return;
        }
        bench.now += 50 * kMs;
        if (!sends.empty())
            bench.end(id, sends.front().endpoint, AttemptStatus::error, 0, CacheStatus::source_unreachable);
        bench.now += 500 * kMs;  // past the turn that a second try took
        bench.tell(ClientCancelled{id});
    }
    ADD_FAILURE() << "the origin was never named";
}

// ---- health ----

TEST_F(ChoiceTest, ABreakerOpensAfterFailuresTriesOnceAndCloses) {
    std::string sick;
    int logs = 0;
    for (int i = 0; i < 40 && logs == 0; ++i) {
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        const Forward serve = bench.served();
        if (sick.empty()) sick = serve.endpoint;
        bench.now += 20 * kMs;
        if (serve.endpoint != sick) {
            bench.end(id, serve.endpoint, AttemptStatus::served, 0, CacheStatus::filled);
            continue;
        }
        bench.end(id, serve.endpoint, AttemptStatus::error);
        logs += static_cast<int>(bench.all<LogMessage>().size());
        for (const Forward& again : bench.all<Forward>()) {
            bench.now += 20 * kMs;
            bench.end(id, again.endpoint, AttemptStatus::served, 1, CacheStatus::filled);
        }
    }
    ASSERT_EQ(logs, 1);
    for (int i = 0; i < 30; ++i) {  // open: nothing goes there
        const std::string id = "s" + std::to_string(i);
        bench.ask(id, "q" + std::to_string(i));
        EXPECT_NE(bench.served().endpoint, sick);
        bench.end(id, bench.served().endpoint, AttemptStatus::served, 0, CacheStatus::hit);
    }
    bench.now += 2 * kSecond;
    int trials = 0;
    for (int i = 0; i < 30; ++i) {  // half open: one trial while none has answered
        bench.ask("t" + std::to_string(i), "u" + std::to_string(i), 1);
        if (bench.served().endpoint == sick) ++trials;
    }
    EXPECT_EQ(trials, 1);
}

TEST_F(ChoiceTest, NeverEjectsAll) {
    for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(i);
        bench.now += kSecond / 2;
        bench.ask(id, "o" + std::to_string(i));
        const Forward serve = bench.served();
        bench.now += 10 * kMs;
        bench.end(id, serve.endpoint, AttemptStatus::connect_failed);
        for (const Forward& again : bench.all<Forward>()) {
            bench.tell(ClientCancelled{again.id});
            bench.end(again.id, again.endpoint, AttemptStatus::cancelled, 1);
        }
    }
    bench.ask("last", "last");
    EXPECT_EQ(bench.all<Forward>().size(), 1u);
}

// ---- overload ----

TEST_F(ChoiceTest, InACrowdALateAnswerIsRefusedAtOnceWithAdvice) {
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        bench.ask("r" + std::to_string(i), "o" + std::to_string(i), 600);
        refused += static_cast<int>(bench.all<Reject>().size());
        for (const Reject& refuse : bench.all<Reject>()) EXPECT_GT(refuse.retry_after, 0);
    }
    EXPECT_GT(refused, 100);
}

TEST_F(ChoiceTest, IdenticalEventsGiveIdenticalActions) {
    const auto play = [](Bench& one) {
        one.list({cache("a"), cache("b"), parent("p"), parent("q")});
        std::string seen;
        for (int i = 0; i < 200; ++i) {
            one.now += 5 * kMs;
            const std::string id = "r" + std::to_string(i);
            one.ask(id, "o" + std::to_string(i % 17));
            for (const Forward& serve : one.all<Forward>()) {
                seen += serve.endpoint + serve.source + std::to_string(serve.timeout) + ';';
                one.end(id, serve.endpoint, i % 3 ? AttemptStatus::served : AttemptStatus::error);
                for (const Forward& again : one.all<Forward>()) seen += again.endpoint + again.source + '!';
            }
        }
        return seen;
    };
    Bench one, two;
    EXPECT_EQ(play(one), play(two));
}

TEST_F(ChoiceTest, EventsForRequestsNoLongerHeldAreIgnored) {
    bench.end("unknown", "a", AttemptStatus::served);
    bench.end("unknown", "never listed", AttemptStatus::error);
    bench.tell(ClientCancelled{"unknown"});
    bench.tell(TimerExpired{987654321});
    EXPECT_TRUE(bench.all<Forward>().empty());
}

// ---- failures found on incidents ----

TEST_F(ChoiceTest, ARefusalThatTookTheWayToTheSourceIsNotTheCachesFault) {
    int parent_logs = 0, cache_logs = 0;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        Forward serve = bench.served();
        AttemptFinished outcome;
        outcome.id = id;
        outcome.endpoint = serve.endpoint;
        outcome.status = AttemptStatus::overloaded;
        outcome.elapsed = 60 * kMs;
        bench.now += outcome.elapsed;
        bench.tell(outcome);
        for (const LogMessage& log : bench.all<LogMessage>())
            (log.text == "breaker open: p" || log.text == "breaker open: q" ||
                     log.text == "breaker open: origin"
                 ? parent_logs
                 : cache_logs) += 1;
        bench.tell(ClientCancelled{id});
        bench.end(id, serve.endpoint, AttemptStatus::cancelled, 1);
    }
    EXPECT_GE(parent_logs, 1);
    EXPECT_EQ(cache_logs, 0);
}

TEST(ChoiceOrigin, WithTheOriginDownOnlyWhatParentsHoldIsAsked) {
    Settings settings = plain_settings();
    settings.cache_status_detail = CacheStatusDetail::all;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), cache("c"), parent("p"), origin()});
    bool held_only = false;
    for (int i = 0; i < 12 && !held_only; ++i) {
        const std::string id = "r" + std::to_string(i);
        bench.ask(id, "o" + std::to_string(i));
        const Forward serve = bench.served();
        held_only = serve.source_cached_only;
        bench.now += 50 * kMs;
        bench.end(id, serve.endpoint, AttemptStatus::overloaded, 0, CacheStatus::origin_failed);
        bench.tell(ClientCancelled{id});
        bench.end(id, serve.endpoint, AttemptStatus::cancelled, 1);
    }
    EXPECT_TRUE(held_only);
}

TEST(ChoiceStale, AfterAFailedTryAnOldCopyWillDoAtItsHolder) {
    Settings settings = plain_settings();
    settings.classes[0].freshness_lifetime = 2 * kSecond;
    settings.classes[0].stale_grace = 10 * kSecond;
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p"), parent("q")});
    bench.ask("r1", "x");
    const std::string home = bench.served().endpoint;
    bench.now += 300 * kMs;
    bench.end("r1", home, AttemptStatus::served, 0, CacheStatus::filled);
    bench.now += 3 * kSecond;
    bench.ask("r2", "x");
    EXPECT_EQ(bench.served().max_age, 0);
    bench.now += 100 * kMs;
    bench.end("r2", home, AttemptStatus::error);
    EXPECT_EQ(bench.served().endpoint, home);
    EXPECT_EQ(bench.served().max_age, 12 * kSecond);
    EXPECT_TRUE(bench.served().revalidate);
    bench.now += 100 * kMs;  // never past a purge, old copy or not
    bench.tell(Purge{3, 0, "x"});
    bench.now += 5 * kMs;
    bench.ask("r3", "x");
    EXPECT_EQ(bench.served().max_age, 5 * kMs);
}

TEST(ChoiceLink, FillsWaitingForTheLinkDoNotCrowdOutHits) {
    Settings settings = plain_settings();
    settings.ingress_kb_per_s_by_zone = {1'000, 1'000, 0};  // one transfer at full pace
    Bench bench(settings);
    bench.list({cache("a"), cache("b"), parent("p")});
    bench.ask("first", "x", 100);
    const std::string home = bench.served().endpoint;
    bench.now += 200 * kMs;
    bench.end("first", home, AttemptStatus::served, 0, CacheStatus::filled);
    for (int i = 0; i < 60; ++i) bench.ask("f" + std::to_string(i), "o" + std::to_string(i), 100);
    bench.ask("hit", "x", 100);
    EXPECT_EQ(bench.served().endpoint, home);  // not refused, not moved
}

TEST_F(ChoiceTest, ATrialThatTaughtNothingDoesNotKeepTheBreakerHalfOpen) {
    const auto hit_sick = [&](const std::string& prefix, AttemptStatus verdict, const std::string& sick,
                              int most) {
        int sent = 0;
        for (int i = 0; i < most; ++i) {
            const std::string id = prefix + std::to_string(i);
            bench.ask(id, id, 1);
            const Forward serve = bench.served();
            bench.now += 5 * kMs;
            sent += serve.endpoint == sick ? 1 : 0;
            bench.end(id, serve.endpoint, serve.endpoint == sick ? verdict : AttemptStatus::served, 0,
                      CacheStatus::unknown);
            for (const Forward& again : bench.all<Forward>())
                bench.end(id, again.endpoint, AttemptStatus::served, 1, CacheStatus::hit);
        }
        return sent;
    };
    EXPECT_GE(hit_sick("r", AttemptStatus::connect_failed, "a", 60), 3);
    EXPECT_EQ(hit_sick("s", AttemptStatus::connect_failed, "a", 30), 0);  // open
    bench.now += 3 * kSecond;
    EXPECT_GE(hit_sick("t", AttemptStatus::cancelled, "a", 40), 2);  // trial after trial, none decides
}

// Guards: found by the expectations' checker. Past dead caches a parent was asked to fill from an origin that
// had been told to be gone.
TEST(ChoiceDirect, PastTheCachesAnOriginThatIsOutIsNotNamed) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        Settings settings = plain_settings();
        settings.cache_bypass_allowed = true;
        Bench bench(settings);
        Endpoint out = origin();
        out.state = state;
        bench.list({parent("p"), out});
        bench.ask("r1", "x", 50);
        const Forward serve = bench.served();
        EXPECT_EQ(serve.endpoint, "p");
        EXPECT_EQ(serve.source, "p");  // what it holds, it gives
    }
}

TEST(ChoiceDirect, WithEveryCacheEjectedAParentAnswersPastThemOnlyWhereAllowed) {
    for (const bool allowed : {true, false}) {
        Settings settings = plain_settings();
        settings.cache_bypass_allowed = allowed;
        Bench bench(settings);
        bench.list({cache("a"), parent("p"), origin()});
        bool past = false;
        for (int i = 0; i < 20; ++i) {
            const std::string id = "r" + std::to_string(i);
            bench.ask(id, "o" + std::to_string(i), 50);
            for (const Forward& serve : bench.all<Forward>()) {
                if (serve.endpoint == "p") {
                    past = true;
                    EXPECT_EQ(serve.source, "origin");
                    EXPECT_EQ(serve.cache_priority, 0);
                }
                bench.end(id, serve.endpoint,
                          serve.endpoint == "a" ? AttemptStatus::connect_failed : AttemptStatus::served);
                bench.tell(ClientCancelled{id});
            }
        }
        EXPECT_EQ(past, allowed);
    }
}

}  // namespace
}  // namespace sumackeel::routing
