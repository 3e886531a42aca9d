#include "daemon/daemon.h"

#include <utility>

#include "base/log.h"
#include "daemon/admin_routes.h"
#include "daemon/admin_state_applier.h"
#include "daemon/component_options.h"
#include "daemon/components.h"
#include "daemon/lease_controller.h"
#include "daemon/process_signals.h"
#include "daemon/recovery_controller.h"
#include "daemon/shutdown_controller.h"
#include "daemon/startup_controller.h"

namespace sumackeel::daemon {

// The components and the controllers that connect them. The signals' handles must outlive the loop,
// which closes them.
class Daemon::Process {
  public:
    Process(const config::Config& config, const config::Operator& setup, Files files)
        : components_(config, setup, std::move(files),
                      {.handover = {.taken_over = [this] { startup_.on_state_taken_over(); },
                                    .followed =
                                        [this] {
                                            leases_.adopt_drain_request();
                                            applier_.on_state_changed();
                                        }},
                       .apply_config =
                           [this](const config::Config& fresh, const config::Operator& fresh_setup) {
                               apply_config(fresh, fresh_setup);
                           }}),
          applier_(components_),
          leases_(components_, applier_),
          recovery_(components_, applier_, [this] { startup_.check(); }),
          startup_(components_, applier_, leases_),
          shutdown_(components_, applier_),
          admin_routes_(components_, applier_, leases_) {
        start_optional_parts(setup);
        if (!config.ops.empty()) start_admin_server(config.ops);
        startup_.start();
        components_.loop.on_each_iteration([this] { components_.core.process_events(); });
        signals_.start(components_.loop, {.shut_down = [this] { shut_down(); },
                                          .reload = [this] { components_.reload.start(); },
                                          .stop = [this] { components_.loop.stop(); }});
    }

    ~Process() { components_.disconnect(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    Components& components() { return components_; }
    ProcessSignals& signals() { return signals_; }

  private:
    void start_optional_parts(const config::Operator& setup) {
        if (setup.cluster) components_.make_cluster_transport(*setup.cluster);
        const auto max_age = max_confirmed_age(components_.config.site.settings, setup);
        if (setup.consensus) leases_.start(*setup.consensus, max_age);
        if (setup.store) components_.make_kv_store_service(*setup.store, max_age);
        if (setup.recovery) recovery_.start(*setup.recovery);
    }

    void start_admin_server(const std::string& address) {
        using admin_server::AdminServer;
        components_.admin_server = std::make_unique<AdminServer>(
            components_.loop, address,
            [this](const admin::ApiCall& call, const admin_server::DeferredReply& later) {
                return admin_routes_.handle_call(call, later);
            },
            components_.consensus_client ? AdminServer::kMaxPlanBytes : AdminServer::kMaxCallBytes);
    }

    void apply_config(const config::Config& fresh, const config::Operator& setup) {
        components_.update_config(fresh, setup);
        // A release of settings is finished by the software version that they give this proxy.
        if (components_.cluster_transport && setup.cluster) leases_.follow_own_lease();
        components_.core.process_events();
        log::info("reload: applied");
    }

    void shut_down() {
        startup_.cancel();
        shutdown_.start();
    }

    ProcessSignals signals_;
    Components components_;
    AdminStateApplier applier_;
    LeaseController leases_;
    RecoveryController recovery_;
    StartupController startup_;
    ShutdownController shutdown_;
    AdminRoutes admin_routes_;
};

Daemon::Daemon(const config::Config& config, const config::Operator& setup, Files files)
    : process_(std::make_unique<Process>(config, setup, std::move(files))) {}

Daemon::~Daemon() = default;

void Daemon::run() {
    process_->components().loop.run();
}

void Daemon::end() {
    process_->signals().request_shutdown();
}

void Daemon::reload() {
    process_->signals().request_reload();
}

void Daemon::stop() {
    process_->signals().request_stop();
}

int Daemon::port() const {
    return process_->components().platform_server.port();
}

bool Daemon::disk_busy() const {
    return process_->components().disk_busy();
}

std::uint64_t Daemon::reloads() const {
    return process_->components().reload.completed();
}

int Daemon::ops_port() const {
    const auto& server = process_->components().admin_server;
    return server ? server->port() : -1;
}

int Daemon::signed_port() const {
    const auto& server = process_->components().signed_url_server;
    return server ? server->port() : -1;
}

}  // namespace sumackeel::daemon
