// The view of the fleet, alone: words in, what the module may use out. Each hard case of a stale list is
// here.
#include "membership/view.h"

#include <gtest/gtest.h>

#include "membership/saved.h"

namespace sumackeel::membership {
namespace {

using base::kSecond;
using config::Change;
using config::Placed;
using nettlethread::CacheState;

constexpr Micros kStart = 1'700'000'000 * kSecond;
constexpr int kOrigin = 2, kParent = 1;

Placed placed(const std::string& id, const std::string& address, CacheState state = CacheState::ready,
              int kind = 0) {
    Placed one;
    one.entry.cache = id;
    one.entry.state = state;
    one.entry.kind = kind;
    one.entry.zone = 1;
    one.entry.weight = 4;
    one.address = address;
    return one;
}

Change fleet(std::int64_t seq, bool whole, std::vector<Placed> members) {
    Change change;
    change.seq = seq;
    change.has_fleet = true;
    change.whole = whole;
    change.members = std::move(members);
    return change;
}

Change purge(std::int64_t seq, const std::string& object, Micros at) {
    Change change;
    change.seq = seq;
    change.has_purge = true;
    change.object = object;
    change.purged_at = at;
    return change;
}

Options options(Micros doubt_for = 0) {
    Options set;
    set.origin_kind = kOrigin;
    set.parent_kind = kParent;
    set.doubt_for = doubt_for;
    return set;
}

const Placed kA = placed("a", "10.0.0.1:1"), kB = placed("b", "10.0.0.2:1"),
             kLibrary = placed("library", "10.9.0.1:1", CacheState::ready, kOrigin);

// What a file held of a view that was live, and sure until `age` before kStart; a and b answered just then.
Snapshot saved_of(View view, Micros age) {
    const Micros then = kStart - age;
    view.confirm(then);
    view.answered("a", then);
    view.answered("b", then);
    return view.snapshot("school", {then}, then);
}

View live_view() {
    View view(options());
    view.apply(fleet(5, true, {kA, kB, kLibrary}), kStart - 7200 * kSecond);
    return view;
}

View started_with(const Snapshot& saved, Options set = options()) {
    View view(set);
    view.load(saved, {kStart}, kStart);
    return view;
}

std::map<std::string, Placed> told(View& view, Micros now) {
    std::map<std::string, Placed> by_name;
    for (const Placed& one : view.changes(now)) by_name[one.entry.cache] = one;
    return by_name;
}

}  // namespace

TEST(View, ALiveListIsUsedInFullAndOnlyNewsIsTold) {
    View view = live_view();
    EXPECT_EQ(told(view, kStart).size(), 3u);
    EXPECT_TRUE(told(view, kStart).empty());
    view.apply(fleet(6, false, {placed("b", "10.0.0.2:1", CacheState::draining)}), kStart);
    const auto news = told(view, kStart);
    ASSERT_EQ(news.size(), 1u);
    EXPECT_EQ(news.at("b").entry.state, CacheState::draining);
    EXPECT_EQ(view.use_of("b", kStart), Use::none);
}

TEST(View, AListSecondsOldIsUsedInFullWhereTheMemberHadAnswered) {
    View old = live_view();
    Snapshot saved = saved_of(old, 2 * kSecond);
    for (Member& member : saved.members)
        if (member.word->placed.entry.cache == "b") member.answered = 60 * kSecond;  // silent for a minute
    const View view = started_with(saved);
    EXPECT_EQ(view.use_of("a", kStart), Use::full);
    EXPECT_EQ(view.use_of("b", kStart), Use::careful);
}

TEST(View, BandsOfAgeDecideWhatAMemberMayBeGiven) {
    const View old = live_view();
    const Bands bands;
    const std::vector<std::pair<Micros, Use>> wanted{{0, Use::full},
                                                     {bands.full_until - 1, Use::full},
                                                     {bands.full_until, Use::careful},
                                                     {bands.careful_until - 1, Use::careful},
                                                     {bands.careful_until, Use::none},
                                                     {3600 * kSecond, Use::none}};
    for (const auto& [age, use] : wanted) {
        const View view = started_with(saved_of(old, age));
        EXPECT_EQ(view.use_of("a", kStart), use) << age;
        EXPECT_EQ(view.use_of("library", kStart), Use::full) << age;  // it stays where it is
    }
}

// Guards: an hour-old list naming boxes that have since drained must not send them work.
TEST(View, AnHourOldListGivesNoBoxAnything) {
    View view = started_with(saved_of(live_view(), 3600 * kSecond));
    const auto news = told(view, kStart);
    EXPECT_FALSE(news.contains("a"));
    EXPECT_TRUE(news.contains("library"));
    EXPECT_EQ(view.count(Use::none, kStart), 2u);
}

TEST(View, TheBandsGoOnWhileDiscoveryStaysDead) {
    View view = started_with(saved_of(live_view(), 2 * kSecond));
    EXPECT_FALSE(told(view, kStart).at("a").entry.careful);
    const Micros second_band = *view.due(kStart);
    EXPECT_EQ(second_band, kStart + 3 * kSecond);
    EXPECT_TRUE(told(view, second_band).at("a").entry.careful);
    const Micros last = *view.due(second_band);
    EXPECT_EQ(told(view, last).at("a").entry.state, CacheState::gone);
    EXPECT_FALSE(view.due(last));
}

TEST(View, ADrainEverHeardBindsWhateverAFileSays) {
    View old = live_view();
    const Snapshot before = saved_of(old, 2 * kSecond);
    old.apply(fleet(6, false, {placed("a", "10.0.0.1:1", CacheState::draining)}), kStart - 3 * kSecond);
    View view = started_with(saved_of(old, 2 * kSecond));
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
    view.load(before, {kStart}, kStart);  // an older file that knew it as serving
    view.seed(fleet(0, true, {kA, kB}), kStart);
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
    view.confirm(kStart);
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
    view.apply(fleet(7, false, {kA}), kStart);  // a newer word
    EXPECT_EQ(view.use_of("a", kStart), Use::full);
}

TEST(View, WhenDiscoveryReturnsTheViewIsReplacedAtOnce) {
    View view = started_with(saved_of(live_view(), 600 * kSecond));
    EXPECT_TRUE(told(view, kStart).at("a").entry.careful);
    Placed back_cold = kB;
    back_cold.entry.since = kStart - 10 * kSecond;
    const Placed fresh = placed("c", "10.0.0.3:1");
    view.apply(fleet(9, true, {back_cold, fresh, kLibrary}), kStart + kSecond);
    view.confirm(kStart + kSecond);
    const auto news = told(view, kStart + kSecond);
    EXPECT_EQ(news.at("a").entry.state, CacheState::gone);  // what is out there is treated as told
    EXPECT_FALSE(news.at("b").entry.careful);
    EXPECT_EQ(news.at("b").entry.since, back_cold.entry.since);
    EXPECT_EQ(news.at("c").entry.state, CacheState::ready);
}

TEST(View, ConfirmedWithoutNewsTheOldListIsUsedInFull) {
    View view = started_with(saved_of(live_view(), 600 * kSecond));
    told(view, kStart);
    view.confirm(kStart + kSecond);
    EXPECT_FALSE(told(view, kStart + kSecond).at("a").entry.careful);
    EXPECT_FALSE(view.due(kStart + kSecond));
}

// ---- sources that disagree ----

TEST(View, OfTwoSourcesTheNewestNumberWins) {
    View one(options()), other(options());
    const Change newer = fleet(8, true, {kA}), older = fleet(7, true, {kB});
    one.apply(newer, kStart, 0), one.apply(older, kStart, 1);
    other.apply(older, kStart, 1), other.apply(newer, kStart, 0);
    EXPECT_TRUE(one.same_knowledge(other));
    EXPECT_EQ(one.use_of("a", kStart), Use::full);
    EXPECT_EQ(one.find("b"), nullptr);
}

TEST(View, UnderOneNumberTheWorseStateWins) {
    View one(options()), other(options());
    const Change ready = fleet(8, false, {kA}),
                 out = fleet(8, false, {placed("a", "10.0.0.1:1", CacheState::draining)});
    one.apply(ready, kStart, 0), one.apply(out, kStart, 1);
    other.apply(out, kStart, 1), other.apply(ready, kStart, 0);
    EXPECT_TRUE(one.same_knowledge(other));
    EXPECT_EQ(one.use_of("a", kStart), Use::none);
}

TEST(View, AnOldIdAtANewAddressIsTakenAsTold) {
    View view = started_with(saved_of(live_view(), 60 * kSecond));
    told(view, kStart);
    const Placed moved = placed("a", "10.0.7.7:1");
    view.apply(fleet(6, false, {moved}), kStart);
    EXPECT_EQ(told(view, kStart).at("a").address, "10.0.7.7:1");
    EXPECT_EQ(view.use_of("a", kStart), Use::full);
    EXPECT_EQ(view.use_of("b", kStart), Use::careful);
}

// Guards: two members at one address would send the old one's work to the new one, which is told as cold.
TEST(View, ANewIdAtAnOldAddressEndsTheOldOne) {
    View view = started_with(saved_of(live_view(), 60 * kSecond));
    told(view, kStart);
    view.apply(fleet(6, false, {placed("n", "10.0.0.1:1")}), kStart);
    const auto news = told(view, kStart);
    EXPECT_EQ(news.at("a").entry.state, CacheState::gone);
    EXPECT_EQ(news.at("n").entry.state, CacheState::ready);
}

// ---- lists that are not believed at once ----

TEST(View, AnEmptyListIsDoubtedAndBelievedInTime) {
    View view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB, kLibrary}), kStart, 0);
    EXPECT_EQ(view.apply(fleet(6, true, {kLibrary}), kStart, 0), Heard::doubted);
    EXPECT_EQ(view.use_of("a", kStart), Use::full);
    EXPECT_EQ(view.resume_behind(), 5);  // a restart asks for it again
    EXPECT_EQ(*view.due(kStart), kStart + 30 * kSecond);
    view.pass(kStart + 29 * kSecond);
    EXPECT_TRUE(view.doubting());
    view.pass(kStart + 30 * kSecond);
    EXPECT_EQ(view.use_of("a", kStart + 30 * kSecond), Use::none);
    EXPECT_EQ(view.resume_behind(), 6);
}

