// The key-value store without a log: validation of transactions, updates for members that are behind, and
// random histories compared with a std::map. The seed is printed on failure.
#include "kv_store/kv_store.h"

#include <gtest/gtest.h>

#include <random>

using namespace sumackeel;
using namespace sumackeel::kv_store;
using sumackeel::base::kSecond;

namespace {

Operation put(std::string key, std::string value, std::optional<std::uint64_t> expected = {},
              Micros time_to_live = 0) {
    return {std::move(key), OperationKind::set, std::move(value), expected, time_to_live};
}
Operation drop(std::string key, std::optional<std::uint64_t> expected = {}) {
    return {std::move(key), OperationKind::remove, {}, expected, 0};
}
Operation check(std::string key, std::uint64_t expected) {
    return {std::move(key), OperationKind::check, {}, expected, 0};
}
ApplyResult change(State& state, std::vector<Operation> operations, Micros now = 0) {
    return kv_store::apply(state,
                           with_leader_time(encode(Transaction{std::move(operations), "test", 0}), now));
}

}  // namespace

TEST(Registry, SeveralKeysAreChangedWholeOrNotAtAll) {
    State state;
    ASSERT_TRUE(change(state, {put("revoked/a", "yes"), put("key/k", "off")}).applied);
    EXPECT_EQ(state.find("key/k")->version, 1);
    const ApplyResult rejected = change(state, {put("revoked/b", "yes"), check("key/k", 7)});
    EXPECT_FALSE(rejected.applied);
    EXPECT_EQ(rejected.reason, "key/k has version 1, 7 was expected");
    EXPECT_EQ(state.find("revoked/b"), nullptr);
    EXPECT_TRUE(change(state, {put("revoked/b", "yes"), check("key/k", 1), drop("revoked/a", 1)}).applied);
    EXPECT_EQ(state.find("revoked/a"), nullptr);
    EXPECT_FALSE(change(state, {put("revoked/b", "no", 0)}).applied) << "the key exists";
    EXPECT_TRUE(change(state, {drop("never")}).applied);
    EXPECT_EQ(state.revision(), 2) << "nothing changed";
}

