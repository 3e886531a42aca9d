// Membership on a virtual clock: its guarantees with many seeds and random faults, and single cases.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/virtual_network.h"

namespace sumackeel::cluster {
namespace {

constexpr Micros kPeriod = 1'000'000;
constexpr int kSeeds = 500;
// Upper bound for 3 to 9 members to see each other after the last fault.
constexpr int kMaxPeriodsToConverge = 90;

// Counts deaths and suspicions that any member sees, and checks that incarnations only grow.
class Observer {
  public:
    explicit Observer(VirtualNetwork& net) : net_(net) {
        net.on_change = [this](int, const MemberChange& change) {
            if (change.to == MemberState::dead) ++deaths;
            if (change.to == MemberState::suspect) ++suspicions;
        };
    }
    void check_incarnations() {
        for (int i = 0; i < net_.size(); ++i) {
            if (!net_.running(i)) continue;
            const std::uint64_t instance_id = net_.at(i).self().instance_id;
            for (const MemberView& seen : net_.at(i).members()) {
                Incarnation& before = incarnations_[{instance_id, seen.record.name}];
                EXPECT_GE(seen.record.incarnation, before) << seen.record.name;
                before = seen.record.incarnation;
            }
        }
    }

    int deaths = 0;
    int suspicions = 0;

  private:
    VirtualNetwork& net_;
    std::map<std::pair<std::uint64_t, std::string>, Incarnation> incarnations_;  // by observer and member
};

bool converges_within(VirtualNetwork& net, int periods) {
    for (int i = 0; i < periods && !net.converged(); ++i) net.run_until(net.now() + kPeriod);
    return net.converged();
}

void expect_state_everywhere(VirtualNetwork& net, int member, MemberState state) {
    for (int i = 0; i < net.size(); ++i)
        if (i != member) {
            EXPECT_EQ(net.at(i).state_of(VirtualNetwork::name_of(member)), state) << "seen by " << i;
        }
}

int sum(const std::map<std::string, int>& counts) {
    int total = 0;
    for (const auto& [zone, count] : counts) total += count;
    return total;
}

void inject_fault(VirtualNetwork& net, std::mt19937_64& random) {
    const auto member = [&] { return static_cast<int>(random() % static_cast<std::uint64_t>(net.size())); };
    const int one = member();
    const int other = member();
    switch (random() % 7) {
        case 0:
            return net.set_loss(static_cast<double>(random() % 6) / 10);
        case 1:
            return net.cut(one, other);
        case 2:
            return net.pause(one);
        case 3:
            return net.resume(one);
        case 4:
            return net.kill(one);
        case 5:
            if (!net.running(one)) net.start(one);
            return;
        default:
            return net.set_delay(static_cast<Micros>(random() % 300'000), 200'000);
    }
}

// Random faults, one after another, with up to seven periods after each.
void inject_faults(VirtualNetwork& net, std::mt19937_64& random, Observer& observer) {
    constexpr int kFaults = 6;
    for (int fault = 0; fault < kFaults; ++fault) {
        inject_fault(net, random);
        for (std::uint64_t i = random() % 8; i > 0; --i) {
            net.run_until(net.now() + kPeriod);
            observer.check_incarnations();
        }
    }
}

void end_faults(VirtualNetwork& net) {
    net.heal();
    net.set_loss(0);
    net.set_delay(1'000, 1'000);
    for (int i = 0; i < net.size(); ++i) {
        if (net.paused(i)) net.resume(i);
        if (!net.running(i)) net.start(i);
    }
}

// Gossip of a faulty member, without the forged claims.
Datagram gossip_from(const MemberRecord& sender, const std::string& to) {
    return {.kind = MessageKind::gossip, .from = sender.name, .to = to, .records = {sender}};
}

// Suspicions of the victim in the names of several members, and a leave and a later start that it never had.
Datagram forged_claims(const MemberRecord& liar, const MemberRecord& victim, const std::string& to,
                       std::uint64_t number) {
    Datagram forged = gossip_from(liar, to);
    for (const char* suspector : {"n0", "n3", "n4", "n5"})
        forged.suspicions.push_back({.suspector = suspector,
                                     .subject = victim.name,
                                     .suspector_start = 1,
                                     .incarnation = victim.incarnation,
                                     .number = number});
    MemberRecord left = victim;
    left.incarnation.refutations += 5;
    left.phase = Phase::left;
    forged.records.push_back(left);
    MemberRecord later = victim;
    later.incarnation.start += 5;
    forged.records.push_back(later);
    return forged;
}

// Tells the victim that another process uses its name.
Datagram forged_displacement(const MemberRecord& liar, const MemberRecord& victim) {
    Datagram forged = gossip_from(liar, victim.name);
    MemberRecord other = victim;
    other.incarnation.start += 3;
    other.instance_id ^= 1;
    forged.records.push_back(other);
    return forged;
}

}  // namespace

TEST(MembershipProperties, WithoutFaultsNoMemberIsSuspectedOrDeclaredDead) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        VirtualNetwork net({.members = 3 + static_cast<int>(seed % 10),
                            .membership = {},
                            .seed = seed,
                            .delay = 20'000,
                            .jitter = 30'000});
        Observer observer(net);
        net.run_until(30 * kPeriod);
        ASSERT_EQ(observer.deaths + observer.suspicions, 0) << "seed " << seed;
        ASSERT_TRUE(net.converged()) << "seed " << seed;
    }
}

TEST(MembershipProperties, ConvergesAfterFaultsAndIncarnationsOnlyGrow) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        VirtualNetwork net({.members = 3 + static_cast<int>(seed % 7), .membership = {}, .seed = seed});
        Observer observer(net);
        std::mt19937_64 random(seed * 77);
        inject_faults(net, random, observer);
        end_faults(net);
        ASSERT_TRUE(converges_within(net, kMaxPeriodsToConverge)) << "seed " << seed;
        observer.check_incarnations();
        ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
    }
}

