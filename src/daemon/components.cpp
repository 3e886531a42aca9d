#include "daemon/components.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "base/log.h"
#include "base/version.h"
#include "daemon/component_options.h"
#include "store/redis_one_time_tokens.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

kv_store::Purge purge_of(const config::WatchEvent& event) {
    kv_store::Purge purge;
    purge.object = event.object;
    purge.purge_group = event.object.empty() ? event.purge_group : 0;
    purge.origin_time = event.purge_time.micros;
    return purge;
}

}  // namespace

Components::Components(const config::Config& configuration, const config::Operator& setup, Files read_from,
                       Hooks hooks)
    : config(configuration),
      files(std::move(read_from)),
      socket_budget(upstream_socket_limit(configuration.sockets, setup), base::MemoryHolder::unsent_requests),
      core(routing_settings(configuration, setup), configuration.seed, loop.clock(), loop.timers()),
      connection_pool(loop, socket_budget, core,
                      {.streams_per_conn = configuration.site.streams_per_conn,
                       .handshake_price = configuration.site.handshake_price,
                       .connect_timeout = upstream_connect_timeout(configuration.site.settings),
                       .idle_close = configuration.site.keepalive}),
      platform_server(loop, core, configuration.site,
                      net::ListenAddress(configuration.listen, configuration.inherited_fd),
                      platform_limits(configuration)),
      handover(loop, admin_state, files.hand_over, std::move(hooks.handover)),
      durable_replies(loop, {.outcome_unknown = [this] { return is_write_outcome_unknown(); },
                             .unwritten_reason = [this] { return unwritten_reason(); },
                             .write_running_for = [this] { return write_running_for(); }}),
      reload(loop, files, std::move(hooks.apply_config)) {
    core.attach(connection_pool);
    core.set_memory_account(loop.memory());
    handover.on_pass_finished([this] { durable_replies.on_write_finished(); });
    endpoint_manager =
        std::make_unique<EndpointManager>(loop, socket_budget, core, connection_pool, configuration, setup);
    if (setup.signed_url_server) make_signed_url_server(setup);
    drain_report = std::make_unique<DrainReport>(loop, platform_server, signed_url_server.get());
    memory_monitor = std::make_unique<MemoryMonitor>(
        loop, configuration.memory_mb,
        has_inherited_socket() ? MemoryMonitor::Replacement::possible : MemoryMonitor::Replacement::never);
}

void Components::make_signed_url_server(const config::Operator& setup) {
    const auto& settings = *setup.signed_url_server;
    if (settings.one_time == "local") one_time_tokens = std::make_unique<core::LocalOneTimeTokens>();
    if (settings.one_time == "redis")
        one_time_tokens = std::make_unique<store::RedisOneTimeTokens>(loop, setup.redis);
    signed_url_server::LiveSettings live_settings;
    if (setup.store)
        live_settings = [this](const std::string& key) {
            return kv_store_service ? kv_store_service->get(key) : std::nullopt;
        };
    signed_url_server = std::make_unique<signed_url_server::SignedUrlServer>(
        loop, core, config.site, settings, one_time_tokens.get(), config.seed, std::move(live_settings));
}

void Components::make_cluster_transport(config::Cluster settings) {
    if (settings.name.empty()) settings.name = config.name.empty() ? "proxy" : config.name;
    const auto zone = static_cast<std::size_t>(std::max(0, config.site.settings.own_zone));
    const std::string zone_name = zone < config.site.zones.size() ? config.site.zones[zone] : "";
    cluster_transport = std::make_unique<cluster_transport::ClusterTransport>(
        loop, socket_budget, settings, zone_name,
        settings.version.empty() ? base::kVersion : settings.version, config.seed,
        configured_instances_by_zone(config.site), has_inherited_socket(),
        [this](const std::map<std::string, int>& instances_by_zone) {
            auto event = cluster_size_event(config.site, instances_by_zone);
            log::info("cluster: size_changed instances={}", event.instance_count);
            core.notify(std::move(event));
            core.process_events();
        });
}

void Components::make_kv_store_service(const config::Store& settings, Micros max_confirmed_age) {
    kv_store_service = std::make_unique<KvStoreService>(
        loop, socket_budget, *cluster_transport, *consensus_client, settings,
        KvStoreService::PurgeOptions{
            .max_confirmed_age = max_confirmed_age,
            .retention = purge_retention(config.site.settings),
            .on_purge = [this](const kv_store::Purge& purge) {
                endpoint_manager->add_purges({{purge.object, purge.purge_group, loop.clock().now()}});
            }});
    endpoint_manager->on_change_log_purge(
        [this](const config::WatchEvent& event) { kv_store_service->on_change_log_purge(purge_of(event)); });
    core.set_purge_knowledge([this] { return kv_store_service->purge_knowledge(); });
}

void Components::update_config(const config::Config& fresh, const config::Operator& setup) {
    socket_budget.set_limit(upstream_socket_limit(fresh.sockets, setup));
    platform_server.set_limits(platform_limits(fresh));
    memory_monitor->set_memory_limit(fresh.memory_mb);
    if (signed_url_server && setup.signed_url_server)
        signed_url_server->update_config(*setup.signed_url_server);
    endpoint_manager->update_config(fresh, setup);
    if (!cluster_transport || !setup.cluster) return;
    if (consensus_client && setup.consensus) consensus_client->update_config(*setup.consensus);
    const std::string& version = setup.cluster->version;
    cluster_transport->set_software_version(version.empty() ? base::kVersion : version);
}

void Components::disconnect() {
    if (consensus_client) consensus_client->close_now();
    core.set_admission_check({});
    core.set_max_copy_age({});
    core.set_purge_knowledge({});
    core.on_served({});
    endpoint_manager->on_confirmed({});
    endpoint_manager->on_change_log_purge({});
}

bool Components::disk_busy() const {
    return endpoint_manager->disk_busy() || handover.disk_busy() || reload.busy() ||
           (recovery && recovery->disk_busy()) || (consensus_client && consensus_client->is_disk_stuck());
}

bool Components::is_write_outcome_unknown() {
    return handover.outcome_unknown() || (recovery && recovery->writer().outcome_unknown());
}

std::string Components::unwritten_reason() {
    const std::string reason = handover.unconfirmed_reason();
    return reason.empty() && recovery ? recovery->writer().unwritten_reason() : reason;
}

Micros Components::write_running_for() {
    return std::max(handover.pass_running_for(), recovery ? recovery->writer().write_running_for() : 0);
}

}  // namespace sumackeel::daemon
