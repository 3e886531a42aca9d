// Drives a release: members report their metrics to the leader, and the leader proposes the step that
// src/rollout's ReleaseWatch decides on. Nothing runs unless a release is under way and not halted.
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
    // `metrics`: what this process did since its start. `is_serving`: it is ready. `transport` and `client`
    // outlive this.
    ReleaseCoordinator(net::Loop& loop, ClusterTransport& transport, ConsensusClient& client,
                       std::function<rollout::MemberMetrics()> metrics, std::function<bool()> is_serving);
    ~ReleaseCoordinator();
    ReleaseCoordinator(const ReleaseCoordinator&) = delete;
    ReleaseCoordinator& operator=(const ReleaseCoordinator&) = delete;

    void changed();  // to be called after each change of the replicated state
    // The releases, and the members of the one under way; one line.
    std::string as_json() const;

  private:
    const rollout::Release* running_release() const;  // null: none, or it is halted
    void on_report(const std::string& from, const std::string& body);
    void schedule_tick();
    void tick();
    void report_to_leader(const rollout::MemberReport& report);
    void propose_next_step(const rollout::Release& release);
    bool has_lease(const std::string& member) const;
    rollout::MemberStatus own_status() const;
    rollout::MemberStatus status_of(const cluster::MemberView& member) const;
    std::vector<rollout::MemberStatus> members() const;

    net::Loop& loop_;
    ClusterTransport& transport_;
    ConsensusClient& client_;
    std::function<rollout::MemberMetrics()> metrics_;
    std::function<bool()> is_serving_;
    rollout::ReleaseWatch watch_;
    bool proposing_ = false;
    std::optional<base::TimerQueue::Key> tick_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
