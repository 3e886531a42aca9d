// Voters whose replies are late. Guards against calls that are given up before their reply and made anew, so
// that none is ever heard (review/7 at the voters).
#include "../cluster_transport/two_members.h"
#include "consensus/consensus_client.h"

namespace sumackeel::consensus {
namespace {

using base::Micros;
using rollout::CommandResult;
using rollout::Outcome;

constexpr Micros kLate = 500'000;

// `left` follows the log; `right` stands in for its only voter, and replies to each call late.
struct LateVoter : cluster_transport::TwoMembers {
    config::Consensus setup;
    std::map<std::string, int> calls;

    LateVoter() { setup.voters = {{"right", "127.0.0.1:1"}}; }
    // `reply`: to the n-th call of that method, counted from 1.
    void reply_late(const char* method, std::function<ConsensusReply(int call)> reply) {
        right->on_call(
            method, [this, reply](const auto&, const std::string& called, const auto&, auto respond) {
                const std::string body = encode(reply(++calls[called]));
                loop.timers().schedule(loop.clock().now() + kLate, [respond, body] { respond(body); });
            });
    }
    std::unique_ptr<ConsensusClient> follow() {
        return std::make_unique<ConsensusClient>(loop, *left, setup, ConsensusClient::Options{}, FleetView{},
                                                 [](const auto&) {});
    }
    std::optional<CommandResult> request_lease() {
        const auto client = follow();
        std::optional<std::optional<CommandResult>> result;
        client->request_lease(rollout::MemberKind::pop_cache, "s-a", "test", false,
                              [&](std::optional<CommandResult> came) { result = std::move(came); });
        run_until([&] { return result.has_value(); });
        return result.value_or(std::nullopt);
    }
};

ConsensusReply result_reply(Outcome outcome) {
    return {.done = true, .leader = "right", .body = rollout::encode(CommandResult{outcome, 7, "", {}})};
}

TEST_F(LateVoter, AGrantThatIsLateIsHeard) {
    reply_late(kRequestVerb, [](int) { return result_reply(Outcome::granted); });
    const auto result = request_lease();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, Outcome::granted);
    EXPECT_LE(calls[kRequestVerb], 2);
}

// A later attempt may be granted meanwhile, so that a late "no" is not the outcome.
TEST_F(LateVoter, ARejectionThatIsLateIsNotTakenForTheOutcome) {
    reply_late(kRequestVerb, [](int) { return result_reply(Outcome::rejected); });
    EXPECT_FALSE(request_lease());
}

TEST_F(LateVoter, AStateThatIsLateIsHeard) {
    reply_late(kStateVerb, [](int) {
        return ConsensusReply{.done = true, .leader = "right", .body = {}, .confirmed_age = 0};
    });
    const auto client = follow();
    run_until([&] { return client->is_known(); });
    EXPECT_EQ(client->leader(), "right");
}

}  // namespace
}  // namespace sumackeel::consensus
