// Processes requests on the leader: completes them with the current state of the cluster and proposes them as
// commands of the log.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/consensus_messages.h"
#include "consensus/local_voter.h"
#include "consensus/state_view.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

// Returns the members of a kind as currently seen by this member.
using FleetView = std::function<std::vector<rollout::FleetMember>(rollout::MemberKind)>;

class RequestProcessor {
  public:
    struct Context {
        net::Loop& loop;
        ClusterTransport& transport;
        const config::Consensus& setup;  // always the current settings
        LocalVoter& voter;
        const StateView& view;
        FleetView fleet;
    };
    // Everything that the context refers to must outlive this object.
    explicit RequestProcessor(Context context) : context_(std::move(context)) {}

    // Only valid while this member is the leader. `done` is called once, immediately or from the loop;
    // without a value the request was not committed and may be retried.
    void process(const ConsensusRequest& request, RaftNode::ResultCallback done);
    // The result that a lease request for `member` would have now; no value if the member is unknown.
    std::optional<rollout::CommandResult> explain(const std::string& member) const;
    const FleetView& fleet() const { return context_.fleet; }

  private:
    std::string encode_command(const ConsensusRequest& request) const;
    std::string encode_release_command(const ConsensusRequest& request) const;
    rollout::LeaseRequest lease_request(const ConsensusRequest& request) const;

    Context context_;
};

}  // namespace sumackeel::consensus
