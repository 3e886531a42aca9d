// The view of the fleet, alone: words in, what the module may use out. Each hard case of a stale list is
// here.
#include "endpoints/endpoint_view.h"

#include <gtest/gtest.h>

#include "endpoints/snapshot_codec.h"

namespace sumackeel::endpoints {
namespace {

using base::kSecond;
using config::LocatedEndpoint;
using config::WatchEvent;
using routing::EndpointState;

constexpr Micros kStart = 1'700'000'000 * kSecond;
constexpr int kOrigin = 2, kParent = 1;

LocatedEndpoint placed(const std::string& id, const std::string& address,
                       EndpointState state = EndpointState::ready, int kind = 0) {
    LocatedEndpoint one;
    one.endpoint.name = id;
    one.endpoint.state = state;
    one.endpoint.kind = kind;
    one.endpoint.zone = 1;
    one.endpoint.weight = 4;
    one.address = address;
    return one;
}

WatchEvent fleet(std::int64_t seq, bool whole, std::vector<LocatedEndpoint> members) {
    WatchEvent change;
    change.sequence = seq;
    change.has_endpoints = true;
    change.is_full_list = whole;
    change.endpoints = std::move(members);
    return change;
}

WatchEvent purge(std::int64_t seq, const std::string& object, Micros at) {
    WatchEvent change;
    change.sequence = seq;
    change.has_purge = true;
    change.object = object;
    change.purged_at = at;
    return change;
}

ViewOptions options(Micros doubt_for = 0) {
    ViewOptions set;
    set.origin_kind = kOrigin;
    set.parent_kind = kParent;
    set.empty_list_delay = doubt_for;
    return set;
}

const LocatedEndpoint kA = placed("a", "10.0.0.1:1"), kB = placed("b", "10.0.0.2:1"),
                      kLibrary = placed("library", "10.9.0.1:1", EndpointState::ready, kOrigin);

// What a file held of a view that was live, and sure until `age` before kStart; a and b answered just then.
Snapshot saved_of(EndpointView view, Micros age) {
    const Micros then = kStart - age;
    view.confirm(then);
    view.on_response("a", then);
    view.on_response("b", then);
    return view.snapshot("school", {then}, then);
}

EndpointView live_view() {
    EndpointView view(options());
    view.apply(fleet(5, true, {kA, kB, kLibrary}), kStart - 7200 * kSecond);
    return view;
}

EndpointView started_with(const Snapshot& saved, ViewOptions set = options()) {
    EndpointView view(set);
    view.load(saved, {kStart}, kStart);
    return view;
}

std::map<std::string, LocatedEndpoint> told(EndpointView& view, Micros now) {
    std::map<std::string, LocatedEndpoint> by_name;
    for (const LocatedEndpoint& one : view.take_changes(now)) by_name[one.endpoint.name] = one;
    return by_name;
}

}  // namespace

TEST(View, ALiveListIsUsedInFullAndOnlyNewsIsTold) {
    EndpointView view = live_view();
    EXPECT_EQ(told(view, kStart).size(), 3u);
    EXPECT_TRUE(told(view, kStart).empty());
    view.apply(fleet(6, false, {placed("b", "10.0.0.2:1", EndpointState::draining)}), kStart);
    const auto news = told(view, kStart);
    ASSERT_EQ(news.size(), 1u);
    EXPECT_EQ(news.at("b").endpoint.state, EndpointState::draining);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::none);
}

TEST(View, AListSecondsOldIsUsedInFullWhereTheMemberHadAnswered) {
    EndpointView old = live_view();
    Snapshot saved = saved_of(old, 2 * kSecond);
    for (KnownEndpoint& member : saved.endpoints)
        if (member.record->located.endpoint.name == "b")
            member.last_response_at = 60 * kSecond;  // silent for a minute
    const EndpointView view = started_with(saved);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::unverified);
}

TEST(View, BandsOfAgeDecideWhatAMemberMayBeGiven) {
    const EndpointView old = live_view();
    const StalenessPolicy bands;
    const std::vector<std::pair<Micros, Trust>> wanted{{0, Trust::full},
                                                       {bands.full_until - 1, Trust::full},
                                                       {bands.full_until, Trust::unverified},
                                                       {bands.unverified_until - 1, Trust::unverified},
                                                       {bands.unverified_until, Trust::none},
                                                       {3600 * kSecond, Trust::none}};
    for (const auto& [age, use] : wanted) {
        const EndpointView view = started_with(saved_of(old, age));
        EXPECT_EQ(view.trust_of("a", kStart), use) << age;
        EXPECT_EQ(view.trust_of("library", kStart), Trust::full) << age;  // it stays where it is
    }
}

