// Endpoint table: the listed endpoints with their roles, and a compact table of the caches in the own zone.
//
// A list may contain thousands of caches, and each request ranks all those of its zone. The zone table
// therefore stores the fields that ranking reads contiguously.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/slow_start.h"

namespace sumackeel::routing {

// Fields of one ready cache that ranking reads. `warm` and `breaker_open` mirror the state of its Target.
struct ZoneCache {
    std::uint64_t hash = 0;
    double weight = 0;
    Target* target = nullptr;
    bool warm = false;  // at full weight: not in slow start, and the overload window no longer overlaps it
    bool breaker_open = false;  // open or half open
};

// Owns all targets. Pointers to targets stay valid for the lifetime of the table.
class EndpointTable {
  public:
    EndpointTable(DecisionContext& context, SlowStart& slow_start)
        : context_(context), slow_start_(slow_start) {}
    ~EndpointTable() = default;
    EndpointTable(const EndpointTable&) = delete;
    EndpointTable& operator=(const EndpointTable&) = delete;

    // Applies a full or incremental endpoint list; must not be called for EndpointUpdateKind::failed.
    void update(const EndpointUpdate& update);

    Target* find(const std::string& name);

    Target* origin() const { return origin_; }  // null: never listed; may be draining or removed
    bool is_origin_ready() const { return origin_ && origin_->entry.state == EndpointState::ready; }

    const std::vector<Target*>& caches() const { return caches_; }    // ready caches of the own zone, by name
    const std::vector<Target*>& parents() const { return parents_; }  // ready parents, by name

    const std::vector<ZoneCache>& zone_caches();  // same order as caches()
    double zone_capacity();                       // total capacity, in transfers at full rate

    // Copies the target's breaker state into the zone table.
    void mirror_breaker(const Target& target);

    // Records a response of the target, which confirms an unverified one. A target that responds again after
    // it was unreachable is assumed to have restarted: the list reports the new start only later, and until
    // then all routers would send it their full load.
    void record_response(Target& target);

    // Excludes a stall of this process from the service clocks of targets with attempts in flight.
    void skip_stall(Micros duration);

  private:
    void update_entry(const Endpoint& entry);
    Role role_of(const Endpoint& entry) const;
    void rebuild_role_lists();
    void refresh_zone();
    bool is_warm(const Target& cache);

    DecisionContext& context_;
    SlowStart& slow_start_;
    std::map<std::string, Target> targets_;
    Target* origin_ = nullptr;
    std::vector<Target*> caches_;
    std::vector<Target*> parents_;
    std::vector<ZoneCache> zone_;
    bool zone_outdated_ = true;
    Micros next_warm_at_ = 0;   // when the next cache of the zone becomes warm
    double warm_capacity_ = 0;  // of the warm caches
    double zone_capacity_ = 0;  // of all caches, as of zone_capacity_at_
    Micros zone_capacity_at_ = -1;
};

}  // namespace sumackeel::routing
