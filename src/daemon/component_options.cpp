#include "daemon/component_options.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace sumackeel::daemon {

using base::Micros;

namespace {

// Descriptors for the log file, the loop, discovery and the callers of the admin API.
constexpr int kReservedDescriptors = 24;
// The datagram socket and the listener between proxies; their streams share the limit of upstream sockets.
constexpr int kClusterDescriptors = 2;
// Connections to and from up to six other voters, connections still being opened, and the log's files.
constexpr int kConsensusDescriptors = 32;
// Clients get half of all descriptors: the platform promises at most a third, and some only connect.
constexpr int kClientShareDivisor = 2;
// Responses that clients have not read yet may use this part of the memory.
constexpr std::size_t kUnsentMemoryDivisor = 3;
// The router's table of copies may use this part of it.
constexpr std::size_t kTrackedCopiesDivisor = 12;
constexpr std::size_t kTrackedCopyBytes = 350;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;

// Leases and releases alone need no fresher state.
constexpr base::Micros kMaxConfirmedAgeWithoutPurges = 1'500'000;
constexpr int kGraceShareForSending = 6;  // one part of so many

}  // namespace

int upstream_socket_limit(int sockets, const config::Operator& setup) {
    int limit = sockets - sockets / kClientShareDivisor - kReservedDescriptors;
    if (setup.signed_url_server) limit -= setup.signed_url_server->connections;
    if (setup.cluster) limit -= kClusterDescriptors;
    if (setup.consensus) limit -= kConsensusDescriptors;
    return limit;
}

platform_server::Limits platform_limits(const config::Config& config) {
    return {.connections = config.sockets / kClientShareDivisor,
            .write_memory =
                static_cast<std::size_t>(config.memory_mb) * kBytesPerMegabyte / kUnsentMemoryDivisor};
}

// An attempt that waits for a connection is sent once that is established, and the cache may have begun to
// drain meanwhile. Within half of the drain grace it still arrives early enough at every cache.
Micros upstream_connect_timeout(const routing::Settings& settings) {
    if (settings.drain_grace <= 0) return settings.connect_timeout;
    return std::min(settings.connect_timeout, settings.drain_grace / 2);
}

Micros purge_retention(const routing::Settings& settings) {
    return 2 * settings.purge_completes_within;
}

routing::Settings routing_settings(const config::Config& config, const config::Operator& setup) {
    routing::Settings settings = config.site.settings;
    settings.max_tracked_copies =
        std::min(settings.max_tracked_copies, static_cast<std::size_t>(config.memory_mb) * kBytesPerMegabyte /
                                                  kTrackedCopiesDivisor / kTrackedCopyBytes);
    if (setup.endpoint_snapshot)
        settings.origin_only_requests_per_s =
            setup.endpoint_snapshot->origin_per_s / std::max(1, settings.instance_count);
    return settings;
}

// The notification grace counts until a request has been sent; a part of it is left for the time between the
// decision on what it accepts and the end of sending.
base::Micros max_confirmed_age(const routing::Settings& settings, const config::Operator& setup) {
    if (!setup.store) return kMaxConfirmedAgeWithoutPurges;
    return settings.notification_grace - settings.notification_grace / kGraceShareForSending;
}

std::map<std::string, int> configured_instances_by_zone(const config::Site& site) {
    const std::vector<int>& instances = site.settings.instances_by_zone;
    std::map<std::string, int> counts;
    for (std::size_t zone = 0; zone < site.zones.size() && zone < instances.size(); ++zone)
        if (instances[zone] > 0) counts[site.zones[zone]] = instances[zone];
    return counts;
}

routing::ClusterSizeChanged cluster_size_event(const config::Site& site,
                                               const std::map<std::string, int>& instances_by_zone) {
    routing::ClusterSizeChanged event{.instance_count = 0,
                                      .instances_by_zone = std::vector<int>(site.zones.size())};
    for (const auto& [zone, count] : instances_by_zone) {
        event.instance_count += count;
        const auto place = std::find(site.zones.begin(), site.zones.end(), zone);
        if (place != site.zones.end())
            event.instances_by_zone[static_cast<std::size_t>(place - site.zones.begin())] = count;
    }
    return event;
}

}  // namespace sumackeel::daemon