// Guards: an hour-old list naming boxes that have since drained must not send them work.
TEST(View, AnHourOldListGivesNoBoxAnything) {
    EndpointView view = started_with(saved_of(live_view(), 3600 * kSecond));
    const auto news = told(view, kStart);
    EXPECT_FALSE(news.contains("a"));
    EXPECT_TRUE(news.contains("library"));
    EXPECT_EQ(view.count(Trust::none, kStart), 2u);
}

TEST(View, TheBandsGoOnWhileDiscoveryStaysDead) {
    EndpointView view = started_with(saved_of(live_view(), 2 * kSecond));
    EXPECT_FALSE(told(view, kStart).at("a").endpoint.unverified);
    const Micros second_band = *view.next_deadline(kStart);
    EXPECT_EQ(second_band, kStart + 3 * kSecond);
    EXPECT_TRUE(told(view, second_band).at("a").endpoint.unverified);
    const Micros last = *view.next_deadline(second_band);
    EXPECT_EQ(told(view, last).at("a").endpoint.state, EndpointState::removed);
    EXPECT_FALSE(view.next_deadline(last));
}

TEST(View, ADrainEverHeardBindsWhateverAFileSays) {
    EndpointView old = live_view();
    const Snapshot before = saved_of(old, 2 * kSecond);
    old.apply(fleet(6, false, {placed("a", "10.0.0.1:1", EndpointState::draining)}), kStart - 3 * kSecond);
    EndpointView view = started_with(saved_of(old, 2 * kSecond));
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    view.load(before, {kStart}, kStart);  // an older file that knew it as serving
    view.seed(fleet(0, true, {kA, kB}), kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    view.confirm(kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    view.apply(fleet(7, false, {kA}), kStart);  // a newer word
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
}

TEST(View, WhenDiscoveryReturnsTheViewIsReplacedAtOnce) {
    EndpointView view = started_with(saved_of(live_view(), 600 * kSecond));
    EXPECT_TRUE(told(view, kStart).at("a").endpoint.unverified);
    LocatedEndpoint back_cold = kB;
    back_cold.endpoint.started_at = kStart - 10 * kSecond;
    const LocatedEndpoint fresh = placed("c", "10.0.0.3:1");
    view.apply(fleet(9, true, {back_cold, fresh, kLibrary}), kStart + kSecond);
    view.confirm(kStart + kSecond);
    const auto news = told(view, kStart + kSecond);
    EXPECT_EQ(news.at("a").endpoint.state, EndpointState::removed);  // what is out there is treated as told
    EXPECT_FALSE(news.at("b").endpoint.unverified);
    EXPECT_EQ(news.at("b").endpoint.started_at, back_cold.endpoint.started_at);
    EXPECT_EQ(news.at("c").endpoint.state, EndpointState::ready);
}

TEST(View, ConfirmedWithoutNewsTheOldListIsUsedInFull) {
    EndpointView view = started_with(saved_of(live_view(), 600 * kSecond));
    told(view, kStart);
    view.confirm(kStart + kSecond);
    EXPECT_FALSE(told(view, kStart + kSecond).at("a").endpoint.unverified);
    EXPECT_FALSE(view.next_deadline(kStart + kSecond));
}

// ---- sources that disagree ----

TEST(View, OfTwoSourcesTheNewestNumberWins) {
    EndpointView one(options()), other(options());
    const WatchEvent newer = fleet(8, true, {kA}), older = fleet(7, true, {kB});
    one.apply(newer, kStart, 0), one.apply(older, kStart, 1);
    other.apply(older, kStart, 1), other.apply(newer, kStart, 0);
    EXPECT_TRUE(one.same_knowledge(other));
    EXPECT_EQ(one.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(one.find("b"), nullptr);
}

TEST(View, UnderOneNumberTheWorseStateWins) {
    EndpointView one(options()), other(options());
    const WatchEvent ready = fleet(8, false, {kA}),
                     out = fleet(8, false, {placed("a", "10.0.0.1:1", EndpointState::draining)});
    one.apply(ready, kStart, 0), one.apply(out, kStart, 1);
    other.apply(out, kStart, 1), other.apply(ready, kStart, 0);
    EXPECT_TRUE(one.same_knowledge(other));
    EXPECT_EQ(one.trust_of("a", kStart), Trust::none);
}

TEST(View, AnOldIdAtANewAddressIsTakenAsTold) {
    EndpointView view = started_with(saved_of(live_view(), 60 * kSecond));
    told(view, kStart);
    const LocatedEndpoint moved = placed("a", "10.0.7.7:1");
    view.apply(fleet(6, false, {moved}), kStart);
    EXPECT_EQ(told(view, kStart).at("a").address, "10.0.7.7:1");
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::unverified);
}

// Guards: two members at one address would send the old one's work to the new one, which is told as cold.
TEST(View, ANewIdAtAnOldAddressEndsTheOldOne) {
    EndpointView view = started_with(saved_of(live_view(), 60 * kSecond));
    told(view, kStart);
    view.apply(fleet(6, false, {placed("n", "10.0.0.1:1")}), kStart);
    const auto news = told(view, kStart);
    EXPECT_EQ(news.at("a").endpoint.state, EndpointState::removed);
    EXPECT_EQ(news.at("n").endpoint.state, EndpointState::ready);
}

// ---- lists that are not believed at once ----

TEST(View, AnEmptyListIsDoubtedAndBelievedInTime) {
    EndpointView view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB, kLibrary}), kStart, 0);
    EXPECT_EQ(view.apply(fleet(6, true, {kLibrary}), kStart, 0), ApplyResult::deferred);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.resume_after(), 5);  // a restart asks for it again
    EXPECT_EQ(*view.next_deadline(kStart), kStart + 30 * kSecond);
    view.advance(kStart + 29 * kSecond);
    EXPECT_TRUE(view.has_deferred_update());
    view.advance(kStart + 30 * kSecond);
    EXPECT_EQ(view.trust_of("a", kStart + 30 * kSecond), Trust::none);
    EXPECT_EQ(view.resume_after(), 6);
}

