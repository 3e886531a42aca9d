// The bytes of a saved list: what is read back, and what is passed over with which reason.
#include "endpoints/snapshot_codec.h"

#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <random>

namespace sumackeel::endpoints {
namespace {

using base::kSecond;
using Code = SnapshotError::Code;

constexpr Micros kNow = 1'700'000'000LL * kSecond;
const NameTables kNames{{"coast", "edge-1"}, {"small", "parent", "origin"}};

Snapshot some_list(int members = 3) {
    Snapshot list;
    list.site = "school";
    list.taken_at = {kNow};
    list.confirmed_age = kSecond;
    list.last_sequence = 41, list.full_list_sequence = 7, list.forgotten_through = 3;
    for (int i = 0; i < members; ++i) {
        EndpointRecord word;
        word.sequence = 7 + i % 30;
        word.located.address = "10.0.0." + std::to_string(i % 250) + ":9090";
        word.located.endpoint = {.name = "s-" + std::to_string(i),
                                 .weight = 4.5,
                                 .zone = 1,
                                 .started_at = i,
                                 .kind = i % 3,
                                 .cell = i};
        word.located.endpoint.state = static_cast<routing::EndpointState>(i % 3);
        list.endpoints.push_back({std::make_shared<const EndpointRecord>(word), i % 2 ? -1 : 1000});
    }
    list.purges = {{"7f3a9c21e0b4d655", 0, kNow - kSecond}, {"", 17, kNow - 2 * kSecond}};
    return list;
}

}  // namespace

TEST(SavedForm, WhatIsWrittenIsReadBack) {
    const Snapshot list = some_list();
    const DecodedSnapshot read = decode(encode(list, kNames), kNames);
    ASSERT_FALSE(read.error) << read.error->text;
    EXPECT_EQ(read.snapshot.site, "school");
    EXPECT_EQ(read.snapshot.taken_at, list.taken_at);
    EXPECT_EQ(read.snapshot.confirmed_age, list.confirmed_age);
    EXPECT_EQ(read.snapshot.last_sequence, 41);
    EXPECT_EQ(read.snapshot.full_list_sequence, 7);
    EXPECT_EQ(read.snapshot.forgotten_through, 3);
    EXPECT_EQ(read.snapshot.purges, list.purges);
    ASSERT_EQ(read.snapshot.endpoints.size(), 3u);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(read.snapshot.endpoints[i].record->is_equivalent(*list.endpoints[i].record));
        EXPECT_EQ(read.snapshot.endpoints[i].last_response_at, list.endpoints[i].last_response_at);
    }
}

// Guards: numbers of zones and kinds move with the settings; a parent must not come back as a cache.
TEST(SavedForm, ZonesAndKindsGoByName) {
    const NameTables later{{"new", "edge-1", "coast"}, {"origin", "small"}};
    const DecodedSnapshot read = decode(encode(some_list(), kNames), later);
    ASSERT_FALSE(read.error);
    EXPECT_EQ(read.left_out, 1u);  // the parent's kind is not known any more
    ASSERT_EQ(read.snapshot.endpoints.size(), 2u);
    EXPECT_EQ(read.snapshot.endpoints[0].record->located.endpoint.kind, 1);
    EXPECT_EQ(read.snapshot.endpoints[1].record->located.endpoint.kind, 0);
    EXPECT_EQ(read.snapshot.endpoints[0].record->located.endpoint.zone, 1);
}

TEST(SavedForm, AnyBadByteAndAnyCutIsNoticed) {
    const std::string good = encode(some_list(), kNames);
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 0x10);
        EXPECT_TRUE(decode(bad, kNames).error) << "byte " << i;
        EXPECT_TRUE(decode(good.substr(0, i), kNames).error) << "cut at " << i;
    }
    EXPECT_TRUE(decode(good + "x", kNames).error);
}

TEST(SavedForm, AFileOfALaterProgramIsNamedAsSuch) {
    std::string later = encode(some_list(), kNames);
    later[8] = 2;
    EXPECT_EQ(decode(later, kNames).error->code, Code::damaged);   // a flipped byte is no later version
    const std::uint64_t checksum = XXH3_64bits(later.data(), 28);  // as a later program would write it
    for (std::size_t i = 0; i < 8; ++i) later[28 + i] = static_cast<char>(checksum >> (8 * i));
    EXPECT_EQ(decode(later, kNames).error->code, Code::later_version);
    EXPECT_EQ(decode("SUMLIST", kNames).error->code, Code::not_a_list);
    EXPECT_EQ(decode(std::string(100, 'x'), kNames).error->code, Code::not_a_list);
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
    EXPECT_EQ(decode(bytes, kNames).snapshot.endpoints.size(), 10'000u);
}

TEST(SavedForm, OtherSitesAndWrongClocksAreToldApart) {
    const Snapshot list = some_list();
    EXPECT_FALSE(validate(list, "school", {kNow + 3600 * kSecond}));
    EXPECT_FALSE(validate(list, "school", {kNow - kSecond}));  // clocks may be a little apart
    EXPECT_EQ(validate(list, "other", {kNow})->code, Code::other_site);
    EXPECT_EQ(validate(list, "school", {kNow - 3600 * kSecond})->code,
              Code::wrong_clock);  // set back an hour
    EXPECT_EQ(validate(list, "school", {kNow + kMaxSnapshotAge + kSecond})->code, Code::wrong_clock);
    EXPECT_EQ(age_of(list, {kNow + 10 * kSecond}), 11 * kSecond);
}

}  // namespace sumackeel::endpoints
