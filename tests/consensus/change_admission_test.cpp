// Changes that arrive late, twice, or after another of the same target: what the leader still carries out.
#include "consensus/change_admission.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "consensus/consensus_messages.h"
#include "consensus/open_changes.h"

namespace sumackeel::consensus {
namespace {

constexpr LeaderTerm kLeader{7, 3};
constexpr base::Micros kNow = 5'000'000, kTimeLeft = 800'000;

struct Admission : testing::Test {
    ChangeAdmission admission;

    ChangeGuard guard_issued_at(base::Micros now) {
        return {{"caller", 1, 1}, admission.issue(kLeader, now), kTimeLeft};
    }
    std::optional<Refusal> check(const ChangeGuard& guard, base::Micros now, LeaderTerm leader = kLeader) {
        return admission.check_time(guard, leader, now);
    }
};

TEST_F(Admission, EndsAtTheCallersDeadline) {
    const ChangeGuard guard = guard_issued_at(kNow);
    EXPECT_EQ(check(guard, kNow + kTimeLeft - 1), std::nullopt);
    EXPECT_EQ(check(guard, kNow + kTimeLeft), Refusal::expired);
}

// A caller that says it has hours left is not believed.
TEST_F(Admission, EndsWithTheLongestCall) {
    ChangeGuard guard = guard_issued_at(kNow);
    guard.time_left = 3'600'000'000;
    EXPECT_EQ(check(guard, kNow + kRequestTimeout), Refusal::expired);
}

TEST_F(Admission, HoldsForOneTermOfOneProcess) {
    const ChangeGuard guard = guard_issued_at(kNow);
    EXPECT_EQ(check(guard, kNow, {kLeader.start, kLeader.term + 1}), Refusal::token_needed);
    EXPECT_EQ(check(guard, kNow, {kLeader.start + 1, kLeader.term}), Refusal::token_needed);
    EXPECT_EQ(check({{"caller", 1, 1}, {}, kTimeLeft}, kNow), Refusal::token_needed);
    admission.issue({kLeader.start, kLeader.term + 1}, kNow);
    EXPECT_EQ(check(guard, kNow), Refusal::token_needed);
}

TEST_F(Admission, IsSupersededByALaterChangeOfItsTarget) {
    const ChangeGuard guard = guard_issued_at(kNow);
    admission.admit("s-b", kLeader);
    EXPECT_FALSE(admission.is_superseded("s-a", *guard.token));
    admission.admit("s-a", kLeader);
    EXPECT_TRUE(admission.is_superseded("s-a", *guard.token));
    EXPECT_FALSE(admission.is_superseded("s-a", admission.issue(kLeader, kNow)));
    admission.admit("", kLeader);
    EXPECT_FALSE(admission.is_superseded("", *guard.token));
}

// Which target was changed last is forgotten beyond the bound: then older tokens count as superseded.
TEST_F(Admission, StaysSupersededBeyondTheBoundOfTargets) {
    const ChangeGuard guard = guard_issued_at(kNow);
    for (std::size_t i = 0; i <= ChangeAdmission::kMaxTargets; ++i)
        admission.admit("target " + std::to_string(i), kLeader);
    EXPECT_TRUE(admission.is_superseded("target 0", *guard.token));
    EXPECT_FALSE(admission.is_superseded("target 0", admission.issue(kLeader, kNow)));
}

struct Repeats : testing::Test {
    const ChangeId id{"caller", 1, 1};
    OpenChanges changes;
    std::vector<std::uint64_t> numbers;  // of the results that callers got

    OpenChanges::Joined join(base::Micros now) {
        return changes.join(id, kNow + kTimeLeft, now, [this](const RequestOutcome& outcome) {
            numbers.push_back(outcome.result ? outcome.result->number : 0);
        });
    }
    void finish(std::uint64_t number) {
        changes.finish(id, RequestOutcome::of({rollout::Outcome::granted, number, {}, {}}), false, kNow);
    }
};

TEST_F(Repeats, AreAnsweredAsTheFirst) {
    EXPECT_EQ(join(kNow), OpenChanges::Joined::is_new);
    EXPECT_EQ(join(kNow), OpenChanges::Joined::is_repeat);
    finish(5);
    EXPECT_EQ(join(kNow), OpenChanges::Joined::is_repeat);
    EXPECT_EQ(numbers, (std::vector<std::uint64_t>{5, 5, 5}));
}

TEST_F(Repeats, AreCarriedOutAnewAfterACertainRefusal) {
    join(kNow);
    changes.finish(id, RequestOutcome::refused(Refusal::superseded), true, kNow);
    EXPECT_EQ(join(kNow), OpenChanges::Joined::is_new);
}

TEST_F(Repeats, AreForgottenWithTheDeadline) {
    join(kNow);
    finish(5);
    EXPECT_EQ(join(kNow + kTimeLeft), OpenChanges::Joined::is_new);
}

TEST(Messages, OfVersionsWithoutTokensHaveNone) {
    const ConsensusRequest old{.kind = RequestKind::return_lease, .member = "s-a", .by = "one"};
    EXPECT_FALSE(ConsensusRequest::decode(old.encode()).guard);
    EXPECT_FALSE(decode_reply(encode(ConsensusReply{.leader = "one", .body = {}})).refusal);
}

TEST(Messages, CarryTheGuardAndTheToken) {
    const AdmissionToken token{kLeader, kNow, 9};
    ConsensusRequest request{.kind = RequestKind::return_lease, .member = "s-a", .by = "one"};
    request.guard = ChangeGuard{{"caller", 2, 3}, token, kTimeLeft};
    const auto decoded = ConsensusRequest::decode(request.encode());
    ASSERT_TRUE(decoded.guard);
    EXPECT_EQ(decoded.guard->id, request.guard->id);
    EXPECT_EQ(decoded.guard->token, token);
    EXPECT_EQ(decoded.guard->time_left, kTimeLeft);
    const auto reply = decode_reply(
        encode(ConsensusReply{.leader = "one", .body = {}, .refusal = Refusal::superseded, .token = token}));
    EXPECT_EQ(reply.refusal, Refusal::superseded);
    EXPECT_EQ(reply.token, token);
    EXPECT_FALSE(reply.confirmed_age);
}

}  // namespace
}  // namespace sumackeel::consensus