TEST(MembershipProperties, OldRecordsDoNotReviveADeadMember) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        VirtualNetwork net({.members = 5, .membership = {}, .seed = seed});
        std::vector<Datagram> old_datagrams;
        net.on_send = [&](int from, const Datagram& datagram) {
            if (from == 1) old_datagrams.push_back(datagram);
        };
        net.run_until(10 * kPeriod);
        net.kill(1);
        net.run_until(50 * kPeriod);
        for (int i = 0; i < 5; ++i)
            if (i != 1) {
                ASSERT_EQ(net.at(i).state_of("n1"), MemberState::dead) << "seed " << seed;
            }
        for (const Datagram& datagram : old_datagrams)
            for (int i = 0; i < 5; ++i)
                if (i != 1) net.inject(i, datagram);
        net.run_until(55 * kPeriod);
        for (int i = 0; i < 5; ++i)
            if (i != 1) {
                ASSERT_EQ(net.at(i).state_of("n1"), MemberState::dead) << "seed " << seed;
            }
    }
}

TEST(MembershipProperties, OneFaultyMemberCausesNoDeath) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        VirtualNetwork net({.members = 6, .membership = {}, .seed = seed});
        Observer observer(net);
        net.run_until(5 * kPeriod);
        const MemberRecord liar = net.at(0).self();
        for (std::uint64_t turn = 0; turn < 40; ++turn) {
            const std::uint64_t number = 1'000'000 + turn;
            for (int to = 2; to < 6; ++to)
                net.inject(to, forged_claims(liar, net.at(1).self(), VirtualNetwork::name_of(to), number));
            net.inject(1, forged_displacement(liar, net.at(1).self()));
            net.run_until(net.now() + kPeriod / 2);
        }
        ASSERT_FALSE(net.at(1).is_displaced()) << "seed " << seed;
        ASSERT_EQ(observer.deaths, 0) << "seed " << seed;
        ASSERT_TRUE(converges_within(net, 30)) << "seed " << seed;
    }
}

