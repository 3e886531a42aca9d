// The bytes of a saved list: what is read back, and what is passed over with which reason.
#include "membership/saved.h"

#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <random>

namespace sumackeel::membership {
namespace {

using base::kSecond;
using Kind = Fault::Kind;

constexpr Micros kNow = 1'700'000'000LL * kSecond;
const Names kNames{{"coast", "edge-1"}, {"small", "parent", "origin"}};

Snapshot some_list(int members = 3) {
    Snapshot list;
    list.site = "school";
    list.taken_at = {kNow};
    list.sure_age = kSecond;
    list.last_seq = 41, list.whole_at = 7, list.forgotten_to = 3;
    for (int i = 0; i < members; ++i) {
        Word word;
        word.seq = 7 + i % 30;
        word.placed.address = "10.0.0." + std::to_string(i % 250) + ":9090";
        word.placed.entry = {.cache = "s-" + std::to_string(i),
                             .weight = 4.5,
                             .zone = 1,
                             .since = i,
                             .kind = i % 3,
                             .cell = i};
        word.placed.entry.state = static_cast<nettlethread::CacheState>(i % 3);
        list.members.push_back({std::make_shared<const Word>(word), i % 2 ? -1 : 1000});
    }
    list.purges = {{"7f3a9c21e0b4d655", 0, kNow - kSecond}, {"", 17, kNow - 2 * kSecond}};
    return list;
}

}  // namespace

TEST(SavedForm, WhatIsWrittenIsReadBack) {
    const Snapshot list = some_list();
    const Decoded read = decode(encode(list, kNames), kNames);
    ASSERT_FALSE(read.fault) << read.fault->text;
    EXPECT_EQ(read.list.site, "school");
    EXPECT_EQ(read.list.taken_at, list.taken_at);
    EXPECT_EQ(read.list.sure_age, list.sure_age);
    EXPECT_EQ(read.list.last_seq, 41);
    EXPECT_EQ(read.list.whole_at, 7);
    EXPECT_EQ(read.list.forgotten_to, 3);
    EXPECT_EQ(read.list.purges, list.purges);
    ASSERT_EQ(read.list.members.size(), 3u);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(read.list.members[i].word->same_as(*list.members[i].word));
        EXPECT_EQ(read.list.members[i].answered, list.members[i].answered);
    }
}

// Guards: numbers of zones and kinds move with the settings; a parent must not come back as a cache.
TEST(SavedForm, ZonesAndKindsGoByName) {
    const Names later{{"new", "edge-1", "coast"}, {"origin", "small"}};
    const Decoded read = decode(encode(some_list(), kNames), later);
    ASSERT_FALSE(read.fault);
    EXPECT_EQ(read.left_out, 1u);  // the parent's kind is not known any more
    ASSERT_EQ(read.list.members.size(), 2u);
    EXPECT_EQ(read.list.members[0].word->placed.entry.kind, 1);
    EXPECT_EQ(read.list.members[1].word->placed.entry.kind, 0);
    EXPECT_EQ(read.list.members[0].word->placed.entry.zone, 1);
}

TEST(SavedForm, AnyBadByteAndAnyCutIsNoticed) {
    const std::string good = encode(some_list(), kNames);
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 0x10);
        EXPECT_TRUE(decode(bad, kNames).fault) << "byte " << i;
        EXPECT_TRUE(decode(good.substr(0, i), kNames).fault) << "cut at " << i;
    }
    EXPECT_TRUE(decode(good + "x", kNames).fault);
}

TEST(SavedForm, AFileOfALaterProgramIsNamedAsSuch) {
    std::string later = encode(some_list(), kNames);
    later[8] = 2;
    EXPECT_EQ(decode(later, kNames).fault->kind, Kind::damaged);   // a flipped byte is no later version
    const std::uint64_t checksum = XXH3_64bits(later.data(), 28);  // as a later program would write it
    for (std::size_t i = 0; i < 8; ++i) later[28 + i] = static_cast<char>(checksum >> (8 * i));
    EXPECT_EQ(decode(later, kNames).fault->kind, Kind::later_version);
    EXPECT_EQ(decode("SUMLIST", kNames).fault->kind, Kind::not_a_list);
    EXPECT_EQ(decode(std::string(100, 'x'), kNames).fault->kind, Kind::not_a_list);
}

// Guards: bytes that pass the checksums were still written by somebody; nothing in them may end the program.
TEST(SavedForm, NoiseInTheContentNeverEndsTheProgram) {
    std::mt19937 rng(20261201);
    const std::string good = encode(some_list(50), kNames);
    for (int round = 0; round < 3000; ++round) {
        std::string bad = good;
        for (int flips = 1 + static_cast<int>(rng() % 4); flips > 0; --flips)
            bad[rng() % bad.size()] = static_cast<char>(rng());
        decode(bad, kNames);
    }
}

TEST(SavedForm, TenThousandMembersStaySmall) {
    const std::string bytes = encode(some_list(10'000), kNames);
    EXPECT_LT(bytes.size(), 400'000u);
    EXPECT_EQ(decode(bytes, kNames).list.members.size(), 10'000u);
}

TEST(SavedForm, OtherSitesAndWrongClocksAreToldApart) {
    const Snapshot list = some_list();
    EXPECT_FALSE(judge(list, "school", {kNow + 3600 * kSecond}));
    EXPECT_FALSE(judge(list, "school", {kNow - kSecond}));  // clocks may be a little apart
    EXPECT_EQ(judge(list, "other", {kNow})->kind, Kind::other_site);
    EXPECT_EQ(judge(list, "school", {kNow - 3600 * kSecond})->kind, Kind::wrong_clock);  // set back an hour
    EXPECT_EQ(judge(list, "school", {kNow + kOldest + kSecond})->kind, Kind::wrong_clock);
    EXPECT_EQ(age_of(list, {kNow + 10 * kSecond}), 11 * kSecond);
}

}  // namespace sumackeel::membership
