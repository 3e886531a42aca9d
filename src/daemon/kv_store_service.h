// Serves the key-value store of the replicated log: handles the requests of `sumackeel store` and
// `sumackeel purge`, passes purges to the router, and imports once what the store of earlier versions left on
// disk. Off unless the operator's settings have [store].
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/api.h"
#include "admin_server/admin_server.h"
#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/consensus_client.h"
#include "core/core.h"
#include "daemon/purge_replicator.h"
#include "net/loop.h"
#include "store/legacy_store_import.h"
#include "store/store_api.h"

namespace sumackeel::daemon {

class KvStoreService {
  public:
    using OnPurge = PurgeReplicator::OnPurge;

    // How purges are obeyed. `max_confirmed_age`: for how long the purges in a confirmed state are taken for
    // all, and the maximum age of the copies accepted after that. `retention`: for how long a copy from
    // before a purge may exist. `on_purge` is called once for each purge that this proxy did not learn from
    // its own change log; it counts as received now, whenever it was submitted.
    struct PurgeOptions {
        base::Micros max_confirmed_age = 0, retention = 0;
        OnPurge on_purge;
    };
    // `client` and `transport` must outlive this.
    KvStoreService(net::Loop& loop, net::SocketBudget& sockets,
                   cluster_transport::ClusterTransport& transport, consensus::ConsensusClient& client,
                   const config::Store& setup, PurgeOptions purges);
    ~KvStoreService();
    KvStoreService(const KvStoreService&) = delete;
    KvStoreService& operator=(const KvStoreService&) = delete;

    std::optional<std::string> get(const std::string& key) const;
    // A purge that the change log told this proxy, which obeys it already: passed on to all others.
    void on_change_log_purge(const kv_store::Purge& purge) { replicator_.on_change_log_purge(purge); }
    // A proxy whose state has not been confirmed for a while may have missed a purge.
    core::PurgeKnowledge purge_knowledge() const;
    // Handles calls under /ops/purge. No value: the reply comes by `respond_later`.
    std::optional<admin::ApiReply> handle_call(const admin::ApiCall& call,
                                               const admin_server::DeferredReply& respond_later);
    int port() const { return api_.port(); }

  private:
    void handle_request(const Json::Value& request, base::Micros received_at,
                        const store::StoreApi::Answer& respond);
    void promote(const store::StoreApi::Answer& respond);
    Json::Value list_json(const std::string& prefix) const;
    Json::Value local_json(const std::string& key) const;
    void read_from_majority(const std::string& key, const store::StoreApi::Answer& respond);
    void change(const Json::Value& request, base::Micros received_at, const store::StoreApi::Answer& respond);
    void on_log_changed();
    void import_legacy_store();
    void import_next_batch();
    void notify_members(const std::shared_ptr<std::vector<std::string>>& names);
    void report_progress(const admin_server::DeferredReply& respond_later);

    net::Loop& loop_;
    cluster_transport::ClusterTransport& transport_;
    consensus::ConsensusClient& consensus_;
    const config::Store setup_;
    const base::Micros max_confirmed_age_;
    PurgeReplicator replicator_;
    std::uint64_t notified_purge_ = 0;  // the newest purge passed to the router
    std::optional<store::LegacyStore> legacy_store_;
    std::optional<base::TimerQueue::Key> import_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    store::StoreApi api_;
};

}  // namespace sumackeel::daemon