TEST(MembershipProperties, TenPercentLossCausesNoDeathInAnHourOfFiveMembers) {
    VirtualNetwork net({.members = 5, .membership = {}, .seed = 7, .loss = 0.1});
    Observer observer(net);
    net.run_until(3600 * kPeriod);
    EXPECT_EQ(observer.deaths, 0);
}

TEST(Membership, AllDetectAKilledMemberAndSeeItsRestartAsALaterStart) {
    VirtualNetwork net({.members = 8, .membership = {}, .seed = 3});
    net.run_until(5 * kPeriod);
    net.kill(4);
    net.run_until(40 * kPeriod);
    expect_state_everywhere(net, 4, MemberState::dead);
    EXPECT_EQ(net.at(0).member_count(), 8U);
    EXPECT_EQ(net.at(0).reachable_count(), 7U);
    net.start(4);
    EXPECT_TRUE(converges_within(net, 20));
    for (const MemberView& seen : net.at(0).members())
        if (seen.record.name == "n4") {
            EXPECT_EQ(seen.record.incarnation.start, 2U);
        }
}

TEST(Membership, AfterItsOwnPauseAMemberPingsBeforeItDeclaresADeath) {
    VirtualNetwork net({.members = 5, .membership = {}, .seed = 4});
    net.run_until(5 * kPeriod);
    int deaths = 0;
    net.on_change = [&](int observer, const MemberChange& change) {
        if (observer == 2 && change.to == MemberState::dead) ++deaths;
    };
    net.kill(0);
    net.run_until(8 * kPeriod);  // suspected by now
    net.pause(2);
    net.run_until(60 * kPeriod);
    net.resume(2);
    net.run_until(net.now() + kPeriod);
    EXPECT_EQ(deaths, 0);
    EXPECT_EQ(net.at(2).metrics().pauses, 1U);
    net.run_until(net.now() + 40 * kPeriod);
    EXPECT_EQ(net.at(2).state_of("n0"), MemberState::dead);
    EXPECT_EQ(deaths, 1);
}

TEST(Membership, ClusterSizeFallsInTheMajorityOnly) {
    for (const int cut_off : {2, 3}) {
        Options options;
        options.size_settle_time = 20 * kPeriod;
        VirtualNetwork net({.members = 6, .membership = options, .seed = 5});
        net.run_until(10 * kPeriod);
        for (int a = 0; a < cut_off; ++a)
            for (int b = cut_off; b < 6; ++b) {
                net.cut(a, b);
                net.cut(b, a);
            }
        net.run_until(100 * kPeriod);
        EXPECT_EQ(net.at(0).side(), PartitionSide::minority);
        EXPECT_EQ(net.at(5).side(), cut_off == 3 ? PartitionSide::minority : PartitionSide::majority);
        EXPECT_EQ(sum(net.at(0).cluster_size().counts()), 6);
        EXPECT_EQ(sum(net.at(5).cluster_size().counts()), cut_off == 3 ? 6 : 4);
        net.heal();
        EXPECT_TRUE(converges_within(net, 60));
    }
}

TEST(Membership, ALeaveIsNoDeath) {
    VirtualNetwork net({.members = 5, .membership = {}, .seed = 6});
    Observer observer(net);
    net.run_until(3 * kPeriod);
    net.at(1).leave(net.now());
    net.run_until(15 * kPeriod);
    expect_state_everywhere(net, 1, MemberState::left);
    EXPECT_EQ(net.at(0).member_count(), 4U);
    EXPECT_EQ(observer.deaths, 0);
}

TEST(Membership, DatagramsStayWithinTheirMaximumSize) {
    VirtualNetwork net({.members = 60, .membership = {}, .seed = 8, .formed = false});
    std::uint64_t largest = 0;
    net.on_send = [&](int, const Datagram& datagram) {
        largest = std::max(largest, max_encoded_size(datagram));
    };
    EXPECT_TRUE(converges_within(net, 60));
    EXPECT_LE(largest, kMaxDatagramBytes);
    EXPECT_GT(largest, kMaxDatagramBytes / 2);  // some were nearly full
}

}  // namespace sumackeel::cluster
