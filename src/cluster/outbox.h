// Outgoing datagrams, each with this member's own record and as much gossip as fits. Internal to src/cluster.
#pragma once

#include <utility>
#include <vector>

#include "cluster/gossip_queue.h"
#include "cluster/local_state.h"

namespace sumackeel::cluster {

class Outbox {
  public:
    Outbox(const LocalState& local, GossipQueue& gossip) : local_(local), gossip_(gossip) {}

    void send(const Member& to, Datagram datagram, SendPriority priority);
    std::vector<OutgoingDatagram> take() { return std::exchange(datagrams_, {}); }

  private:
    const LocalState& local_;
    GossipQueue& gossip_;
    std::vector<OutgoingDatagram> datagrams_;
};

}  // namespace sumackeel::cluster
