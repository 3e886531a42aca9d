// Options of the daemon's components, derived from the platform's configuration and the operator's settings.
// Pure functions: they keep no state and touch no component.
#pragma once

#include <map>
#include <string>

#include "config/config.h"
#include "config/operator.h"
#include "platform_server/platform_server.h"
#include "routing/router.h"

namespace sumackeel::daemon {

// How many of `sockets` descriptors connections to caches and to other proxies may use. The rest is for
// clients, files, listeners and the replicated log.
int upstream_socket_limit(int sockets, const config::Operator& setup);

// Client connections and unsent response bytes that the platform's server may hold.
platform_server::Limits platform_limits(const config::Config& config);

// How long establishing a connection to a cache may take.
routing::Micros upstream_connect_timeout(const routing::Settings& settings);

// For how long a copy from before a purge may exist, with as much again for caches that are late.
routing::Micros purge_retention(const routing::Settings& settings);

// The router's settings: the platform's, with what the operator's settings add.
routing::Settings routing_settings(const config::Config& config, const config::Operator& setup);

// How old the confirmation of the replicated state may be when it is used, see ConsensusClient::Options.
base::Micros max_confirmed_age(const routing::Settings& settings, const config::Operator& setup);

// How many proxies each zone has by the configuration, by zone name. Zones without any are left out.
std::map<std::string, int> configured_instances_by_zone(const config::Site& site);

// The cluster's size as an event for the router. A zone that the site does not name counts only in the total.
routing::ClusterSizeChanged cluster_size_event(const config::Site& site,
                                               const std::map<std::string, int>& instances_by_zone);

}  // namespace sumackeel::daemon
