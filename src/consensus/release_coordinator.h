// The shell of releases: members report to whoever leads, and the leader looks and proposes the step that
// src/rollout's watch says. Nothing runs but while a release is under way and not halted.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"
#include "consensus/consensus_client.h"
#include "rollout/release_gate.h"

namespace sumackeel::consensus {

using cluster_transport::ClusterTransport;

class ReleaseCoordinator {
  public:
    // `tally`: what this process did since its start. `serving`: it is ready. ClusterTransport and agreed
    // outlive this.
    ReleaseCoordinator(net::Loop& loop, ClusterTransport& peers, ConsensusClient& agreed,
                       std::function<rollout::MemberMetrics()> tally, std::function<bool()> serving);
    ~ReleaseCoordinator();
    ReleaseCoordinator(const ReleaseCoordinator&) = delete;
    ReleaseCoordinator& operator=(const ReleaseCoordinator&) = delete;

    void changed();  // the agreed state
    std::string as_json() const;

  private:
    void arm();
    void turn();
    std::vector<rollout::MemberStatus> members() const;

    net::Loop& loop_;
    ClusterTransport& peers_;
    ConsensusClient& agreed_;
    std::function<rollout::MemberMetrics()> tally_;
    std::function<bool()> serving_;
    rollout::ReleaseWatch watch_;
    bool proposing_ = false;
    std::optional<base::TimerQueue::Key> next_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
