// How the leader carries out a request: it completes it by what the cluster shows now, and proposes it as a
// command of the log.
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

// The members of a kind, as this one sees them now.
using FleetView = std::function<std::vector<rollout::FleetMember>(rollout::MemberKind)>;

class RequestProcessor {
  public:
    struct Context {
        net::Loop& loop;
        ClusterTransport& transport;
        const config::Consensus& setup;  // as it stands now
        LocalVoter& voter;
        const StateView& view;
        FleetView fleet;
    };
    // All that the context refers to outlives this.
    explicit RequestProcessor(Context context) : context_(std::move(context)) {}

    // Only while this member leads. `done` is called once, at once or from the loop; none: not committed, the
    // caller may retry.
    void process(const ConsensusRequest& request, RaftNode::ResultCallback done);
    // The result that a request for a lease of `member` would have now; none: no such member is known.
    std::optional<rollout::CommandResult> explain(const std::string& member) const;
    const FleetView& fleet() const { return context_.fleet; }

  private:
    std::string encode_command(const ConsensusRequest& request) const;
    std::string encode_release_command(const ConsensusRequest& request) const;
    rollout::LeaseRequest lease_request(const ConsensusRequest& request) const;

    Context context_;
};

}  // namespace sumackeel::consensus
