#include "daemon/admin_routes.h"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "daemon/metrics.h"
#include "daemon/release_api.h"

namespace sumackeel::daemon {

namespace {

constexpr std::string_view kExplainPrefix = "/ops/rollout/explain/";
constexpr std::string_view kRecoveryPath = "/ops/recovery";
constexpr std::string_view kRecoveryGoPrefix = "/ops/recovery/go/";
constexpr std::string_view kPurgePath = "/ops/purge";
constexpr std::string_view kPurgePrefix = "/ops/purge/";
constexpr std::string_view kReleasePrefix = "/ops/release";

}  // namespace

std::optional<admin::ApiReply> AdminRoutes::handle_call(const admin::ApiCall& call,
                                                        const admin_server::DeferredReply& respond_later) {
    Components& parts = components_;
    if (auto reply = handle_lease_query(call)) return reply;
    if (is_recovery_call(call)) return handle_recovery_call(call, respond_later);
    if (parts.kv_store_service && (call.path == kPurgePath || call.path.starts_with(kPurgePrefix)))
        return parts.kv_store_service->handle_call(call, respond_later);
    if (parts.consensus_client && call.path.starts_with(kReleasePrefix))
        return leases_.handle_release_call(call, respond_later);
    if (parts.consensus_client && leases_.handle_lease_call(call, respond_later)) return std::nullopt;
    if (auto reply = handle_cluster_call(call)) return reply;
    return handle_state_call(call, respond_later);
}

std::optional<admin::ApiReply> AdminRoutes::handle_lease_query(const admin::ApiCall& call) const {
    const auto& client = components_.consensus_client;
    if (!client || call.method != "GET") return std::nullopt;
    if (call.path == "/ops/rollout") return admin::ApiReply{200, client->as_json(), false};
    if (!call.path.starts_with(kExplainPrefix)) return std::nullopt;
    return explain_lease(*client, std::string(call.path.substr(kExplainPrefix.size())));
}

bool AdminRoutes::is_recovery_call(const admin::ApiCall& call) const {
    if (!components_.recovery) return false;
    const bool is_query = call.path == kRecoveryPath && call.method == "GET";
    return is_query || (call.path.starts_with(kRecoveryGoPrefix) && call.method == "POST");
}

std::optional<admin::ApiReply> AdminRoutes::handle_recovery_call(
    const admin::ApiCall& call, const admin_server::DeferredReply& respond_later) {
    auto& recovery = *components_.recovery;
    if (call.path == kRecoveryPath) return admin::ApiReply{200, recovery.as_json(), false};
    recovery::Phase phase{};
    if (!recovery::parse_phase(std::string(call.path.substr(kRecoveryGoPrefix.size())), phase))
        return admin::ApiReply{400, "no such stage\n", false};
    recovery.advance_to(phase, "an operator at " + components_.cluster_transport->membership().self().name);
    return components_.durable_replies.reply_when_durable(
        {200, fmt::format("{}\n", recovery::name_of(phase)), false}, respond_later);
}

std::optional<admin::ApiReply> AdminRoutes::handle_cluster_call(const admin::ApiCall& call) {
    const auto& transport = components_.cluster_transport;
    if (!transport) return std::nullopt;
    if (call.path == "/ops/group" && call.method == "GET")
        return admin::ApiReply{200, transport->as_json(), false};
    if (call.path != "/ops/group/leave" || call.method != "POST") return std::nullopt;
    transport->leave();
    return admin::ApiReply{200, "left\n", false};
}

std::optional<admin::ApiReply> AdminRoutes::handle_state_call(
    const admin::ApiCall& call, const admin_server::DeferredReply& respond_later) {
    Components& parts = components_;
    admin::ApiReply reply = admin::handle_call(
        parts.admin_state, call,
        [&parts](const std::string& id) { return parts.endpoint_manager->is_known(id); }, stats());
    if (!reply.state_changed) return reply;
    log::info("admin: state_changed method={} path={} status={}", call.method, call.path, reply.status);
    const admin::ParsedPath parsed = admin::parse_path(call.path.substr(0, call.path.find('?')));
    if (parsed.id.empty())
        applier_.on_drain_called();
    else
        applier_.on_ban_called(parsed.id);
    return parts.durable_replies.reply_when_durable(std::move(reply), respond_later);
}

admin::Stats AdminRoutes::stats() const {
    const Components& parts = components_;
    return {.requests_open = parts.core.open_requests(),
            .connections = parts.platform_server.connection_count(),
            .pop_caches_listed = parts.endpoint_manager->view().size(),
            .timer_count = components_.loop.timers().size(),
            .list_seq = parts.endpoint_manager->view().newest_list(),
            .counters = counters_of(parts.loop, parts.core, parts.platform_server,
                                    parts.signed_url_server.get(), *parts.memory_monitor)};
}

}  // namespace sumackeel::daemon