TEST(View, ASecondSourceEndsTheDoubt) {
    View view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB}), kStart, 0);
    view.apply(fleet(6, true, {}), kStart, 0);
    EXPECT_EQ(view.apply(fleet(6, true, {}), kStart, 0),
              Heard::doubted);  // the same source again is no second
    EXPECT_EQ(view.apply(fleet(6, true, {}), kStart, 1), Heard::taken);
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
}

TEST(View, ANewerFullListEndsTheDoubt) {
    View view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB}), kStart, 0);
    view.apply(fleet(6, true, {}), kStart, 0);
    view.apply(fleet(7, true, {kB}), kStart, 0);
    EXPECT_FALSE(view.doubting());
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
    EXPECT_EQ(view.use_of("b", kStart), Use::full);
}

TEST(View, DrainsToldOneByOneAreNeverDoubted) {
    View view(options(30 * kSecond));
    view.apply(fleet(5, true, {kA, kB}), kStart, 0);
    view.apply(
        fleet(6, false,
              {placed("a", "10.0.0.1:1", CacheState::draining), placed("b", "10.0.0.2:1", CacheState::gone)}),
        kStart, 0);
    EXPECT_EQ(view.count(Use::full, kStart), 0u);
}

// ---- the last resort ----

TEST(View, ASeedListStandsInForNoListAndForOneTooOld) {
    View none(options());
    none.seed(fleet(0, true, {kA, kB, kLibrary}), kStart);
    EXPECT_EQ(none.use_of("a", kStart), Use::careful);
    View old = started_with(saved_of(live_view(), 3600 * kSecond));
    EXPECT_EQ(old.use_of("a", kStart), Use::none);
    old.seed(fleet(0, true, {kA}), kStart);
    EXPECT_EQ(old.use_of("a", kStart), Use::careful);
    EXPECT_EQ(old.use_of("b", kStart), Use::none);  // not on the seed list
    // What the log tells replaces it.
    old.apply(fleet(9, true, {kB}), kStart);
    EXPECT_EQ(old.use_of("a", kStart), Use::none);
}

