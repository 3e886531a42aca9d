// The endpoint view: events go in, the endpoints that routing may use come out. Covers the cases of stale
// lists.
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
constexpr int kOriginKind = 2, kParentKind = 1;

LocatedEndpoint located_endpoint(const std::string& id, const std::string& address,
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

WatchEvent endpoint_event(std::int64_t seq, bool is_full_list, std::vector<LocatedEndpoint> members) {
    WatchEvent change;
    change.sequence = seq;
    change.has_endpoints = true;
    change.is_full_list = is_full_list;
    change.endpoints = std::move(members);
    return change;
}

WatchEvent purge_event(std::int64_t seq, const std::string& object, Micros at) {
    WatchEvent change;
    change.sequence = seq;
    change.has_purge = true;
    change.object = object;
    change.purged_at = at;
    return change;
}

ViewOptions options(Micros empty_list_delay = 0) {
    ViewOptions set;
    set.origin_kind = kOriginKind;
    set.parent_kind = kParentKind;
    set.empty_list_delay = empty_list_delay;
    return set;
}

const LocatedEndpoint kA = located_endpoint("a", "10.0.0.1:1"), kB = located_endpoint("b", "10.0.0.2:1"),
                      kOriginEndpoint =
                          located_endpoint("library", "10.9.0.1:1", EndpointState::ready, kOriginKind);

// The snapshot of a live view that was last confirmed `age` before kStart, when a and b also last responded.
Snapshot snapshot_of(EndpointView view, Micros age) {
    const Micros then = kStart - age;
    view.confirm(then);
    view.on_response("a", then);
    view.on_response("b", then);
    return view.snapshot("school", {then}, then);
}

EndpointView live_view() {
    EndpointView view(options());
    view.apply(endpoint_event(5, true, {kA, kB, kOriginEndpoint}), kStart - 7200 * kSecond);
    return view;
}

EndpointView view_loaded_from(const Snapshot& saved, ViewOptions set = options()) {
    EndpointView view(set);
    view.load(saved, {kStart}, kStart);
    return view;
}

std::map<std::string, LocatedEndpoint> changes_by_name(EndpointView& view, Micros now) {
    std::map<std::string, LocatedEndpoint> by_name;
    for (const LocatedEndpoint& one : view.take_changes(now)) by_name[one.endpoint.name] = one;
    return by_name;
}

}  // namespace

TEST(View, ALiveListIsUsedInFullAndOnlyNewsIsTold) {
    EndpointView view = live_view();
    EXPECT_EQ(changes_by_name(view, kStart).size(), 3u);
    EXPECT_TRUE(changes_by_name(view, kStart).empty());
    view.apply(endpoint_event(6, false, {located_endpoint("b", "10.0.0.2:1", EndpointState::draining)}),
               kStart);
    const auto changes = changes_by_name(view, kStart);
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes.at("b").endpoint.state, EndpointState::draining);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::none);
}

TEST(View, AListSecondsOldIsUsedInFullWhereTheMemberHadAnswered) {
    EndpointView old = live_view();
    Snapshot saved = snapshot_of(old, 2 * kSecond);
    for (KnownEndpoint& member : saved.endpoints)
        if (member.record->located.endpoint.name == "b")
            member.last_response_at = 60 * kSecond;  // no response for a minute
    const EndpointView view = view_loaded_from(saved);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::unverified);
}

TEST(View, BandsOfAgeDecideWhatAMemberMayBeGiven) {
    const EndpointView old = live_view();
    const StalenessPolicy policy;
    const std::vector<std::pair<Micros, Trust>> wanted{{0, Trust::full},
                                                       {policy.full_until - 1, Trust::full},
                                                       {policy.full_until, Trust::unverified},
                                                       {policy.unverified_until - 1, Trust::unverified},
                                                       {policy.unverified_until, Trust::none},
                                                       {3600 * kSecond, Trust::none}};
    for (const auto& [age, use] : wanted) {
        const EndpointView view = view_loaded_from(snapshot_of(old, age));
        EXPECT_EQ(view.trust_of("a", kStart), use) << age;
        EXPECT_EQ(view.trust_of("library", kStart), Trust::full) << age;  // the origin does not move
    }
}

// Guards against an hour-old list sending requests to servers that have been drained since.
TEST(View, AnHourOldListGivesNoBoxAnything) {
    EndpointView view = view_loaded_from(snapshot_of(live_view(), 3600 * kSecond));
    const auto changes = changes_by_name(view, kStart);
    EXPECT_FALSE(changes.contains("a"));
    EXPECT_TRUE(changes.contains("library"));
    EXPECT_EQ(view.count(Trust::none, kStart), 2u);
}

