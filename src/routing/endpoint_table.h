// Endpoint table: who is listed, in which role, and the compact table of the own zone's caches.
//
// A list may name thousands of caches, and every request is ranked over those of its zone. So what the
// ranking reads of each stands side by side in the zone table.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/slow_start.h"

namespace sumackeel::routing {

// What ranking needs of one ready cache. `warm` and `breaker_open` mirror what its Target says.
struct ZoneCache {
    std::uint64_t hash = 0;
    double weight = 0;
    Target* target = nullptr;
    bool warm = false;  // has its full weight: not in slow start, and no overload window reaches back into it
    bool breaker_open = false;  // open or half open
};

// Owns all targets; pointers to them stay valid as long as the table.
class EndpointTable {
  public:
    EndpointTable(DecisionContext& context, SlowStart& slow_start)
        : context_(context), slow_start_(slow_start) {}
    ~EndpointTable() = default;
    EndpointTable(const EndpointTable&) = delete;
    EndpointTable& operator=(const EndpointTable&) = delete;

    // Takes in an endpoint list in full or in part; not for EndpointUpdateKind::failed.
    void update(const EndpointUpdate& update);

    Target* find(const std::string& name);

    Target* origin() const { return origin_; }  // null: none was ever listed; it may be draining or removed
    bool is_origin_ready() const { return origin_ && origin_->entry.state == EndpointState::ready; }

    const std::vector<Target*>& caches() const { return caches_; }    // ready, of the own zone, by name
    const std::vector<Target*>& parents() const { return parents_; }  // ready, by name

    const std::vector<ZoneCache>& zone_caches();  // in the order of caches()
    double zone_capacity();                       // of all of them, in transfers at full rate

    // Copies the target's breaker state into the zone table.
    void mirror_breaker(const Target& target);

    // Records a response of the target, which ends the doubt about one of an old list. One that answers again
    // after it could not be reached is taken for restarted: the list names its new start only later, and
    // until then all routers would send it their full load.
    void record_response(Target& target);

    // Moves the service clocks of targets with attempts in flight past a stall of this process.
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
    Micros next_warm_at_ = 0;   // when the next cache of the zone leaves slow start
    double warm_capacity_ = 0;  // of the caches that are warm
    double zone_capacity_ = 0;  // of all, as of zone_capacity_at_
    Micros zone_capacity_at_ = -1;
};

}  // namespace sumackeel::routing
