// Makes a purge known to all proxies of a store, whichever way one of them learned of it: proposes it for the
// replicated log, and passes it on with the confirm queries until it is there.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "consensus/consensus_client.h"
#include "kv_store/purge_exchange.h"
#include "net/loop.h"

namespace sumackeel::daemon {

class PurgeReplicator {
  public:
    using OnPurge = std::function<void(const kv_store::Purge&)>;
    struct Options {
        base::Micros retention = 0;  // for how long a copy from before a purge may exist
        OnPurge on_purge;            // obeys a purge that came from another member
    };

    // `client` must outlive this.
    PurgeReplicator(net::Loop& loop, consensus::ConsensusClient& client, std::string self, Options options);
    ~PurgeReplicator();
    PurgeReplicator(const PurgeReplicator&) = delete;
    PurgeReplicator& operator=(const PurgeReplicator&) = delete;

    // The change log told it to this proxy, which obeys it already.
    void on_change_log_purge(kv_store::Purge purge);
    // It is in the replicated log, whose newest purge is `newest`.
    void on_replicated(const kv_store::Purge& purge, const kv_store::Purge& newest);

  private:
    void learn(const kv_store::Purge& purge, kv_store::PurgeSource source);
    kv_store::ConsensusRole role() const;
    void propose_due();
    void schedule();

    net::Loop& loop_;
    consensus::ConsensusClient& client_;
    const std::string self_;
    const Options options_;
    kv_store::PurgeExchange exchange_;
    std::optional<base::TimerQueue::Key> timer_;
};

}  // namespace sumackeel::daemon
