// Purges that are not in the replicated log yet travel with the confirm queries and their replies, so that
// they need no messages of their own and reach all members while the log has no leader.
#pragma once

#include <functional>
#include <vector>

#include "kv_store/kv_store.h"

namespace sumackeel::consensus {

struct PurgeRelay {
    // The purges to send with the next message.
    std::function<std::vector<kv_store::Purge>()> pending;
    // Called with the purges in a message, before the message confirms anything.
    std::function<void(const std::vector<kv_store::Purge>&)> on_received;

    std::vector<kv_store::Purge> to_send() const {
        return pending ? pending() : std::vector<kv_store::Purge>{};
    }
    void receive(const std::vector<kv_store::Purge>& purges) const {
        if (on_received && !purges.empty()) on_received(purges);
    }
};

}  // namespace sumackeel::consensus
