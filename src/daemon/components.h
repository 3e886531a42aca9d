// The parts that the daemon owns, in the order in which they are made. They are destroyed in reverse.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "admin/drain_schedule.h"
#include "admin/state.h"
#include "admin_server/admin_server.h"
#include "cluster_transport/cluster_transport.h"
#include "config/config.h"
#include "config/operator.h"
#include "consensus/consensus_client.h"
#include "consensus/release_coordinator.h"
#include "core/core.h"
#include "core/one_time_tokens.h"
#include "daemon/admin_state_handover.h"
#include "daemon/daemon.h"
#include "daemon/disruption_budget.h"
#include "daemon/drain_report.h"
#include "daemon/durable_replies.h"
#include "daemon/endpoint_manager.h"
#include "daemon/kv_store_service.h"
#include "daemon/memory_monitor.h"
#include "daemon/reload.h"
#include "net/loop.h"
#include "platform_server/platform_server.h"
#include "recovery_coordinator/recovery_coordinator.h"
#include "signed_url_server/signed_url_server.h"
#include "upstream/connection_pool.h"

namespace sumackeel::daemon {

// Owns the parts and knows their settings; the controllers implement how the parts work together
// (admin_state_applier, lease_controller, recovery_controller, startup_controller, shutdown_controller,
// admin_routes).
struct Components {
    struct Hooks {
        AdminStateHandover::Hooks handover;
        Reload::ApplyConfig apply_config;
    };

    // Creates the parts that every proxy has. The configuration must outlive this; `setup` is needed for the
    // call only.
    Components(const config::Config& configuration, const config::Operator& setup, Files files, Hooks hooks);
    Components(const Components&) = delete;
    Components& operator=(const Components&) = delete;
    ~Components() = default;

    // Optional parts, created after the constructor in this order if the operator's settings contain them.
    void make_cluster_transport(config::Cluster settings);
    void make_kv_store_service(const config::Store& settings, base::Micros max_confirmed_age);

    // Applies what a new configuration may change in a running process. The router's settings, the listen
    // addresses and the store's settings stay the same until the next start.
    void update_config(const config::Config& fresh, const config::Operator& setup);

    // Removes the callbacks that refer to the controllers; called once, while those still exist. Open
    // requests of the consensus client end without a result.
    void disconnect();

    // Another process listens on the same sockets before and after this one.
    bool has_inherited_socket() const { return config.inherited_fd >= 0; }
    // A disk read or write is in progress, and may hang.
    bool disk_busy() const;

    const config::Config& config;
    const Files files;
    net::Loop loop;
    net::SocketBudget socket_budget;
    core::Core core;
    upstream::ConnectionPool connection_pool;
    platform_server::PlatformServer platform_server;
    std::unique_ptr<core::OneTimeTokens> one_time_tokens;
    std::unique_ptr<signed_url_server::SignedUrlServer> signed_url_server;
    std::unique_ptr<EndpointManager> endpoint_manager;
    admin::State admin_state;
    admin::DrainSchedule drain_schedule;  // of the drain in progress, if any
    std::unique_ptr<DrainReport> drain_report;
    AdminStateHandover handover;
    DurableReplies durable_replies;
    std::unique_ptr<admin_server::AdminServer> admin_server;
    std::unique_ptr<cluster_transport::ClusterTransport> cluster_transport;
    std::unique_ptr<DisruptionBudgetView> budget_view;
    std::unique_ptr<consensus::ConsensusClient> consensus_client;
    // Leases of pop caches that were granted to calls here, by their number: the replicated state shows them
    // later.
    std::map<std::string, std::uint64_t> granted_leases;
    std::unique_ptr<consensus::ReleaseCoordinator> release_coordinator;
    std::unique_ptr<recovery_coordinator::RecoveryCoordinator> recovery;
    std::unique_ptr<KvStoreService> kv_store_service;
    Reload reload;
    std::unique_ptr<MemoryMonitor> memory_monitor;

  private:
    void make_signed_url_server(const config::Operator& setup);
    // For all files that administrative state is stored in.
    bool is_write_outcome_unknown();
    std::string unwritten_reason();
    base::Micros write_running_for();
};

}  // namespace sumackeel::daemon