TEST(View, TheBandsGoOnWhileDiscoveryStaysDead) {
    EndpointView view = view_loaded_from(snapshot_of(live_view(), 2 * kSecond));
    EXPECT_FALSE(changes_by_name(view, kStart).at("a").endpoint.unverified);
    const Micros second_band = *view.next_deadline(kStart);
    EXPECT_EQ(second_band, kStart + 3 * kSecond);
    EXPECT_TRUE(changes_by_name(view, second_band).at("a").endpoint.unverified);
    const Micros last = *view.next_deadline(second_band);
    EXPECT_EQ(changes_by_name(view, last).at("a").endpoint.state, EndpointState::removed);
    EXPECT_FALSE(view.next_deadline(last));
}

TEST(View, ADrainEverHeardBindsWhateverAFileSays) {
    EndpointView old = live_view();
    const Snapshot before = snapshot_of(old, 2 * kSecond);
    old.apply(endpoint_event(6, false, {located_endpoint("a", "10.0.0.1:1", EndpointState::draining)}),
              kStart - 3 * kSecond);
    EndpointView view = view_loaded_from(snapshot_of(old, 2 * kSecond));
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    view.load(before, {kStart}, kStart);  // an older snapshot in which it was ready
    view.seed(endpoint_event(0, true, {kA, kB}), kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    view.confirm(kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    view.apply(endpoint_event(7, false, {kA}), kStart);  // a newer record
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
}

TEST(View, WhenDiscoveryReturnsTheViewIsReplacedAtOnce) {
    EndpointView view = view_loaded_from(snapshot_of(live_view(), 600 * kSecond));
    EXPECT_TRUE(changes_by_name(view, kStart).at("a").endpoint.unverified);
    LocatedEndpoint back_cold = kB;
    back_cold.endpoint.started_at = kStart - 10 * kSecond;
    const LocatedEndpoint fresh = located_endpoint("c", "10.0.0.3:1");
    view.apply(endpoint_event(9, true, {back_cold, fresh, kOriginEndpoint}), kStart + kSecond);
    view.confirm(kStart + kSecond);
    const auto changes = changes_by_name(view, kStart + kSecond);
    EXPECT_EQ(changes.at("a").endpoint.state, EndpointState::removed);  // not in the new list
    EXPECT_FALSE(changes.at("b").endpoint.unverified);
    EXPECT_EQ(changes.at("b").endpoint.started_at, back_cold.endpoint.started_at);
    EXPECT_EQ(changes.at("c").endpoint.state, EndpointState::ready);
}

TEST(View, ConfirmedWithoutNewsTheOldListIsUsedInFull) {
    EndpointView view = view_loaded_from(snapshot_of(live_view(), 600 * kSecond));
    changes_by_name(view, kStart);
    view.confirm(kStart + kSecond);
    EXPECT_FALSE(changes_by_name(view, kStart + kSecond).at("a").endpoint.unverified);
    EXPECT_FALSE(view.next_deadline(kStart + kSecond));
}

// ---- sources that disagree ----

TEST(View, OfTwoSourcesTheNewestNumberWins) {
    EndpointView one(options()), other(options());
    const WatchEvent newer = endpoint_event(8, true, {kA}), older = endpoint_event(7, true, {kB});
    one.apply(newer, kStart, 0), one.apply(older, kStart, 1);
    other.apply(older, kStart, 1), other.apply(newer, kStart, 0);
    EXPECT_TRUE(one.same_knowledge(other));
    EXPECT_EQ(one.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(one.find("b"), nullptr);
}

TEST(View, UnderOneNumberTheWorseStateWins) {
    EndpointView one(options()), other(options());
    const WatchEvent ready = endpoint_event(8, false, {kA}),
                     out = endpoint_event(8, false,
                                          {located_endpoint("a", "10.0.0.1:1", EndpointState::draining)});
    one.apply(ready, kStart, 0), one.apply(out, kStart, 1);
    other.apply(out, kStart, 1), other.apply(ready, kStart, 0);
    EXPECT_TRUE(one.same_knowledge(other));
    EXPECT_EQ(one.trust_of("a", kStart), Trust::none);
}

TEST(View, AnOldIdAtANewAddressIsTakenAsTold) {
    EndpointView view = view_loaded_from(snapshot_of(live_view(), 60 * kSecond));
    changes_by_name(view, kStart);
    const LocatedEndpoint moved = located_endpoint("a", "10.0.7.7:1");
    view.apply(endpoint_event(6, false, {moved}), kStart);
    EXPECT_EQ(changes_by_name(view, kStart).at("a").address, "10.0.7.7:1");
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::unverified);
}

// Guards against two endpoints at one address: requests for the old one would reach the new one, whose cache
// is cold.
TEST(View, ANewIdAtAnOldAddressEndsTheOldOne) {
    EndpointView view = view_loaded_from(snapshot_of(live_view(), 60 * kSecond));
    changes_by_name(view, kStart);
    view.apply(endpoint_event(6, false, {located_endpoint("n", "10.0.0.1:1")}), kStart);
    const auto changes = changes_by_name(view, kStart);
    EXPECT_EQ(changes.at("a").endpoint.state, EndpointState::removed);
    EXPECT_EQ(changes.at("n").endpoint.state, EndpointState::ready);
}

// ---- deferred lists ----

TEST(View, AnEmptyListIsDoubtedAndBelievedInTime) {
    EndpointView view(options(30 * kSecond));
    view.apply(endpoint_event(5, true, {kA, kB, kOriginEndpoint}), kStart, 0);
    EXPECT_EQ(view.apply(endpoint_event(6, true, {kOriginEndpoint}), kStart, 0), ApplyResult::deferred);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(view.resume_after(), 5);  // a restart requests it again
    EXPECT_EQ(*view.next_deadline(kStart), kStart + 30 * kSecond);
    view.advance(kStart + 29 * kSecond);
    EXPECT_TRUE(view.has_deferred_update());
    view.advance(kStart + 30 * kSecond);
    EXPECT_EQ(view.trust_of("a", kStart + 30 * kSecond), Trust::none);
    EXPECT_EQ(view.resume_after(), 6);
}

TEST(View, ASecondSourceEndsTheDoubt) {
    EndpointView view(options(30 * kSecond));
    view.apply(endpoint_event(5, true, {kA, kB}), kStart, 0);
    view.apply(endpoint_event(6, true, {}), kStart, 0);
    EXPECT_EQ(view.apply(endpoint_event(6, true, {}), kStart, 0),
              ApplyResult::deferred);  // a repetition by the same source does not confirm it
    EXPECT_EQ(view.apply(endpoint_event(6, true, {}), kStart, 1), ApplyResult::applied);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
}

TEST(View, ANewerFullListEndsTheDoubt) {
    EndpointView view(options(30 * kSecond));
    view.apply(endpoint_event(5, true, {kA, kB}), kStart, 0);
    view.apply(endpoint_event(6, true, {}), kStart, 0);
    view.apply(endpoint_event(7, true, {kB}), kStart, 0);
    EXPECT_FALSE(view.has_deferred_update());
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::full);
}

TEST(View, DrainsToldOneByOneAreNeverDoubted) {
    EndpointView view(options(30 * kSecond));
    view.apply(endpoint_event(5, true, {kA, kB}), kStart, 0);
    view.apply(endpoint_event(6, false,
                              {located_endpoint("a", "10.0.0.1:1", EndpointState::draining),
                               located_endpoint("b", "10.0.0.2:1", EndpointState::removed)}),
               kStart, 0);
    EXPECT_EQ(view.count(Trust::full, kStart), 0u);
}

// ---- seed lists ----

TEST(View, ASeedListStandsInForNoListAndForOneTooOld) {
    EndpointView none(options());
    none.seed(endpoint_event(0, true, {kA, kB, kOriginEndpoint}), kStart);
    EXPECT_EQ(none.trust_of("a", kStart), Trust::unverified);
    EndpointView old = view_loaded_from(snapshot_of(live_view(), 3600 * kSecond));
    EXPECT_EQ(old.trust_of("a", kStart), Trust::none);
    old.seed(endpoint_event(0, true, {kA}), kStart);
    EXPECT_EQ(old.trust_of("a", kStart), Trust::unverified);
    EXPECT_EQ(old.trust_of("b", kStart), Trust::none);  // not on the seed list
    // A list from the change log replaces it.
    old.apply(endpoint_event(9, true, {kB}), kStart);
    EXPECT_EQ(old.trust_of("a", kStart), Trust::none);
}

// Guards against metrics that show list 0 while the endpoints of a seed list are in use.
TEST(View, ASeedListIsTheNewestListForPeopleButNoPlaceToResumeBehind) {
    EndpointView view(options());
    view.seed(endpoint_event(3, true, {kA, kB, kOriginEndpoint}), kStart);
    EXPECT_EQ(view.newest_list(), 3);
    EXPECT_EQ(view.resume_after(), 0);
    view.apply(endpoint_event(2, true, {kB}), kStart);
    EXPECT_EQ(view.newest_list(), 3);
    EXPECT_EQ(view.resume_after(), 2);
}

// ---- purges ----

TEST(View, PurgesThatMatterAreKeptAndTheNewestTimeCounts) {
    EndpointView view(options());
    view.apply(purge_event(1, "x", kStart - 5 * kSecond), kStart);
    view.apply(purge_event(2, "x", kStart - 3 * kSecond), kStart);
    view.apply(purge_event(3, "x", kStart - 4 * kSecond), kStart);
    view.apply(purge_event(4, "late", kStart - 60 * kSecond), kStart);  // no older copy is left
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
        view.apply(purge_event(i + 1, "o" + std::to_string(i), kStart + 3600 * kSecond),
                   kStart + i * kSecond);
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
        view.apply(endpoint_event(++seq, false, {located_endpoint(id, address)}), kStart);
        view.apply(endpoint_event(++seq, false, {located_endpoint(id, address, EndpointState::removed)}),
                   kStart);
    }
    EXPECT_LE(view.size(), 101u);
    view.apply(endpoint_event(1, false, {located_endpoint("m0", "10.0.0.1:1")}),
               kStart);  // its first record again
    EXPECT_EQ(view.trust_of("m0", kStart), Trust::none);
}

