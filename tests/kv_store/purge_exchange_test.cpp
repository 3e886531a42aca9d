// Purges learned outside of the replicated log. Guards against: a purge that one proxy's change log told was
// obeyed by that proxy alone (review/10).
#include "kv_store/purge_exchange.h"

#include <gtest/gtest.h>

using namespace sumackeel;
using namespace sumackeel::kv_store;
using sumackeel::base::kSecond;

namespace {

constexpr Micros kRetention = 12 * kSecond;

Purge group_purge(int group, std::int64_t origin_time) {
    Purge purge;
    purge.purge_group = group, purge.by = "n0", purge.origin_time = origin_time;
    return purge;
}

}  // namespace

TEST(PurgeExchange, ALearnedPurgeIsProposedByTheLeaderAtOnceAndByOthersLater) {
    PurgeExchange exchange(kRetention);
    EXPECT_TRUE(exchange.learn(group_purge(17, 5), PurgeSource::change_log, 1'000));
    EXPECT_EQ(exchange.next_due(ConsensusRole::leader), 1'000);
    EXPECT_TRUE(exchange.take_due(ConsensusRole::voter, 1'000).empty());
    EXPECT_LT(exchange.next_due(ConsensusRole::voter), exchange.next_due(ConsensusRole::follower));
    EXPECT_EQ(exchange.take_due(ConsensusRole::leader, 1'000).size(), 1);
    EXPECT_TRUE(exchange.take_due(ConsensusRole::leader, 1'001).empty()) << "proposed a moment ago";
    EXPECT_EQ(exchange.take_due(ConsensusRole::leader, 2 * kSecond).size(), 1) << "and still not in the log";
}

TEST(PurgeExchange, APurgeIsNewOnceWhicheverWayItComesFirst) {
    for (const PurgeSource first :
         {PurgeSource::change_log, PurgeSource::peer, PurgeSource::replicated_log}) {
        PurgeExchange exchange(kRetention);
        EXPECT_TRUE(exchange.learn(group_purge(17, 5), first, 0));
        for (const PurgeSource then :
             {PurgeSource::change_log, PurgeSource::peer, PurgeSource::replicated_log})
            EXPECT_FALSE(exchange.learn(group_purge(17, 5), then, 10)) << name_of(first) << name_of(then);
        EXPECT_TRUE(exchange.learn(group_purge(17, 6), PurgeSource::peer, 20)) << "a later purge";
        EXPECT_TRUE(exchange.learn(group_purge(18, 5), PurgeSource::peer, 20)) << "another group";
    }
}

TEST(PurgeExchange, APurgeIsPassedOnUntilItIsInTheLog) {
    PurgeExchange exchange(kRetention);
    exchange.learn(group_purge(17, 5), PurgeSource::peer, 0);
    EXPECT_EQ(exchange.to_relay(), std::vector{group_purge(17, 5)});
    exchange.learn(group_purge(17, 5), PurgeSource::replicated_log, 10);
    EXPECT_TRUE(exchange.to_relay().empty());
    EXPECT_EQ(exchange.next_due(ConsensusRole::leader), std::nullopt);
}

TEST(PurgeExchange, TablesAreBounded) {
    PurgeExchange exchange(kRetention);
    constexpr int kMore = static_cast<int>(kMaxPendingPurges) + 50;
    for (int i = 0; i < kMore; ++i) exchange.learn(group_purge(i, 5), PurgeSource::change_log, i);
    EXPECT_EQ(exchange.pending_count(), kMaxPendingPurges);
    EXPECT_EQ(exchange.not_passed_on(), 50);
    EXPECT_EQ(exchange.to_relay().size(), kMaxRelayedPurges);
    EXPECT_EQ(exchange.to_relay().front(), group_purge(0, 5)) << "the oldest first";
    // Those that no majority took in their time are forgotten.
    exchange.learn(group_purge(0, 99), PurgeSource::replicated_log, kMore + kRetention + 1);
    EXPECT_EQ(exchange.pending_count(), 0);
    for (std::int64_t i = 0; i < static_cast<std::int64_t>(kMaxKnownPurges) + 10; ++i)
        exchange.learn(group_purge(1, 100 + i), PurgeSource::replicated_log, 20 * kSecond);
    EXPECT_TRUE(exchange.learn(group_purge(1, 100), PurgeSource::replicated_log, 20 * kSecond))
        << "forgotten";
}

TEST(PurgeExchange, RelayedPurgesFitIntoADatagram) {
    PurgeExchange exchange(kRetention);
    Purge purge = group_purge(0, 1'700'000'000'000'000);
    purge.object = std::string(kMaxKeyLength, 'x');
    for (int i = 0; i < 20; ++i) {
        ++purge.origin_time;
        exchange.learn(purge, PurgeSource::change_log, 0);
    }
    const std::string bytes = encode_purges(exchange.to_relay());
    EXPECT_LE(bytes.size(), kMaxRelayedBytes);
    EXPECT_EQ(decode_purges(bytes), exchange.to_relay());
    EXPECT_TRUE(decode_purges({}).empty());
    EXPECT_THROW(decode_purges("garbage"), std::runtime_error);
}

// A member that starts is told the purges of ten minutes; it must not fill again what others filled since.
TEST(PurgeExchange, AnOldPurgeIsOutdatedByBothClocksOrNotAtAll) {
    Purge old = group_purge(17, 100 * kSecond), newest = group_purge(18, 120 * kSecond);
    old.at = 1'000 * kSecond, newest.at = 1'020 * kSecond;
    EXPECT_TRUE(is_outdated(old, newest, kRetention));
    newest.at = 1'005 * kSecond;
    EXPECT_FALSE(is_outdated(old, newest, kRetention)) << "the origin's clock was set";
    newest.at = 1'020 * kSecond, newest.origin_time = 101 * kSecond;
    EXPECT_FALSE(is_outdated(old, newest, kRetention)) << "another leader has another clock";
}

TEST(PurgeExchange, ThePurgeOfAChangeLogIsFoundInTheLogAndReadByOlderVersions) {
    State state;
    const std::string command = with_leader_time(encode(group_purge(17, 5)), 9);
    ASSERT_TRUE(purge_of_origin(command));
    EXPECT_FALSE(purge_of_origin(encode(Purge{}))) << "an operator's";
    EXPECT_FALSE(state.has_purge_of_origin(*purge_of_origin(command)));
    EXPECT_TRUE(kv_store::apply(state, command).applied);
    EXPECT_TRUE(state.has_purge_of_origin(group_purge(17, 5)));
    EXPECT_FALSE(state.has_purge_of_origin(group_purge(17, 6)));
    EXPECT_EQ(State::decode(state.encode()), state);
    State other;
    ASSERT_TRUE(other.apply_update(state.update_since(0)));
    EXPECT_EQ(other, state);
}
