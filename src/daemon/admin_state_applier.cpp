#include "daemon/admin_state_applier.h"

namespace sumackeel::daemon {

void AdminStateApplier::on_state_changed() {
    apply();
    persist();
}

void AdminStateApplier::on_ban_called(const std::string& id) {
    components_.handover.record_ban(id);
    on_state_changed();
}

void AdminStateApplier::on_drain_called() {
    components_.handover.record_drain();
    on_state_changed();
}

void AdminStateApplier::apply() {
    Components& parts = components_;
    parts.endpoint_manager->set_bans(effective_bans());
    update_drain_schedule();
    const bool draining = parts.admin_state.is_draining_clients();
    parts.platform_server.set_draining(draining, parts.drain_schedule);
    parts.platform_server.set_ready(parts.admin_state.is_ready());
    if (parts.signed_url_server) parts.signed_url_server->set_draining(draining, parts.drain_schedule);
    parts.drain_report->update(parts.drain_schedule);
}

// Persisted leases apply until the replicated log is known again.
void AdminStateApplier::persist() {
    const Components& parts = components_;
    if (!parts.recovery || parts.admin_state.phase() == admin::ProcessPhase::starting) return;
    parts.recovery->persist(parts.admin_state.bans(), known_leases(), parts.admin_state.drain_requested());
}

// Bans by operators and by leases, and persisted ones until the current ones are known.
std::set<std::string> AdminStateApplier::effective_bans() const {
    const Components& parts = components_;
    std::set<std::string> bans = parts.admin_state.bans();
    if (parts.recovery && parts.admin_state.phase() == admin::ProcessPhase::starting)
        bans.insert(parts.recovery->persisted().bans.begin(), parts.recovery->persisted().bans.end());
    if (!parts.consensus_client) return bans;
    bans.merge(known_leases());
    if (parts.recovery && !parts.consensus_client->is_known()) {
        const std::set<std::string>& learned = parts.recovery->learned_leases();
        bans.insert(learned.begin(), learned.end());
    }
    return bans;
}

// Leases in this proxy's copy of the replicated state, those granted here that it does not contain yet, and
// the persisted ones while it is not known.
std::set<std::string> AdminStateApplier::known_leases() const {
    const Components& parts = components_;
    if (!parts.consensus_client) return {};
    std::set<std::string> leased;
    for (const auto& [key, lease] : parts.consensus_client->state().leases())
        if (key.first == rollout::MemberKind::pop_cache) leased.insert(key.second);
    for (const auto& [id, number] : parts.granted_leases)
        if (number > parts.consensus_client->state().last_number()) leased.insert(id);
    if (parts.recovery && !parts.consensus_client->is_known())
        leased.insert(parts.recovery->persisted().leased.begin(), parts.recovery->persisted().leased.end());
    return leased;
}

// A drain starts with the first accepted call; repeated calls do not restart it. A drain in progress
// continues when the process shuts down.
void AdminStateApplier::update_drain_schedule() {
    Components& parts = components_;
    const admin::ProcessPhase phase = parts.admin_state.phase();
    if (phase == admin::ProcessPhase::draining && !parts.drain_schedule.is_active())
        parts.drain_schedule = admin::DrainSchedule(parts.loop.clock().now());
    if (phase == admin::ProcessPhase::serving) parts.drain_schedule = {};
}

}  // namespace sumackeel::daemon
