// Sends requests to the leader of the replicated log: one attempt after another until a request has a result
// or its deadline has passed. Internal to src/consensus.
//
// An attempt whose reply is late is kept beside the next, and the first result counts. Changes carry a guard
// (see ChangeAdmission), so that no attempt has an effect once the caller was told that it failed. The
// attempts that carry a token all go to the leader that issued it: whether an earlier leader committed the
// change is not known to the next one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster_transport/cluster_transport.h"
#include "consensus/consensus_messages.h"
#include "consensus/local_voter.h"
#include "consensus/raft_node.h"
#include "consensus/request_processor.h"
#include "consensus/state_follower.h"
#include "consensus/state_view.h"
#include "net/loop.h"

namespace sumackeel::consensus {

class RequestSender {
  public:
    using ResultCallback = RaftNode::ResultCallback;
    struct Context {
        net::Loop& loop;
        ClusterTransport& transport;
        LocalVoter& voter;
        const StateView& view;
        StateFollower& follower;
        RequestProcessor& processor;
    };
    // Everything that the context refers to must outlive this object.
    explicit RequestSender(Context context) : context_(context) {}

    // `done` is called exactly once, from the loop, at the latest kRequestTimeout after `called_at`; without
    // a value if there is no result by then.
    void submit(ConsensusRequest request, base::Micros called_at, ResultCallback done);
    // No callback runs afterwards.
    void close() { alive_.reset(); }

  private:
    struct PendingRequest;
    using PendingPtr = std::shared_ptr<PendingRequest>;

    void attempt(const PendingPtr& pending);
    void attempt_locally(const PendingPtr& pending);
    void attempt_at(const std::string& voter, const PendingPtr& pending);
    void on_response(const PendingPtr& pending, std::uint64_t number, const std::string& body);
    void on_refusal(const PendingPtr& pending, std::uint64_t number, const ConsensusReply& reply);
    void on_attempt_failed(const PendingPtr& pending, std::uint64_t number);
    void retry_later(const PendingPtr& pending);
    std::string next_target();
    const std::string& self() const { return context_.transport.membership().self().name; }

    Context context_;
    std::uint64_t last_change_ = 0;  // number of the last change that was submitted
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
