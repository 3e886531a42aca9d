// Maintains the endpoint view. It is fed by the configuration, the endpoint snapshot on disk and the change
// logs; its changes go to the connection pool and the router. Also writes the endpoint snapshot.
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

    // Applies a reloaded configuration: the addresses of change logs may differ, and it may contain events.
    void update_config(const config::Config& config, const config::Operator& setup);
    void write_last_snapshot();  // writes changes not yet on disk, if there are any
    bool disk_busy() const { return snapshot_writer_ && snapshot_writer_->writing(); }
    const endpoints::EndpointView& view() const { return view_; }
    // Endpoints that operators took out of service: passed to the router as draining, whatever the change log
    // reports, until they are no longer in the set.
    void set_bans(const std::set<std::string>& bans);
    // Purges learned from another proxy, with their ages.
    void add_purges(const std::vector<endpoints::Purge>& purges);
    // Treats every endpoint that started before now as cold since now.
    void mark_all_cold();
    // Whether the list was confirmed within the last `within`; also true if there is no change log.
    bool is_confirmed(base::Micros within) const;
    void on_confirmed(std::function<void()> callback) { on_confirmed_ = std::move(callback); }
    // Called for each purge that a change log or the configuration tells, from now on and once for each that
    // was told before, while copies from before it may exist.
    void on_change_log_purge(std::function<void(const config::WatchEvent&)> callback);
    bool is_known(const std::string& id) const { return view_.find(id) != nullptr; }

  private:
    void start_snapshots(const config::EndpointSnapshot& settings);
    void load_snapshot(endpoint_snapshot::LoadedSnapshot loaded);
    void poll_snapshot_loader();
    void on_watch_event(const config::WatchEvent& change, int log_index);
    void notify_purge(const endpoints::Purge& purge);
    base::Micros purge_time_of(const config::WatchEvent& event);
    void obey_purge(const config::WatchEvent& event);
    void report_purge(const config::WatchEvent& event);
    void on_known_number(const config::WatchEvent& event, bool is_other_proven);
    void begin_numbering();
    void delay_publish();
    // Drains and removals in an event whose place among the known ones is not known bind until a later event.
    void obey_warnings(const config::WatchEvent& event);
    bool is_held_back(const std::string& id) const { return bans_.contains(id) || warned_.contains(id); }
    void on_list_confirmed();
    void publish();
    void convert_start_times(config::WatchEvent& change);
    void seed(config::WatchEvent list);

    struct StartTime {
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
    std::set<std::string> warned_;                          // endpoints, see obey_warnings()
    std::optional<base::TimerQueue::Key> delayed_publish_;  // nothing is published until then
    std::optional<base::Micros> numbering_began_at_;
    bool awaits_first_event_ = false;               // of a numbering that began
    std::map<std::string, StartTime> start_times_;  // by endpoint
    base::Micros cold_since_ = 0;                   // 0: no endpoint is treated as cold
    std::function<void()> on_confirmed_;
    std::function<void(const config::WatchEvent&)> on_change_log_purge_;
    const bool requires_proof_;
    const bool passes_purges_on_;  // the callback will be set
    std::vector<config::WatchEvent> purges_before_callback_;
};

}  // namespace sumackeel::daemon