// Seen by an operator: the stats said list 0 while the seed list's members were in use.
TEST(View, ASeedListIsTheNewestListForPeopleButNoPlaceToResumeBehind) {
    View view(options());
    view.seed(fleet(3, true, {kA, kB, kLibrary}), kStart);
    EXPECT_EQ(view.newest_list(), 3);
    EXPECT_EQ(view.resume_behind(), 0);
    view.apply(fleet(2, true, {kB}), kStart);
    EXPECT_EQ(view.newest_list(), 3);
    EXPECT_EQ(view.resume_behind(), 2);
}

// ---- purges ----

TEST(View, PurgesThatMatterAreKeptAndTheNewestTimeCounts) {
    View view(options());
    view.apply(purge(1, "x", kStart - 5 * kSecond), kStart);
    view.apply(purge(2, "x", kStart - 3 * kSecond), kStart);
    view.apply(purge(3, "x", kStart - 4 * kSecond), kStart);
    view.apply(purge(4, "late", kStart - 60 * kSecond), kStart);  // no copy from before is about
    ASSERT_EQ(view.purges().size(), 1u);
    EXPECT_EQ(view.purges()[0].at, kStart - 3 * kSecond);
    view.pass(kStart + 8 * kSecond);
    EXPECT_EQ(view.purges().size(), 1u);
    view.pass(kStart + 10 * kSecond);
    EXPECT_TRUE(view.purges().empty());
}

