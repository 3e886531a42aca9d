// Drives a release: members report their metrics to the leader, and the leader proposes the next step decided
// by ReleaseWatch (src/rollout). Idle unless a release is active and not halted.
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
    // `metrics` returns this process's metrics since its start, `is_serving` whether it is ready. `transport`
    // and `client` must outlive this object.
    ReleaseCoordinator(net::Loop& loop, ClusterTransport& transport, ConsensusClient& client,
                       std::function<rollout::MemberMetrics()> metrics, std::function<bool()> is_serving);
    ~ReleaseCoordinator();
    ReleaseCoordinator(const ReleaseCoordinator&) = delete;
    ReleaseCoordinator& operator=(const ReleaseCoordinator&) = delete;

    void changed();  // to be called after each change of the replicated state
    // The releases and the members of the active one, as a single line.
    std::string as_json() const;

  private:
    const rollout::Release* running_release() const;  // null if there is none or it is halted
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
