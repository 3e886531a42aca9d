// The registry of the agreed log as the daemon lives with it: the words of `sumackeel store` and of
// `sumackeel purge`, purges told to the module, and what the store of earlier versions left on disk taken
// over once. Off unless the operator's file has [store].
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
#include "net/loop.h"
#include "store/legacy_store_import.h"
#include "store/store_api.h"

namespace sumackeel::daemon {

class KvStoreService {
  public:
    using Purged = std::function<void(const kv_store::Purge&)>;

    // Agreed and peers outlive this. `purged`: each purge once, heard just now, whenever it was told.
    KvStoreService(net::Loop& loop, net::SocketBudget& sockets, cluster_transport::ClusterTransport& peers,
                   consensus::ConsensusClient& agreed, const config::Store& setup, Purged purged);
    ~KvStoreService();
    KvStoreService(const KvStoreService&) = delete;
    KvStoreService& operator=(const KvStoreService&) = delete;

    std::optional<std::string> get(const std::string& key) const;
    // The oldest copy that will do, as an age; 0: any. One that has not heard for a while what is agreed on
    // may have missed a purge.
    base::Micros max_copy_age() const;
    // Calls under /ops/purge. None: the answer comes later.
    std::optional<admin::ApiReply> handle_call(const admin::ApiCall& call,
                                               const admin_server::DeferredReply& later);
    int port() const { return api_.port(); }

  private:
    void word(const Json::Value& question, const store::StoreApi::Answer& answer);
    void on_log_changed();
    void import();
    void import_next();
    void tell_news(const std::shared_ptr<std::vector<std::string>>& names);
    void progress(const admin_server::DeferredReply& later);

    net::Loop& loop_;
    cluster_transport::ClusterTransport& transport_;
    consensus::ConsensusClient& consensus_;
    const config::Store setup_;
    Purged purged_;
    base::Micros started_;
    std::uint64_t notified_purge_ = 0;  // the newest purge told to the module
    std::optional<store::LegacyStore> old_;
    std::optional<base::TimerQueue::Key> next_import_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    store::StoreApi api_;
};

}  // namespace sumackeel::daemon
