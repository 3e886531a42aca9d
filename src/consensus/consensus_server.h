// Serves calls from other members: requests if this member is the leader, state polls if it is a voter.
#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "cluster_transport/cluster_transport.h"
#include "consensus/consensus_messages.h"
#include "consensus/local_voter.h"
#include "consensus/purge_relay.h"
#include "consensus/request_processor.h"
#include "consensus/state_view.h"

namespace sumackeel::consensus {

class ConsensusServer {
  public:
    // Handles calls until close() or destruction; all references must outlive this object.
    ConsensusServer(base::Clock& clock, ClusterTransport& transport, LocalVoter& voter, const StateView& view,
                    RequestProcessor& processor, const PurgeRelay& purge_relay);
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
    std::optional<std::string> confirm_reply(const std::string& from, const std::string& query) const;
    // The leader according to this member's own log. Leaders reported by others are not passed on: members
    // would keep repeating the name to each other after that leader is gone.
    std::string own_leader() const;

    base::Clock& clock_;
    ClusterTransport& transport_;
    LocalVoter& voter_;
    const StateView& view_;
    RequestProcessor& processor_;
    const PurgeRelay& purge_relay_;
};

}  // namespace sumackeel::consensus
