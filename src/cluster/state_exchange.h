// Exchange of full states with one member at a time: the digest, the state to send, and the next peer.
// Internal to src/cluster.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cluster/local_state.h"
#include "cluster/member_table.h"

namespace sumackeel::cluster {

class StateExchange {
  public:
    StateExchange(LocalState& local, const MemberTable& members) : local_(local), members_(members) {}

    // Equal for members with the same state.
    std::uint64_t digest() const;
    FullState full_state() const;

    Micros next_at() const { return next_at_; }
    void schedule_next();
    // Picks a random member for the exchange that is due, and schedules the one after it.
    void pick_peer();
    void request(const std::string& peer) { peer_ = peer; }
    std::optional<std::string> take_peer() { return std::exchange(peer_, std::nullopt); }

  private:
    LocalState& local_;
    const MemberTable& members_;
    Micros next_at_ = 0;
    std::optional<std::string> peer_;
};

}  // namespace sumackeel::cluster