// Guards against addresses of evicted endpoints that are never removed: a seed endpoint at such an address
// would count as replaced forever.
TEST(View, WithAForgottenMemberItsAddressIsForgotten) {
    ViewOptions set = options();
    set.max_removed = 4;
    EndpointView view(set);
    view.seed(endpoint_event(0, true, {kA}), kStart);
    const LocatedEndpoint other = located_endpoint("other", kA.address),
                          gone = located_endpoint("other", kA.address, EndpointState::removed);
    view.apply(endpoint_event(1, false, {other}), kStart);
    view.apply(endpoint_event(2, false, {gone}), kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    for (int i = 3; i < 9; ++i)
        view.apply(
            endpoint_event(i, false,
                           {located_endpoint("m" + std::to_string(i), "10.1.0.1:1", EndpointState::removed)}),
            kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::unverified);
}

TEST(View, AFullTableRefusesTheNewAndKeepsTheOld) {
    ViewOptions set = options();
    set.max_endpoints = 3;
    EndpointView view(set);
    view.apply(endpoint_event(1, false, {kA, kB, kOriginEndpoint}), kStart);
    EXPECT_EQ(view.apply(endpoint_event(2, false, {located_endpoint("n", "10.0.0.9:1")}), kStart),
              ApplyResult::full);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
    EXPECT_EQ(
        view.apply(endpoint_event(3, false, {located_endpoint("a", "10.0.0.1:1", EndpointState::removed)}),
                   kStart),
        ApplyResult::applied);
}

// ---- snapshots whose age can't be determined ----

TEST(View, AFileByAWrongClockStillBindsByItsDrainsAndPurges) {
    EndpointView old = live_view();
    old.apply(endpoint_event(6, false, {located_endpoint("a", "10.0.0.1:1", EndpointState::draining)}),
              kStart);
    old.apply(purge_event(7, "x", kStart + 3600 * kSecond), kStart + 3600 * kSecond);
    const Snapshot ahead = old.snapshot("school", {kStart + 3600 * kSecond}, kStart + 3600 * kSecond);
    ASSERT_EQ(validate(ahead, "school", {kStart})->code, SnapshotError::Code::wrong_clock);
    EndpointView view(options());
    view.load_warnings(ahead, kStart);
    view.seed(endpoint_event(0, true, {kA, kB}), kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::none);
    EXPECT_EQ(view.trust_of("b", kStart), Trust::unverified);
    EXPECT_EQ(view.purges().size(), 1u);
}

// Guards against events of a change log that began anew being passed over, or taken for known (review/6).
TEST(ViewNumbering, WhatWasKnownBindsUntilANewEventSaysOtherwise) {
    EndpointView view = live_view();
    view.apply(endpoint_event(40, false, {located_endpoint("a", kA.address, EndpointState::draining)}),
               kStart);
    view.begin_numbering();
    EXPECT_EQ(view.resume_after(), 0);
    view.apply(endpoint_event(1, false, {kB}), kStart);
    EXPECT_EQ(changes_by_name(view, kStart)["a"].endpoint.state, EndpointState::draining);
    view.apply(endpoint_event(2, true, {kA, kB, kOriginEndpoint}), kStart);
    EXPECT_EQ(changes_by_name(view, kStart)["a"].endpoint.state, EndpointState::ready);
    view.apply(endpoint_event(3, true, {kA, kOriginEndpoint}), kStart);
    EXPECT_EQ(changes_by_name(view, kStart)["b"].endpoint.state, EndpointState::removed);
    EXPECT_EQ(view.resume_after(), 3);
}

TEST(ViewNumbering, ASnapshotKeepsTheNumbersOfBothLives) {
    EndpointView view = live_view();
    view.apply(endpoint_event(40, false, {kA}), kStart);
    view.begin_numbering();
    view.apply(endpoint_event(2, false, {located_endpoint("a", kA.address, EndpointState::draining)}),
               kStart);
    const Snapshot saved = view.snapshot("school", {kStart}, kStart);
    const NameTables names{{"coast", "edge-1"}, {"small", "parent", "origin"}};
    const auto decoded = decode(encode(saved, names), names);
    ASSERT_FALSE(decoded.error);
    EndpointView loaded = view_loaded_from(decoded.snapshot);
    EXPECT_EQ(loaded.resume_after(), 2);
    EXPECT_TRUE(loaded.same_knowledge(view));
    EXPECT_EQ(changes_by_name(loaded, kStart).count("a"), 1);
    EXPECT_EQ(loaded.compare(endpoint_event(2, false, {kA})), Continuity::other_numbering);
}

TEST(ViewNumbering, AKnownNumberTellsWhetherTheNumberingIsTheSame) {
    const LocatedEndpoint drained = located_endpoint("a", kA.address, EndpointState::draining);
    EndpointView view = live_view();  // the whole list at 5
    view.apply(endpoint_event(7, false, {drained}), kStart);
    EXPECT_EQ(view.compare(endpoint_event(7, false, {drained})), Continuity::same_numbering);
    EXPECT_EQ(view.compare(endpoint_event(7, false, {kA})), Continuity::other_numbering);
    EXPECT_EQ(view.compare(endpoint_event(6, false, {kB})), Continuity::other_numbering)
        << "it was told at 5 last";
    EXPECT_EQ(view.compare(endpoint_event(6, false, {kA})), Continuity::unknown) << "it was told of since";
    EXPECT_EQ(view.compare(endpoint_event(6, false, {located_endpoint("c", "10.0.0.3:1")})),
              Continuity::other_numbering);
    EXPECT_EQ(view.compare(endpoint_event(3, false, {located_endpoint("c", "10.0.0.3:1")})),
              Continuity::unknown);
    EXPECT_EQ(view.compare(endpoint_event(6, true, {kA, kB})), Continuity::other_numbering)
        << "a later whole list";
    EXPECT_EQ(view.compare(endpoint_event(5, false, {kB})), Continuity::other_numbering)
        << "that was a whole list";
    EXPECT_EQ(view.compare(endpoint_event(8, false, {kB})), Continuity::unknown) << "not known yet";
}

TEST(ViewNumbering, APurgeIsComparedAfterARestartToo) {
    EndpointView view = live_view();
    view.apply(purge_event(6, "x", kStart), kStart);
    EndpointView loaded = view_loaded_from(view.snapshot("school", {kStart}, kStart));
    for (const EndpointView* one : {&view, &loaded}) {
        EXPECT_EQ(one->compare(purge_event(6, "x", kStart)), Continuity::same_numbering);
        EXPECT_EQ(one->compare(purge_event(6, "y", kStart)), Continuity::other_numbering);
        EXPECT_EQ(one->compare(endpoint_event(6, false, {kA})), Continuity::other_numbering);
    }
}

TEST(ViewNumbering, AListThatIsHeldBackTellsNothing) {
    EndpointView view(options(kSecond));
    view.apply(endpoint_event(5, true, {kA, kB, kOriginEndpoint}), kStart);
    EXPECT_EQ(view.apply(endpoint_event(6, true, {kOriginEndpoint}), kStart), ApplyResult::deferred);
    EXPECT_EQ(view.compare(endpoint_event(6, true, {kOriginEndpoint})), Continuity::unknown);
}

TEST(ViewNumbering, AChangeLogConfirmsASeedList) {
    EndpointView view(options());
    view.seed(endpoint_event(1, true, {kA, kB}), kStart);
    view.apply(endpoint_event(1, true, {kA, kB}), kStart);
    view.confirm(kStart);
    EXPECT_EQ(view.trust_of("a", kStart), Trust::full);
}

}  // namespace sumackeel::endpoints
