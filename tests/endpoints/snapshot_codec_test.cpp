// The encoding of a snapshot: what is read back, and which files are rejected for which reason.
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

Snapshot sample_snapshot(int members = 3) {
    Snapshot snapshot;
    snapshot.site = "school";
    snapshot.taken_at = {kNow};
    snapshot.confirmed_age = kSecond;
    snapshot.last_sequence = 41, snapshot.full_list_sequence = 7, snapshot.forgotten_through = 3;
    for (int i = 0; i < members; ++i) {
        EndpointRecord record;
        record.sequence = 7 + i % 30;
        record.located.address = "10.0.0." + std::to_string(i % 250) + ":9090";
        record.located.endpoint = {.name = "s-" + std::to_string(i),
                                   .weight = 4.5,
                                   .zone = 1,
                                   .started_at = i,
                                   .kind = i % 3,
                                   .cell = i};
        record.located.endpoint.state = static_cast<routing::EndpointState>(i % 3);
        snapshot.endpoints.push_back({std::make_shared<const EndpointRecord>(record), i % 2 ? -1 : 1000});
    }
    snapshot.purges = {{"7f3a9c21e0b4d655", 0, kNow - kSecond}, {"", 17, kNow - 2 * kSecond}};
    return snapshot;
}

}  // namespace

TEST(SavedForm, WhatIsWrittenIsReadBack) {
    const Snapshot snapshot = sample_snapshot();
    const DecodedSnapshot read = decode(encode(snapshot, kNames), kNames);
    ASSERT_FALSE(read.error) << read.error->text;
    EXPECT_EQ(read.snapshot.site, "school");
    EXPECT_EQ(read.snapshot.taken_at, snapshot.taken_at);
    EXPECT_EQ(read.snapshot.confirmed_age, snapshot.confirmed_age);
    EXPECT_EQ(read.snapshot.last_sequence, 41);
    EXPECT_EQ(read.snapshot.full_list_sequence, 7);
    EXPECT_EQ(read.snapshot.forgotten_through, 3);
    EXPECT_EQ(read.snapshot.purges, snapshot.purges);
    ASSERT_EQ(read.snapshot.endpoints.size(), 3u);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(read.snapshot.endpoints[i].record->is_equivalent(*snapshot.endpoints[i].record));
        EXPECT_EQ(read.snapshot.endpoints[i].last_response_at, snapshot.endpoints[i].last_response_at);
    }
}

// Guards against a parent that comes back as a pop cache: the numbers of zones and kinds change with the
// settings.
TEST(SavedForm, ZonesAndKindsGoByName) {
    const NameTables later{{"new", "edge-1", "coast"}, {"origin", "small"}};
    const DecodedSnapshot read = decode(encode(sample_snapshot(), kNames), later);
    ASSERT_FALSE(read.error);
    EXPECT_EQ(read.left_out, 1u);  // the parent's kind is no longer known
    ASSERT_EQ(read.snapshot.endpoints.size(), 2u);
    EXPECT_EQ(read.snapshot.endpoints[0].record->located.endpoint.kind, 1);
    EXPECT_EQ(read.snapshot.endpoints[1].record->located.endpoint.kind, 0);
    EXPECT_EQ(read.snapshot.endpoints[0].record->located.endpoint.zone, 1);
}

TEST(SavedForm, AnyBadByteAndAnyCutIsNoticed) {
    const std::string good = encode(sample_snapshot(), kNames);
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 0x10);
        EXPECT_TRUE(decode(bad, kNames).error) << "byte " << i;
        EXPECT_TRUE(decode(good.substr(0, i), kNames).error) << "cut at " << i;
    }
    EXPECT_TRUE(decode(good + "x", kNames).error);
}

TEST(SavedForm, AFileOfALaterProgramIsNamedAsSuch) {
    std::string later = encode(sample_snapshot(), kNames);
    later[8] = 2;
    EXPECT_EQ(decode(later, kNames).error->code, Code::damaged);   // a flipped byte is not a later version
    const std::uint64_t checksum = XXH3_64bits(later.data(), 28);  // as a later program would write it
    for (std::size_t i = 0; i < 8; ++i) later[28 + i] = static_cast<char>(checksum >> (8 * i));
    EXPECT_EQ(decode(later, kNames).error->code, Code::later_version);
    EXPECT_EQ(decode("SUMLIST", kNames).error->code, Code::not_a_list);
    EXPECT_EQ(decode(std::string(100, 'x'), kNames).error->code, Code::not_a_list);
}

// Guards against contents that terminate the program: bytes that pass the checksums can still be invalid.
TEST(SavedForm, NoiseInTheContentNeverEndsTheProgram) {
    std::mt19937 rng(20261201);
    const std::string good = encode(sample_snapshot(50), kNames);
    for (int round = 0; round < 3000; ++round) {
        std::string bad = good;
        for (int flips = 1 + static_cast<int>(rng() % 4); flips > 0; --flips)
            bad[rng() % bad.size()] = static_cast<char>(rng());
        decode(bad, kNames);
    }
}

TEST(SavedForm, TenThousandMembersStaySmall) {
    const std::string bytes = encode(sample_snapshot(10'000), kNames);
    EXPECT_LT(bytes.size(), 400'000u);
    EXPECT_EQ(decode(bytes, kNames).snapshot.endpoints.size(), 10'000u);
}

TEST(SavedForm, OtherSitesAndWrongClocksAreToldApart) {
    const Snapshot snapshot = sample_snapshot();
    EXPECT_FALSE(validate(snapshot, "school", {kNow + 3600 * kSecond}));
    EXPECT_FALSE(validate(snapshot, "school", {kNow - kSecond}));  // within kClockSlack
    EXPECT_EQ(validate(snapshot, "other", {kNow})->code, Code::other_site);
    EXPECT_EQ(validate(snapshot, "school", {kNow - 3600 * kSecond})->code,
              Code::wrong_clock);  // set back an hour
    EXPECT_EQ(validate(snapshot, "school", {kNow + kMaxSnapshotAge + kSecond})->code, Code::wrong_clock);
    EXPECT_EQ(age_of(snapshot, {kNow + 10 * kSecond}), 11 * kSecond);
}

}  // namespace sumackeel::endpoints
