#include "daemon/recovery_controller.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

namespace sumackeel::daemon {

using base::Micros;
using routing::CacheStatus;

namespace {

// All purges are known if the endpoint list was confirmed within this time; its sources report every second.
constexpr Micros kConfirmedWithin = 3'000'000;
constexpr Micros kCheckInterval = 200'000;

std::uint64_t budget_key(const core::Request& request) {
    return std::hash<std::string>{}(request.object + '/' + std::to_string(request.part));
}

}  // namespace

void RecoveryController::start(const config::Recovery& settings) {
    Components& parts = components_;
    const routing::Settings& site_settings = parts.config.site.settings;
    std::vector<double> priority_weights;
    for (const routing::ClassSettings& one : site_settings.classes)
        if (!one.uncacheable) priority_weights.push_back(one.priority_weight);
    parts.recovery = std::make_unique<Coordinator>(
        parts.loop, *parts.cluster_transport, settings, parts.consensus_client != nullptr,
        std::move(priority_weights), site_settings.purge_completes_within, parts.config.seed,
        coordinator_hooks());
    parts.endpoint_manager->on_confirmed([&parts] { parts.recovery->on_endpoints_confirmed(); });
    parts.core.set_max_copy_age([&parts] { return parts.recovery->max_copy_age(); });
    parts.core.on_served([this](const core::Request& request, const std::string& source, CacheStatus status) {
        on_served(request, source, status);
    });
    parts.core.set_admission_check([this](const core::Request& request) { return admit(request); });
    applier_.apply();
    check_prerequisites();
}

RecoveryController::Coordinator::Hooks RecoveryController::coordinator_hooks() {
    Coordinator::Hooks hooks;
    hooks.purges = [this] { return recent_purges(); };
    hooks.learn = [this](const std::vector<Coordinator::RecentPurge>& recent) { learn_purges(recent); };
    hooks.leased = [this] { return applier_.known_leases(); };
    hooks.leases_learned = [this] { on_leases_learned(); };
    hooks.sure = [this] { return components_.endpoint_manager->is_confirmed(kConfirmedWithin); };
    hooks.proxies = [this] {
        std::size_t proxies = 0;
        for (const auto& [zone, count] : components_.cluster_transport->membership().cluster_size().counts())
            proxies += static_cast<std::size_t>(count);
        return proxies;
    };
    hooks.entered = [this](recovery::Phase) { on_phase_entered(); };
    return hooks;
}

std::vector<RecoveryController::Coordinator::RecentPurge> RecoveryController::recent_purges() const {
    const Micros now = components_.loop.clock().now();
    std::vector<Coordinator::RecentPurge> recent;
    for (const endpoints::Purge& purge : components_.endpoint_manager->view().purges())
        recent.push_back({purge.object, purge.purge_group, std::max<Micros>(0, now - purge.at)});
    return recent;
}

// Once the replicated log is known, only its leases count.
void RecoveryController::on_leases_learned() {
    Components& parts = components_;
    if (parts.consensus_client && !parts.consensus_client->is_known()) return applier_.apply();
    parts.recovery->forget_learned_leases();
}

void RecoveryController::learn_purges(const std::vector<Coordinator::RecentPurge>& recent) {
    const Micros now = components_.loop.clock().now();
    std::vector<endpoints::Purge> purges;
    purges.reserve(recent.size());
    for (const Coordinator::RecentPurge& one : recent)
        purges.push_back({one.object, one.group, now - one.age});
    components_.endpoint_manager->add_purges(purges);
}

// Entering the settling phase means that no proxy serves: an endpoint that answers now lost power with all
// the others and is cold.
void RecoveryController::on_phase_entered() {
    Components& parts = components_;
    if (parts.recovery && parts.recovery->phases().phase() == recovery::Phase::settling)
        parts.endpoint_manager->mark_all_cold();
    if (parts.admin_state.phase() != admin::ProcessPhase::starting) applier_.apply();
    // The coordinator enters its first phase during its construction.
    if (parts.recovery) phase_entered_();
}

void RecoveryController::on_served(const core::Request& request, const std::string& source,
                                   CacheStatus status) {
    Components& parts = components_;
    const endpoints::KnownEndpoint* endpoint = parts.endpoint_manager->view().find(source);
    const bool is_origin =
        endpoint && endpoint->record->located.endpoint.kind == parts.config.site.settings.origin_kind;
    const bool filled = status == CacheStatus::filled || status == CacheStatus::filled_by_origin;
    recovery::FillSource fill_source = recovery::FillSource::none;
    if (filled) fill_source = recovery::FillSource::region;
    if (status == CacheStatus::filled_by_origin || (is_origin && filled))
        fill_source = recovery::FillSource::origin;
    parts.recovery->on_request_finished(budget_key(request), fill_source);
}

// Until the fleet's bans are known no attempt may start at all: requests that need no copy also go through a
// pop cache.
std::optional<Micros> RecoveryController::admit(const core::Request& request) {
    Components& parts = components_;
    const auto& settings = parts.core.settings().classes[static_cast<std::size_t>(request.class_index)];
    const bool bans_unknown =
        parts.consensus_client && !parts.consensus_client->is_known() && !parts.recovery->phases().ready();
    return parts.recovery->admit({.key = budget_key(request),
                                  .priority_weight = settings.priority_weight,
                                  .size_kb = request.size_kb,
                                  .needs_copy = bans_unknown || !settings.uncacheable});
}

// Checks what recovery waits for besides the other proxies: the endpoint list and a leader. The persisted
// state applies until the replicated log is known, even if nothing has changed since.
void RecoveryController::check_prerequisites() {
    Components& parts = components_;
    if (parts.endpoint_manager->is_confirmed(kConfirmedWithin)) parts.recovery->on_endpoints_confirmed();
    if (parts.consensus_client) {
        parts.recovery->on_leader_known(!parts.consensus_client->leader().empty() &&
                                        parts.consensus_client->is_known());
        const bool known = parts.consensus_client->is_known();
        if (known && !std::exchange(consensus_was_known_, true)) {
            parts.recovery->forget_learned_leases();
            applier_.apply();
            applier_.persist();
        }
    }
    parts.loop.timers().schedule(parts.loop.clock().now() + kCheckInterval,
                                 [this] { check_prerequisites(); });
}

}  // namespace sumackeel::daemon
