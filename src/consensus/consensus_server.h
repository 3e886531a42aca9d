// Answers the calls of other members: their requests where this one leads, and polls for the state where it
// votes.
#pragma once

#include <string>

#include "cluster_transport/cluster_transport.h"
#include "consensus/consensus_messages.h"
#include "consensus/local_voter.h"
#include "consensus/request_processor.h"
#include "consensus/state_view.h"

namespace sumackeel::consensus {

class ConsensusServer {
  public:
    // Handles the calls until close() or its end; all references outlive it.
    ConsensusServer(ClusterTransport& transport, LocalVoter& voter, const StateView& view,
                    RequestProcessor& processor);
    ~ConsensusServer();
    ConsensusServer(const ConsensusServer&) = delete;
    ConsensusServer& operator=(const ConsensusServer&) = delete;
    void close();

  private:
    using Respond = ClusterTransport::Respond;
    void on_call(const std::string& from, const std::string& verb, const std::string& body,
                 const Respond& respond);
    void on_request(const std::string& body, const Respond& respond);
    std::string state_reply(const KnownRevision& known) const;
    // The leader, as the log itself shows it: what others report of a leader is not passed on, or it would
    // outlive that leader.
    std::string own_leader() const;

    ClusterTransport& transport_;
    LocalVoter& voter_;
    const StateView& view_;
    RequestProcessor& processor_;
};

}  // namespace sumackeel::consensus