TEST(Registry, KeysAreTypedAndBounded) {
    State state;
    EXPECT_EQ(change(state, {put("key/k", "perhaps")}).reason, "key/k: on or off is wanted");
    EXPECT_EQ(change(state, {put("setting/leeway_s", "301")}).reason, "setting/leeway_s: 0 to 300 is wanted");
    EXPECT_TRUE(change(state, {put("setting/leeway_s", "300")}).applied);
    EXPECT_FALSE(change(state, {put("two words", "x")}).applied);
    EXPECT_FALSE(change(state, {put("x", "1"), put("x", "2")}).applied);
    EXPECT_FALSE(change(state, {}).applied);
    EXPECT_FALSE(
        state.apply(Transaction{{put("x", std::string(kMaxValueBytes + 1, 'x'))}, "test", 0}).applied);
    for (int i = 0; i < 1'024; ++i)
        ASSERT_TRUE(change(state, {put("limit/" + std::to_string(i), "1")}).applied);
    EXPECT_EQ(change(state, {put("limit/more", "1")}).reason, "limit/more: 1024 keys under 'limit/' at most");
    EXPECT_TRUE(change(state, {drop("limit/0"), put("limit/more", "1")}).applied);
    EXPECT_TRUE(change(state, {put("limit/1", "2")}).applied) << "the number of keys stays the same";
}

TEST(Registry, WhatIsToEndEndsByTheLeadersTime) {
    State state;
    change(state, {put("fleet/a", "x", {}, 5 * kSecond)}, 10 * kSecond);
    EXPECT_EQ(state.next_expiry(), 15 * kSecond);
    EXPECT_FALSE(kv_store::apply(state, encode(ExpireKeys{14 * kSecond})).applied);
    change(state, {put("fleet/a", "y", {}, 9 * kSecond)}, 14 * kSecond);  // renewed before it expires
    EXPECT_FALSE(kv_store::apply(state, encode(ExpireKeys{15 * kSecond})).applied);
    EXPECT_TRUE(kv_store::apply(state, encode(ExpireKeys{23 * kSecond})).applied);
    EXPECT_EQ(state.find("fleet/a"), nullptr);
    EXPECT_FALSE(state.next_expiry());
}

TEST(Registry, PurgesAreNumberedKeptAndDroppedInOrder) {
    State state;
    for (int i = 0; i < 3; ++i)
        kv_store::apply(
            state, with_leader_time(encode(Purge{0, 17, i == 0 ? "" : "o" + std::to_string(i), "test", 0}),
                                    i * kSecond));
    EXPECT_EQ(state.last_purge(), 3);
    EXPECT_EQ(state.purges()[1].object, "o1");
    kv_store::apply(state, encode(ExpireKeys{kPurgeRetention + kSecond}));
    ASSERT_EQ(state.purges().size(), 1);
    EXPECT_EQ(state.purges()[0].number, 3);
    EXPECT_FALSE(kv_store::apply(state, encode(Purge{0, -1, "", "test", 0})).applied);
}

TEST(Registry, OneThatIsFarBehindIsToldAll) {
    State ahead, behind;
    change(ahead, {put("revoked/0", "yes")});
    ASSERT_TRUE(behind.apply_update(ahead.update_since(0)));
    for (std::size_t i = 1; i <= kMaxEvents; ++i) change(ahead, {put("revoked/" + std::to_string(i), "yes")});
    EXPECT_TRUE(ahead.events_since(1));
    change(ahead, {put("revoked/last", "yes")});
    EXPECT_FALSE(ahead.events_since(1)) << "compacted";
    EXPECT_TRUE(behind.apply_update(ahead.update_since(behind.revision())));
    EXPECT_EQ(behind, ahead);
    // From a state with a lower revision, as after a forced start, it gets the complete state.
    State other;
    change(other, {put("revoked/x", "yes")});
    EXPECT_TRUE(behind.apply_update(other.update_since(behind.revision())));
    EXPECT_EQ(behind, other);
    State fresh;
    change(ahead, {put("revoked/z", "yes")});
    EXPECT_FALSE(fresh.apply_update(ahead.update_since(ahead.revision() - 1)))
        << "the update does not follow on the empty state";
    EXPECT_EQ(fresh.revision(), 0);
}

// Compares three states with each other and with a std::map: one driven by commands, one by incremental
// updates, and one decoded from the complete state.
TEST(Registry, AllThatFollowAgreeOver300Seeds) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 rng(seed);
        const auto random_below = [&](std::size_t bound) { return rng() % bound; };
        State leader, follower, restored;
        std::map<std::string, std::pair<std::string, std::uint64_t>> model;
        Micros now = 0;
        for (int step = 0; step < 120; ++step) {
            now += static_cast<Micros>(random_below(3)) * kSecond;
            Transaction transaction{{}, "test", 0};
            for (std::size_t remaining = 1 + random_below(3); remaining-- > 0;) {
                Operation operation{"fleet/" + std::to_string(10 * remaining + random_below(4)),
                                    static_cast<OperationKind>(random_below(3)),
                                    std::to_string(rng()),
                                    {},
                                    0};
                const auto found = model.find(operation.key);
                if (operation.kind == OperationKind::check || random_below(2) == 0)
                    operation.expected_version = random_below(4) == 0   ? 999
                                                 : found == model.end() ? 0
                                                                        : found->second.second;
                transaction.operations.push_back(operation);
            }
            bool accepted = true, changes = false;
            for (const Operation& operation : transaction.operations) {
                const auto found = model.find(operation.key);
                const std::uint64_t version = found == model.end() ? 0 : found->second.second;
                accepted =
                    accepted && (!operation.expected_version || *operation.expected_version == version);
                changes = changes || operation.kind == OperationKind::set ||
                          (operation.kind == OperationKind::remove && version > 0);
            }
            const std::string command = with_leader_time(encode(transaction), now);
            ASSERT_TRUE(is_command(command));
            const ApplyResult result = kv_store::apply(leader, command);
            ASSERT_EQ(result.applied, accepted);
            if (accepted && changes)
                for (const Operation& operation : transaction.operations) {
                    if (operation.kind == OperationKind::set)
                        model[operation.key] = {operation.value, result.revision};
                    if (operation.kind == OperationKind::remove) model.erase(operation.key);
                }
            if (random_below(10) == 0)
                kv_store::apply(leader, with_leader_time(encode(Purge{0, 1, "o", "test", 0}), now));
            if (random_below(5) == 0) {
                const std::string update = leader.update_since(follower.revision());
                ASSERT_TRUE(update.empty() || revision_of_update(update) == leader.revision());
                ASSERT_TRUE(update.empty() || follower.apply_update(update));
                ASSERT_EQ(follower, leader);
            }
        }
        restored = State::decode(leader.encode());
        ASSERT_EQ(restored, leader);
        ASSERT_EQ(restored.entries().size(), model.size());
        for (const auto& [key, value] : model) {
            ASSERT_EQ(restored.find(key)->value, value.first);
            ASSERT_EQ(restored.find(key)->version, value.second);
        }
    }
}

// Input truncated at every length and with each byte changed must give an error or a state, never a crash.
TEST(Registry, DamagedBytesAreErrors) {
    State state;
    change(state, {put("revoked/a", "yes", {}, kSecond), put("fleet/b", "x")});
    kv_store::apply(state, with_leader_time(encode(Purge{0, 3, "o", "test", 0}), 1));
    for (const std::string& bytes :
         {state.encode(), state.update_since(0), encode(Transaction{{put("a", "b")}, "test", 0})})
        for (std::size_t position = 0; position < 2 * bytes.size(); ++position) {
            std::string damaged_bytes = bytes.substr(0, position < bytes.size() ? position : bytes.size());
            if (position >= bytes.size())
                damaged_bytes[position - bytes.size()] ^= static_cast<char>(1 + position % 255);
            State other;
            try {
                State::decode(damaged_bytes);
            } catch (const std::runtime_error&) {
            }
            try {
                other.apply_update(damaged_bytes);
            } catch (const std::runtime_error&) {
            }
            try {
                kv_store::apply(other, damaged_bytes);
            } catch (const std::runtime_error&) {
            }
        }
}
