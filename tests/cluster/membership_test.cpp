// The pure part: what it promises over many seeds on a virtual clock, and single hard cases.
#include <gtest/gtest.h>

#include "cluster/virtual_network.h"

namespace sumackeel::cluster {
namespace {

constexpr Micros kPeriod = 1'000'000;
constexpr int kSeeds = 500;
// After the last fault all see all within this many periods, at 3 to 9 members.
constexpr int kAgreeWithin = 90;

// What a run showed that must not be.
struct Watch {
    explicit Watch(VirtualNetwork& net) : net(net) {
        net.on_change = [this](int, const MemberChange& change) {
            deaths += change.to == State::dead;
            doubts += change.to == State::suspect;
        };
    }
    // Stamps as each sees them never go back.
    void look() {
        for (int i = 0; i < net.size(); ++i) {
            if (!net.running(i)) continue;
            const std::uint64_t life = net.at(i).self().instance_id;
            for (const MemberView& seen : net.at(i).members()) {
                Incarnation& before = stamps[{life, seen.record.name}];
                EXPECT_GE(seen.record.incarnation, before) << seen.record.name;
                before = seen.record.incarnation;
            }
        }
    }
    VirtualNetwork& net;
    int deaths = 0, doubts = 0;
    std::map<std::pair<std::uint64_t, std::string>, Incarnation> stamps;
};

bool agree_within(VirtualNetwork& net, int periods) {
    for (int i = 0; i < periods && !net.agreed(); ++i) net.run_until(net.now() + kPeriod);
    return net.agreed();
}

// A few faults by chance, one after another.
void trouble(VirtualNetwork& net, std::mt19937_64& chance, Watch& watch) {
    const auto member = [&] { return static_cast<int>(chance() % static_cast<std::uint64_t>(net.size())); };
    for (int fault = 0; fault < 6; ++fault) {
        const int one = member(), other = member();
        switch (chance() % 7) {
            case 0:
                net.set_loss(static_cast<double>(chance() % 6) / 10);
                break;
            case 1:
                net.cut(one, other);
                break;
            case 2:
                net.pause(one);
                break;
            case 3:
                net.pause(one, false);
                break;
            case 4:
                net.kill(one);
                break;
            case 5:
                if (!net.running(one)) net.start(one);
                break;
            default:
                net.set_delay(static_cast<Micros>(chance() % 300'000), 200'000);
        }
        for (std::uint64_t i = chance() % 8; i > 0; --i) {
            net.run_until(net.now() + kPeriod);
            watch.look();
        }
    }
}

// A voice or word as one member would make it up about others.
Datagram lie(const MemberRecord& liar, const std::string& to) {
    return {.kind = MessageKind::gossip, .from = liar.name, .to = to, .records = {liar}};
}

}  // namespace

TEST(GroupProperties, WithNoFaultNobodyIsEverDoubtedOrCalledDead) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        VirtualNetwork net({.members = 3 + static_cast<int>(seed % 10),
                            .membership = {},
                            .seed = seed,
                            .delay = 20'000,
                            .jitter = 30'000});
        Watch watch(net);
        net.run_until(30 * kPeriod);
        ASSERT_EQ(watch.deaths + watch.doubts, 0) << "seed " << seed;
        ASSERT_TRUE(net.agreed()) << "seed " << seed;
    }
}

TEST(GroupProperties, AfterTheLastFaultAllAgreeAndNoStampGoesBack) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        VirtualNetwork net({.members = 3 + static_cast<int>(seed % 7), .membership = {}, .seed = seed});
        Watch watch(net);
        std::mt19937_64 chance(seed * 77);
        trouble(net, chance, watch);
        net.heal(), net.set_loss(0), net.set_delay(1'000, 1'000);
        for (int i = 0; i < net.size(); ++i) {
            if (net.paused(i)) net.pause(i, false);
            if (!net.running(i)) net.start(i);
        }
        ASSERT_TRUE(agree_within(net, kAgreeWithin)) << "seed " << seed;
        watch.look();
        ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
    }
}

TEST(GroupProperties, ADeadMemberIsNotRevivedByItsOldWords) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        VirtualNetwork net({.members = 5, .membership = {}, .seed = seed});
        std::vector<Datagram> old;
        net.on_send = [&](int from, const Datagram& datagram) {
            if (from == 1) old.push_back(datagram);
        };
        net.run_until(10 * kPeriod);
        net.kill(1);
        net.run_until(50 * kPeriod);
        for (int i = 0; i < 5; ++i)
            if (i != 1) {
                ASSERT_EQ(net.at(i).state_of("n1"), State::dead) << "seed " << seed;
            }
        for (const Datagram& datagram : old)
            for (int i = 0; i < 5; ++i)
                if (i != 1) net.inject(i, datagram);
        net.run_until(55 * kPeriod);
        for (int i = 0; i < 5; ++i)
            if (i != 1) {
                ASSERT_EQ(net.at(i).state_of("n1"), State::dead) << "seed " << seed;
            }
    }
}