TEST(View, ASecondSourceEndsTheDoubt) {
    EndpointView view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB}), kStart, 0);
    view.apply(fleet(6, true, {}), kStart, 0);
    EXPECT_EQ(view.apply(fleet(6, true, {}), kStart, 0),
              ApplyResult::deferred);  // the same source again is no second
    EXPECT_EQ(view.apply(fleet(6, true, {}), kStart, 1), ApplyResult::applied);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
}

TEST(View, ANewerFullListEndsTheDoubt) {
    EndpointView view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB}), kStart, 0);
    view.apply(fleet(6, true, {}), kStart, 0);
    view.apply(fleet(7, true, {kB}), kStart, 0);
    EXPECT_FALSE(view.has_deferred_update());
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::full);
}

TEST(View, DrainsToldOneByOneAreNeverDoubted) {
    EndpointView view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB}), kStart, 0);
    view.apply(fleet(6, false,
                     {placed("a", "10.0.0.1:1", EndpointState::draining),
                      placed("b", "10.0.0.2:1", EndpointState::removed)}),
               kStart, 0);
    EXPECT_EQ(view.count(Trust::full, kStart), 0u);
}

// ---- the last resort ----

TEST(View, ASeedListStandsInForNoListAndForOneTooOld) {
    EndpointView none(options());
    none.seed(fleet(0, true, {kA, kB, kLibrary}), kStart);
    EXPECT_EQ(none.trust_of("a", kStart), Trust::unverified);
    EndpointView old = started_with(saved_of(live_view(), 3600 * kSecond));
    EXPECT_EQ(old.trust_of("a", kStart), Trust::none);
    old.seed(fleet(0, true, {kA}), kStart);
    EXPECT_EQ(old.trust_of("a", kStart), Trust::unverified);
    EXPECT_EQ(old.trust_of("b", kStart), Trust::none);  // not on the seed list
    // What the log tells replaces it.
    old.apply(fleet(9, true, {kB}), kStart);
    EXPECT_EQ(old.trust_of("a", kStart), Trust::none);
}

// Seen by an operator: the stats said list 0 while the seed list's members were in use.
TEST(View, ASeedListIsTheNewestListForPeopleButNoPlaceToResumeBehind) {
    EndpointView view(options());
    view.seed(fleet(3, true, {kA, kB, kLibrary}), kStart);
    EXPECT_EQ(view.newest_list(), 3);
    EXPECT_EQ(view.resume_after(), 0);
    view.apply(fleet(2, true, {kB}), kStart);
    EXPECT_EQ(view.newest_list(), 3);
    EXPECT_EQ(view.resume_after(), 2);
}