TEST(View, APurgeDatedFarAheadPushesOutNoOther) {
    Options set = options();
    set.most_purges = 3;
    View view(set);
    for (int i = 0; i < 10; ++i)
        view.apply(purge(i + 1, "o" + std::to_string(i), kStart + 3600 * kSecond), kStart + i * kSecond);
    EXPECT_EQ(view.purges().size(), 3u);
    view.pass(kStart + 60 * kSecond);
    EXPECT_TRUE(view.purges().empty());
}

// ---- bounds ----

TEST(View, GoneMembersAreForgottenInTheEndAndStayGone) {
    Options set = options();
    set.most_gone = 100;
    View view(set);
    std::int64_t seq = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "m" + std::to_string(i), address = "10.0.0.1:" + std::to_string(i + 1);
        view.apply(fleet(++seq, false, {placed(id, address)}), kStart);
        view.apply(fleet(++seq, false, {placed(id, address, CacheState::gone)}), kStart);
    }
    EXPECT_LE(view.size(), 101u);
    view.apply(fleet(1, false, {placed("m0", "10.0.0.1:1")}), kStart);  // its first word once more
    EXPECT_EQ(view.use_of("m0", kStart), Use::none);
}

// Guards: the addresses of those forgotten stayed for good, and a seed there was taken for displaced for
// good.
TEST(View, WithAForgottenMemberItsAddressIsForgotten) {
    Options set = options();
    set.most_gone = 4;
    View view(set);
    view.seed(fleet(0, true, {kA}), kStart);
    const Placed other = placed("other", kA.address), gone = placed("other", kA.address, CacheState::gone);
    view.apply(fleet(1, false, {other}), kStart);
    view.apply(fleet(2, false, {gone}), kStart);
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
    for (int i = 3; i < 9; ++i)
        view.apply(fleet(i, false, {placed("m" + std::to_string(i), "10.1.0.1:1", CacheState::gone)}),
                   kStart);
    EXPECT_EQ(view.use_of("a", kStart), Use::careful);
}

TEST(View, AFullTableRefusesTheNewAndKeepsTheOld) {
    Options set = options();
    set.most_members = 3;
    View view(set);
    view.apply(fleet(1, false, {kA, kB, kLibrary}), kStart);
    EXPECT_EQ(view.apply(fleet(2, false, {placed("n", "10.0.0.9:1")}), kStart), Heard::full);
    EXPECT_EQ(view.use_of("a", kStart), Use::full);
    EXPECT_EQ(view.apply(fleet(3, false, {placed("a", "10.0.0.1:1", CacheState::gone)}), kStart),
              Heard::taken);
}

// ---- a file whose age can't be told ----

TEST(View, AFileByAWrongClockStillBindsByItsDrainsAndPurges) {
    View old = live_view();
    old.apply(fleet(6, false, {placed("a", "10.0.0.1:1", CacheState::draining)}), kStart);
    old.apply(purge(7, "x", kStart + 3600 * kSecond), kStart + 3600 * kSecond);
    const Snapshot ahead = old.snapshot("school", {kStart + 3600 * kSecond}, kStart + 3600 * kSecond);
    ASSERT_EQ(judge(ahead, "school", {kStart})->kind, Fault::Kind::wrong_clock);
    View view(options());
    view.load_warnings(ahead, kStart);
    view.seed(fleet(0, true, {kA, kB}), kStart);
    EXPECT_EQ(view.use_of("a", kStart), Use::none);
    EXPECT_EQ(view.use_of("b", kStart), Use::careful);
    EXPECT_EQ(view.purges().size(), 1u);
}

}  // namespace sumackeel::membership
