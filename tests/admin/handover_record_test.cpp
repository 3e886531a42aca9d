// Tests of the handover record: merging, concurrent calls, processes of an earlier version, and the encoding.
#include "admin/handover_record.h"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace sumackeel::admin;

namespace {

State state_with(const std::vector<std::string>& bans, bool draining = false) {
    State state;
    for (const std::string& id : bans) state.ban(id, true);
    if (draining) state.start_drain();
    return state;
}

// Makes a confirmed call in the same way as the daemon: merges all other records before and after it.
void call(HandoverRecord& record, const std::vector<HandoverRecord*>& others, const std::string& id,
          bool on) {
    for (const HandoverRecord* other : others) record.merge(*other);
    record.set_banned(id, on);
    for (const HandoverRecord* other : others) record.merge(*other);
    record.confirm();
}

}  // namespace

TEST(HandoverRecord, TheCallConfirmedLastHoldsInWhateverOrderRecordsAreMerged) {
    const std::array<std::string, 4> ids{"s-a", "s-b", "s-c", "s-d"};
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 rng(seed);
        std::array<HandoverRecord, 3> records{HandoverRecord(1), HandoverRecord(2), HandoverRecord(3)};
        const std::vector<HandoverRecord*> all{&records[0], &records[1], &records[2]};
        std::set<std::string> expected;
        for (int step = 0; step < 60; ++step) {
            const std::string& id = ids[rng() % ids.size()];
            const bool on = rng() % 2 == 0;
            call(records[rng() % records.size()], all, id, on);
            on ? expected.insert(id).second : expected.erase(id) > 0;
            if (rng() % 5 == 0) records[rng() % 3].merge(records[rng() % 3]);
        }
        HandoverRecord later(4), other_order(5);
        for (const HandoverRecord* record : all) later.merge(*record);
        for (auto it = all.rbegin(); it != all.rend(); ++it) other_order.merge(**it);
        EXPECT_EQ(later.state().bans(), expected) << "seed " << seed;
        EXPECT_EQ(other_order.state().bans(), expected) << "seed " << seed;
    }
}

// Regression: a call was acknowledged although another process had already replaced it.
TEST(HandoverRecord, AnUnconfirmedCallGoesAboveTheVersionsThatItMeets) {
    HandoverRecord old_record(1), new_record(2);
    old_record.set_banned("s-a", true);
    old_record.set_banned("s-a", false);
    old_record.set_banned("s-a", true);
    old_record.confirm();
    new_record.set_banned("s-a", false);
    const auto merged = new_record.merge(old_record);
    EXPECT_TRUE(merged.reasserted);
    EXPECT_FALSE(merged.changed);
    EXPECT_FALSE(new_record.merge(old_record).reasserted);
    new_record.confirm();
    EXPECT_TRUE(old_record.merge(new_record).changed);
    EXPECT_TRUE(old_record.state().bans().empty());
    EXPECT_EQ(old_record.merge(new_record).changed, false);
}

TEST(HandoverRecord, ACallThatChangesNothingHereStillReplacesAnEarlierOneElsewhere) {
    HandoverRecord old_record(1), new_record(2);
    call(old_record, {&new_record}, "s-a", true);
    call(new_record, {&old_record}, "s-a", false);
    call(old_record, {&new_record}, "s-a", true);  // it has merged nothing since its last call
    new_record.merge(old_record);
    EXPECT_TRUE(new_record.state().is_banned("s-a"));
    new_record.set_draining(false);
    new_record.confirm();
    EXPECT_TRUE(new_record.knows_drain());
}

TEST(HandoverRecord, ABanKnownFromElsewhereIsBelowAnyCall) {
    HandoverRecord record(1), other(2);
    other.set_banned("s-a", false);
    other.confirm();
    record.add_ban("s-a");
    record.merge(other);
    EXPECT_TRUE(record.state().bans().empty());
    record.add_ban("s-a");
    EXPECT_TRUE(record.state().bans().empty());
}

TEST(HandoverRecord, WhatAnEarlierVersionWasCalledForIsWhatDiffersFromItsLastText) {
    HandoverRecord record(1);
    EXPECT_TRUE(record.merge_legacy(state_with({"s-a"}, true)));
    EXPECT_EQ(record.state().bans(), (std::set<std::string>{"s-a"}));
    EXPECT_TRUE(record.draining());
    record.set_banned("s-a", false);
    record.confirm();
    EXPECT_FALSE(record.merge_legacy(state_with({"s-a"}, true)));  // no call there since the last merge
    EXPECT_TRUE(record.state().bans().empty());
    EXPECT_TRUE(record.merge_legacy(state_with({"s-a", "s-b"}, true)));
    EXPECT_EQ(record.state().bans(), (std::set<std::string>{"s-b"}));
    // Another process that reads the same text finds no difference.
    HandoverRecord later(2);
    later.merge(record);
    EXPECT_FALSE(later.merge_legacy(state_with({"s-a", "s-b"}, true)));
    EXPECT_EQ(later.state().bans(), (std::set<std::string>{"s-b"}));
}

TEST(HandoverRecord, TheCopyForEarlierVersionsIsReadByThemAndToldFromTheirOwn) {
    const State state = state_with({"s-a", "s-b"}, true);
    const std::string copy = encode_legacy_copy(state);
    const DecodedState read = decode_state(copy);
    ASSERT_TRUE(read.state) << read.error;
    EXPECT_EQ(*read.state, state);
    EXPECT_TRUE(is_legacy_copy(copy));
    EXPECT_FALSE(is_legacy_copy(state.encode()));
    EXPECT_FALSE(is_legacy_copy(state_with({}).encode()));
    EXPECT_TRUE(is_legacy_copy(encode_legacy_copy(state_with({}))));
}

TEST(HandoverRecord, ReadsBackWhatItWroteAndNothingElse) {
    HandoverRecord record(0xfeed);
    record.set_banned("s-a", true);
    record.set_banned("s-b", false);
    record.set_draining(true);
    record.confirm();
    record.merge_legacy(state_with({"s-c"}));
    const std::string text = record.encode();
    HandoverRecord read(0xfeed);
    ASSERT_EQ(HandoverRecord::decode(text, read), "");
    EXPECT_EQ(read, record);
    for (std::size_t size = 0; size < text.size(); ++size) {
        HandoverRecord cut;
        EXPECT_NE(HandoverRecord::decode(text.substr(0, size), cut), "") << size;
        std::string flipped = text;
        flipped[size] = static_cast<char>(flipped[size] ^ 0x20);
        EXPECT_NE(HandoverRecord::decode(flipped, cut), "") << size;
        EXPECT_TRUE(cut.empty());
    }
}

// Registers of lifted bans are evicted; active bans and unconfirmed calls never are.
TEST(HandoverRecord, IsBoundedAndForgetsNoBan) {
    HandoverRecord record(1);
    for (std::size_t i = 0; i < kMaxBans; ++i) record.set_banned("down-" + std::to_string(i), true);
    constexpr std::size_t kConfirmEach = 512;
    for (std::size_t i = 0; i < kMaxHandoverItems; ++i) {
        record.set_banned("up-" + std::to_string(i), false);
        if (i % kConfirmEach == 0) record.confirm();
    }
    EXPECT_EQ(record.state().bans().size(), kMaxBans);
    HandoverRecord read;
    EXPECT_EQ(HandoverRecord::decode(record.encode(), read), "");
}