// ---- purges ----

TEST(View, PurgesThatMatterAreKeptAndTheNewestTimeCounts) {
    EndpointView view(options());
    view.apply(purge(1, "x", kStart - 5 * kSecond), kStart);
    view.apply(purge(2, "x", kStart - 3 * kSecond), kStart);
    view.apply(purge(3, "x", kStart - 4 * kSecond), kStart);
    view.apply(purge(4, "late", kStart - 60 * kSecond), kStart);  // no copy from before is about
    ASSERT_EQ(view.purges().size(), 1u);
    EXPECT_EQ(view.purges()[0].at, kStart - 3 * kSecond);
    view.advance(kStart + 8 * kSecond);
    EXPECT_EQ(view.purges().size(), 1u);
    view.advance(kStart + 10 * kSecond);
    EXPECT_TRUE(view.purges().empty());
}

TEST(View, APurgeDatedFarAheadPushesOutNoOther) {
    ViewOptions set = options();
    set.max_purges = 3;
    EndpointView view(set);
    for (int i = 0; i < 10; ++i)
        view.apply(purge(i + 1, "o" + std::to_string(i), kStart + 3600 * kSecond), kStart + i * kSecond);
    EXPECT_EQ(view.purges().size(), 3u);
    view.advance(kStart + 60 * kSecond);
    EXPECT_TRUE(view.purges().empty());
}

// ---- bounds ----

TEST(View, GoneMembersAreForgottenInTheEndAndStayGone) {
    ViewOptions set = options();
    set.max_removed = 100;
    EndpointView view(set);
    std::int64_t seq = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "m" + std::to_string(i), address = "10.0.0.1:" + std::to_string(i + 1);
        view.apply(fleet(++seq, false, {placed(id, address)}), kStart);
        view.apply(fleet(++seq, false, {placed(id, address, EndpointState::removed)}), kStart);
    }
    EXPECT_LE(view.size(), 101u);
    view.apply(fleet(1, false, {placed("m0", "10.0.0.1:1")}), kStart);  // its first word once more
    EXPECT_EQ(view.trust_of("m0", kStart), Trust::none);
}

// Guards: the addresses of those forgotten stayed for good, and a seed there was taken for displaced for
// good.
TEST(View, WithAForgottenMemberItsAddressIsForgotten) {
    ViewOptions set = options();
    set.max_removed = 4;
    EndpointView view(set);
    view.seed(fleet(0, true, {kA}), kStart);
    const LocatedEndpoint other = placed("other", kA.address),
                          gone = placed("other", kA.address, EndpointState::removed);
    view.apply(fleet(1, false, {other}), kStart);
    view.apply(fleet(2, false, {gone}), kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    for (int i = 3; i < 9; ++i)
        view.apply(fleet(i, false, {placed("m" + std::to_string(i), "10.1.0.1:1", EndpointState::removed)}),
                   kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::unverified);
}

TEST(View, AFullTableRefusesTheNewAndKeepsTheOld) {
    ViewOptions set = options();
    set.max_endpoints = 3;
    EndpointView view(set);
    view.apply(fleet(1, false, {kA, kB, kLibrary}), kStart);
    EXPECT_EQ(view.apply(fleet(2, false, {placed("n", "10.0.0.9:1")}), kStart), ApplyResult::full);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.apply(fleet(3, false, {placed("a", "10.0.0.1:1", EndpointState::removed)}), kStart),
              ApplyResult::applied);
}

// ---- a file whose age can't be told ----

TEST(View, AFileByAWrongClockStillBindsByItsDrainsAndPurges) {
    EndpointView old = live_view();
    old.apply(fleet(6, false, {placed("a", "10.0.0.1:1", EndpointState::draining)}), kStart);
    old.apply(purge(7, "x", kStart + 3600 * kSecond), kStart + 3600 * kSecond);
    const Snapshot ahead = old.snapshot("school", {kStart + 3600 * kSecond}, kStart + 3600 * kSecond);
    ASSERT_EQ(validate(ahead, "school", {kStart})->code, SnapshotError::Code::wrong_clock);
    EndpointView view(options());
    view.load_warnings(ahead, kStart);
    view.seed(fleet(0, true, {kA, kB}), kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::unverified);
    EXPECT_EQ(view.purges().size(), 1u);
}

}  // namespace sumackeel::endpoints
