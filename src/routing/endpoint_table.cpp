#include "routing/endpoint_table.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "routing/hash.h"

namespace sumackeel::routing {
namespace {

// Consecutive unreachable results after which a target is assumed to have stopped, and to return cold.
constexpr int kUnreachableBeforeRestart = 3;

}  // namespace

void EndpointTable::update(const EndpointUpdate& update) {
    if (update.kind != EndpointUpdateKind::incremental)
        for (auto& [name, target] : targets_) target.entry.state = EndpointState::removed;
    for (const Endpoint& entry : update.endpoints) update_entry(entry);
    rebuild_role_lists();
    zone_outdated_ = true;
}

void EndpointTable::update_entry(const Endpoint& entry) {
    Target& target = targets_[entry.name];
    const bool was_unverified = target.entry.unverified;
    // An entry that is unverified once more keeps its slow start progress.
    const Micros started_at = !entry.unverified ? entry.started_at
                              : was_unverified  ? target.entry.started_at
                                                : context_.now;
    if (target.entry.started_at != started_at) {
        target.health = Health{};  // failures of the previous process do not apply
        slow_start_.begin(target, started_at);
    }
    target.entry = entry;
    target.entry.started_at = started_at;
    target.awaiting_first_response = entry.unverified && (target.awaiting_first_response || !was_unverified);
    target.hash = hash_of(entry.name);
    target.role = role_of(entry);
    if (target.role == Role::origin) origin_ = &target;
}

Role EndpointTable::role_of(const Endpoint& entry) const {
    const Settings& settings = context_.settings;
    if (entry.kind >= 0 && entry.kind == settings.origin_kind) return Role::origin;
    if (entry.kind >= 0 && entry.kind == settings.parent_kind) return Role::parent;
    if (settings.own_zone < 0 || entry.zone == settings.own_zone) return Role::cache;
    return Role::other_zone;
}

void EndpointTable::rebuild_role_lists() {
    caches_.clear();
    parents_.clear();
    for (auto& [name, target] : targets_) {
        if (target.entry.state != EndpointState::ready) continue;
        if (target.role == Role::cache) caches_.push_back(&target);
        if (target.role == Role::parent) parents_.push_back(&target);
    }
}

Target* EndpointTable::find(const std::string& name) {
    const auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : &found->second;
}

const std::vector<ZoneCache>& EndpointTable::zone_caches() {
    refresh_zone();
    return zone_;
}

double EndpointTable::zone_capacity() {
    if (zone_capacity_at_ != context_.now || zone_outdated_) {
        refresh_zone();
        zone_capacity_ = warm_capacity_;
        for (const ZoneCache& cache : zone_)
            if (!cache.warm) zone_capacity_ += slow_start_.capacity(*cache.target);
        zone_capacity_at_ = context_.now;
    }
    return zone_capacity_;
}

// Rebuilds the zone table after a new list or a restart, and when another cache becomes warm.
void EndpointTable::refresh_zone() {
    if (!zone_outdated_ && context_.now < next_warm_at_) return;
    zone_outdated_ = false;
    next_warm_at_ = std::numeric_limits<Micros>::max();
    warm_capacity_ = 0;
    for (auto& [name, target] : targets_) target.zone_index = kNotInZoneTable;
    zone_.clear();
    for (Target* cache : caches_) {
        cache->zone_index = zone_.size();
        const bool warm = is_warm(*cache);
        if (warm) warm_capacity_ += slow_start_.capacity(*cache);
        const bool breaker_open = cache->health.breaker != BreakerState::closed;
        zone_.push_back({cache->hash, cache->entry.weight, cache, warm, breaker_open});
    }
}

// Also moves next_warm_at_ forward to the time when this cache becomes warm, if that is earlier.
bool EndpointTable::is_warm(const Target& cache) {
    const Settings& settings = context_.settings;
    const Micros started_at = cache.entry.started_at;
    if (started_at <= 0 || (settings.warm_up_duration <= 0 && !cache.awaiting_first_response)) return true;
    if (cache.awaiting_first_response) return false;
    const Micros warm_at = started_at + settings.warm_up_duration + settings.overload_window;
    if (context_.now < warm_at) next_warm_at_ = std::min(next_warm_at_, warm_at);
    return context_.now >= warm_at;
}

void EndpointTable::mirror_breaker(const Target& target) {
    if (zone_outdated_ || target.zone_index == kNotInZoneTable) return;
    zone_[target.zone_index].breaker_open = target.health.breaker != BreakerState::closed;
}

void EndpointTable::record_response(Target& target) {
    target.last_response_at = context_.now;
    const bool presumed_restarted =
        std::exchange(target.consecutive_unreachable, 0) >= kUnreachableBeforeRestart;
    if (presumed_restarted && target.role != Role::origin) {
        slow_start_.begin(target, context_.now);
        zone_outdated_ = true;
    }
    if (!std::exchange(target.awaiting_first_response, false)) return;
    // Slow start begins now: the endpoint may have started long after this router.
    target.entry.started_at = context_.now;
    zone_outdated_ = true;
}

void EndpointTable::skip_stall(Micros duration) {
    for (auto& [name, target] : targets_)
        if (!target.in_flight.empty())
            target.service_clock_at = std::min(context_.now, target.service_clock_at + duration);
}

}  // namespace sumackeel::routing