TEST(GroupProperties, OneLiarKillsNobody) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        VirtualNetwork net({.members = 6, .membership = {}, .seed = seed});
        Watch watch(net);
        net.run_until(5 * kPeriod);
        const MemberRecord liar = net.at(0).self();
        for (int turn = 0; turn < 40; ++turn) {
            for (int to = 2; to < 6; ++to) {
                Datagram made_up = lie(liar, VirtualNetwork::name_of(to));
                // Its own voice, and voices that it lends to others; a leave and a later start it never had.
                const MemberRecord& victim = net.at(1).self();
                for (const char* by : {"n0", "n3", "n4", "n5"})
                    made_up.suspicions.push_back({.suspector = by,
                                                  .subject = "n1",
                                                  .suspector_start = 1,
                                                  .incarnation = victim.incarnation,
                                                  .number = 1'000'000 + static_cast<std::uint64_t>(turn)});
                MemberRecord left = victim;
                left.incarnation.refutations += 5, left.phase = Phase::left;
                made_up.records.push_back(left);
                MemberRecord later = victim;
                later.incarnation.start += 5;
                made_up.records.push_back(later);
                net.inject(to, made_up);
            }
            // And to the victim, that another process has taken its name.
            Datagram taken = lie(liar, "n1");
            MemberRecord other = net.at(1).self();
            other.incarnation.start += 3, other.instance_id ^= 1;
            taken.records.push_back(other);
            net.inject(1, taken);
            net.run_until(net.now() + kPeriod / 2);
        }
        ASSERT_FALSE(net.at(1).is_displaced()) << "seed " << seed;
        ASSERT_EQ(watch.deaths, 0) << "seed " << seed;
        ASSERT_TRUE(agree_within(net, 30)) << "seed " << seed;
    }
}

TEST(GroupProperties, LossOfATenthKillsNobodyInAnHourOfFiveMembers) {
    VirtualNetwork net({.members = 5, .membership = {}, .seed = 7, .loss = 0.1});
    Watch watch(net);
    net.run_until(3600 * kPeriod);
    EXPECT_EQ(watch.deaths, 0);
}

TEST(Group, AKilledMemberIsFoundByAllAndAPlainRestartIsAnotherLife) {
    VirtualNetwork net({.members = 8, .membership = {}, .seed = 3});
    net.run_until(5 * kPeriod);
    net.kill(4);
    net.run_until(40 * kPeriod);
    for (int i = 0; i < 8; ++i)
        if (i != 4) {
            EXPECT_EQ(net.at(i).state_of("n4"), State::dead);
        }
    EXPECT_EQ(net.at(0).member_count(), 8U);
    EXPECT_EQ(net.at(0).reachable_count(), 7U);
    net.start(4);
    EXPECT_TRUE(agree_within(net, 20));
    for (const MemberView& seen : net.at(0).members())
        if (seen.record.name == "n4") {
            EXPECT_EQ(seen.record.incarnation.start, 2U);
        }
}

TEST(Group, AfterAPauseOfItsOwnAMemberCallsNobodyDeadBeforeItHasAskedAnew) {
    VirtualNetwork net({.members = 5, .membership = {}, .seed = 4});
    net.run_until(5 * kPeriod);
    int deaths = 0;
    net.on_change = [&](int seer, const MemberChange& change) {
        deaths += seer == 2 && change.to == State::dead;
    };
    net.kill(0);
    net.run_until(8 * kPeriod);  // doubted by now
    net.pause(2);
    net.run_until(60 * kPeriod);
    net.pause(2, false);
    net.run_until(net.now() + kPeriod);
    EXPECT_EQ(deaths, 0);
    EXPECT_EQ(net.at(2).metrics().pauses, 1U);
    net.run_until(net.now() + 40 * kPeriod);
    EXPECT_EQ(net.at(2).state_of("n0"), State::dead);
    EXPECT_EQ(deaths, 1);
}

TEST(Group, HalvesSayMinorityAndKeepTheCountTheMajorityLetsItFall) {
    for (const int cut_off : {2, 3}) {
        Options options;
        options.settle = 20 * kPeriod;
        VirtualNetwork net({.members = 6, .membership = options, .seed = 5});
        net.run_until(10 * kPeriod);
        for (int a = 0; a < cut_off; ++a)
            for (int b = cut_off; b < 6; ++b) net.cut(a, b), net.cut(b, a);
        net.run_until(100 * kPeriod);
        EXPECT_EQ(net.at(0).side(), PartitionSide::minority);
        EXPECT_EQ(net.at(5).side(), cut_off == 3 ? PartitionSide::minority : PartitionSide::majority);
        const auto sum = [](const std::map<std::string, int>& counts) {
            int all = 0;
            for (const auto& [zone, count] : counts) all += count;
            return all;
        };
        EXPECT_EQ(sum(net.at(0).cluster_size().counts()), 6);
        EXPECT_EQ(sum(net.at(5).cluster_size().counts()), cut_off == 3 ? 6 : 4);
        net.heal();
        EXPECT_TRUE(agree_within(net, 60));
    }
}

TEST(Group, ALeaveIsTakenFromTheMemberItselfAndIsNoDeath) {
    VirtualNetwork net({.members = 5, .membership = {}, .seed = 6});
    Watch watch(net);
    net.run_until(3 * kPeriod);
    net.at(1).leave(net.now());
    net.run_until(15 * kPeriod);
    for (int i = 0; i < 5; ++i)
        if (i != 1) {
            EXPECT_EQ(net.at(i).state_of("n1"), State::left);
        }
    EXPECT_EQ(net.at(0).member_count(), 4U);
    EXPECT_EQ(watch.deaths, 0);
}

TEST(Group, DatagramsStayWithinTheirSizeHoweverMuchThereIsToTell) {
    VirtualNetwork net({.members = 60, .membership = {}, .seed = 8, .formed = false});
    std::size_t most = 0;
    net.on_send = [&](int, const Datagram& datagram) {
        std::size_t size = kFrameRoom + datagram.from.size() + datagram.to.size() + datagram.subject.size();
        for (const MemberRecord& word : datagram.records) size += max_encoded_size(word);
        for (const Suspicion& doubt : datagram.suspicions) size += max_encoded_size(doubt);
        most = std::max(most, size);
    };
    EXPECT_TRUE(agree_within(net, 60));
    EXPECT_LE(most, kMaxDatagramBytes);
    EXPECT_GT(most, kMaxDatagramBytes / 2);  // some were full
}

}  // namespace sumackeel::cluster
