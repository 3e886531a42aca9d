// The registry without a log: what a change may be, what is told to those that are behind, and random
// histories against a plain map. Seeds are printed with a failure.
#include "kv_store/kv_store.h"

#include <gtest/gtest.h>

#include <random>

using namespace sumackeel;
using namespace sumackeel::kv_store;
using sumackeel::base::kSecond;

namespace {

Operation put(std::string key, std::string value, std::optional<std::uint64_t> expected = {},
              Micros lasts = 0) {
    return {std::move(key), OperationKind::set, std::move(value), expected, lasts};
}
Operation drop(std::string key, std::optional<std::uint64_t> expected = {}) {
    return {std::move(key), OperationKind::remove, {}, expected, 0};
}
Operation check(std::string key, std::uint64_t expected) {
    return {std::move(key), OperationKind::check, {}, expected, 0};
}
ApplyResult change(State& state, std::vector<Operation> parts, Micros now = 0) {
    return kv_store::apply(state, with_leader_time(encode(Transaction{std::move(parts), "test", 0}), now));
}

}  // namespace

TEST(Registry, SeveralKeysAreChangedWholeOrNotAtAll) {
    State state;
    ASSERT_TRUE(change(state, {put("revoked/a", "yes"), put("key/k", "off")}).applied);
    EXPECT_EQ(state.find("key/k")->version, 1);
    const ApplyResult no = change(state, {put("revoked/b", "yes"), check("key/k", 7)});
    EXPECT_FALSE(no.applied);
    EXPECT_EQ(no.reason, "key/k has version 1, 7 was expected");
    EXPECT_EQ(state.find("revoked/b"), nullptr);
    EXPECT_TRUE(change(state, {put("revoked/b", "yes"), check("key/k", 1), drop("revoked/a", 1)}).applied);
    EXPECT_EQ(state.find("revoked/a"), nullptr);
    EXPECT_FALSE(change(state, {put("revoked/b", "no", 0)}).applied) << "it is there";
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
    EXPECT_TRUE(change(state, {put("limit/1", "2")}).applied) << "no key more";
}

TEST(Registry, WhatIsToEndEndsByTheLeadersTime) {
    State state;
    change(state, {put("fleet/a", "x", {}, 5 * kSecond)}, 10 * kSecond);
    EXPECT_EQ(state.next_expiry(), 15 * kSecond);
    EXPECT_FALSE(kv_store::apply(state, encode(ExpireKeys{14 * kSecond})).applied);
    change(state, {put("fleet/a", "y", {}, 9 * kSecond)}, 14 * kSecond);  // kept up
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
    // Of a state that it has overtaken, as after a forced start: all of it.
    State other;
    change(other, {put("revoked/x", "yes")});
    EXPECT_TRUE(behind.apply_update(other.update_since(behind.revision())));
    EXPECT_EQ(behind, other);
    State fresh;
    change(ahead, {put("revoked/z", "yes")});
    EXPECT_FALSE(fresh.apply_update(ahead.update_since(ahead.revision() - 1))) << "it fits on nothing here";
    EXPECT_EQ(fresh.revision(), 0);
}

// Against a plain map; one that follows by news, one by the whole state, one by the commands.
TEST(Registry, AllThatFollowAgreeOver300Seeds) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 chance(seed);
        const auto pick = [&](std::size_t of) { return chance() % of; };
        State led, told, whole;
        std::map<std::string, std::pair<std::string, std::uint64_t>> plain;
        Micros now = 0;
        for (int step = 0; step < 120; ++step) {
            now += static_cast<Micros>(pick(3)) * kSecond;
            Transaction one{{}, "test", 0};
            for (std::size_t parts = 1 + pick(3); parts-- > 0;) {
                Operation part{"fleet/" + std::to_string(10 * parts + pick(4)),
                               static_cast<OperationKind>(pick(3)),
                               std::to_string(chance()),
                               {},
                               0};
                const auto has = plain.find(part.key);
                if (part.kind == OperationKind::check || pick(2) == 0)
                    part.expected_version = pick(4) == 0 ? 999 : has == plain.end() ? 0 : has->second.second;
                one.operations.push_back(part);
            }
            bool fits = true, changes = false;
            for (const Operation& part : one.operations) {
                const auto has = plain.find(part.key);
                const std::uint64_t version = has == plain.end() ? 0 : has->second.second;
                fits = fits && (!part.expected_version || *part.expected_version == version);
                changes = changes || part.kind == OperationKind::set ||
                          (part.kind == OperationKind::remove && version > 0);
            }
            const std::string command = with_leader_time(encode(one), now);
            ASSERT_TRUE(is_command(command));
            const ApplyResult answer = kv_store::apply(led, command);
            ASSERT_EQ(answer.applied, fits);
            if (fits && changes)
                for (const Operation& part : one.operations) {
                    if (part.kind == OperationKind::set) plain[part.key] = {part.value, answer.revision};
                    if (part.kind == OperationKind::remove) plain.erase(part.key);
                }
            if (pick(10) == 0)
                kv_store::apply(led, with_leader_time(encode(Purge{0, 1, "o", "test", 0}), now));
            if (pick(5) == 0) {
                const std::string news = led.update_since(told.revision());
                ASSERT_TRUE(news.empty() || revision_of_update(news) == led.revision());
                ASSERT_TRUE(news.empty() || told.apply_update(news));
                ASSERT_EQ(told, led);
            }
        }
        whole = State::decode(led.encode());
        ASSERT_EQ(whole, led);
        ASSERT_EQ(whole.entries().size(), plain.size());
        for (const auto& [key, value] : plain) {
            ASSERT_EQ(whole.find(key)->value, value.first);
            ASSERT_EQ(whole.find(key)->version, value.second);
        }
    }
}

// Bytes cut at every length and with every byte changed: an error or a state, never a crash.
TEST(Registry, DamagedBytesAreErrors) {
    State state;
    change(state, {put("revoked/a", "yes", {}, kSecond), put("fleet/b", "x")});
    kv_store::apply(state, with_leader_time(encode(Purge{0, 3, "o", "test", 0}), 1));
    for (const std::string& bytes :
         {state.encode(), state.update_since(0), encode(Transaction{{put("a", "b")}, "test", 0})})
        for (std::size_t at = 0; at < 2 * bytes.size(); ++at) {
            std::string damaged = bytes.substr(0, at < bytes.size() ? at : bytes.size());
            if (at >= bytes.size()) damaged[at - bytes.size()] ^= static_cast<char>(1 + at % 255);
            State other;
            try {
                State::decode(damaged);
            } catch (const std::runtime_error&) {
            }
            try {
                other.apply_update(damaged);
            } catch (const std::runtime_error&) {
            }
            try {
                kv_store::apply(other, damaged);
            } catch (const std::runtime_error&) {
            }
        }
}
