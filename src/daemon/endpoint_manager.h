// The fleet as the daemon lives with it: one view, fed by the configuration, the list on disk and the change
// logs, whose changes go to the pool of connections and into the module; and the list kept on disk.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "core/core.h"
#include "discovery/discovery_watch.h"
#include "endpoint_snapshot/snapshot_writer.h"
#include "endpoints/endpoint_view.h"
#include "net/loop.h"
#include "upstream/connection_pool.h"

namespace sumackeel::daemon {

class EndpointManager {
  public:
    EndpointManager(net::Loop& loop, net::SocketBudget& sockets, core::Core& core,
                    upstream::ConnectionPool& pool, const config::Config& config,
                    const config::Operator& setup);
    EndpointManager(const EndpointManager&) = delete;
    EndpointManager& operator=(const EndpointManager&) = delete;
    ~EndpointManager() = default;

    // The configuration was read anew: change logs may be elsewhere, and events may stand in it.
    void update_config(const config::Config& config, const config::Operator& setup);
    void write_last_snapshot();  // a last write, if there is something to write
    bool disk_busy() const { return snapshot_writer_ && snapshot_writer_->writing(); }
    const endpoints::EndpointView& view() const { return view_; }
    // Taken out by the operators: told to the module as draining whatever the change log says, until lifted.
    void set_bans(const std::set<std::string>& bans);
    // Purges that another proxy told, with their ages.
    void add_purges(const std::vector<endpoints::Purge>& purges);
    // Whoever started before now is taken to be cold since now.
    void mark_all_cold();
    // The list was confirmed within the last `within`, or nobody is there to confirm it.
    bool is_confirmed(base::Micros within) const;
    void on_confirmed(std::function<void()> what) { on_sure_ = std::move(what); }
    bool is_known(const std::string& id) const { return view_.find(id) != nullptr; }

  private:
    void start_keeping(const config::EndpointSnapshot& list);
    void take_found(endpoint_snapshot::LoadedSnapshot found);
    void look_for_found();
    void hear(const config::WatchEvent& change, int log);
    void tell_purge(const endpoints::Purge& purge);
    void is_confirmed();
    void publish();
    void date_starts(config::WatchEvent& change);
    void seed(config::WatchEvent list);

    struct Start {
        base::UnixTime reported_at;
        base::Micros moment = 0;
    };

    net::Loop& loop_;
    core::Core& core_;
    upstream::ConnectionPool& pool_;
    const config::Config& config_;
    endpoints::EndpointView view_;
    std::string site_;
    std::optional<endpoint_snapshot::SnapshotLoader> loading_;
    std::shared_ptr<base::DirectoryLock> lock_;
    std::unique_ptr<endpoint_snapshot::SnapshotWriter> snapshot_writer_;
    std::unique_ptr<discovery::DiscoveryWatch> watch_;
    std::optional<base::TimerQueue::Key> next_publish_;
    std::set<std::string> bans_;
    std::map<std::string, Start> starts_;  // by member
    base::Micros cold_since_ = 0;          // 0: nobody is taken to be cold
    std::function<void()> on_sure_;
};

}  // namespace sumackeel::daemon
