// Polls the other members for their recovery state, a few per round in round-robin order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"
#include "recovery_coordinator/recovery_messages.h"

namespace sumackeel::recovery_coordinator {

using cluster_transport::ClusterTransport;

class MemberPoller {
  public:
    using ReplyCallback = std::function<void(const std::string& from, RecoveryReply reply)>;

    // `transport` must outlive this object. `on_reply` is called on the event loop.
    MemberPoller(ClusterTransport& transport, ReplyCallback on_reply);

    // Starts at most one round per poll interval; may be called more often. `now`: steady clock.
    void poll(base::Micros now);
    std::uint64_t polls() const { return polls_; }
    std::uint64_t replies() const { return replies_; }

  private:
    std::vector<std::string> reachable_members() const;
    void on_body(const std::string& from, const std::string& body);

    ClusterTransport& transport_;
    ReplyCallback on_reply_;
    base::Micros last_poll_at_ = 0;
    std::size_t next_member_ = 0;
    std::uint64_t polls_ = 0;
    std::uint64_t replies_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::recovery_coordinator
