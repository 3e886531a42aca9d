// Purge log: last purge time of each object and purge group, and the maximum copy age this allows a request.
#pragma once

#include <string>

#include "routing/bounded_map.h"
#include "routing/decision_context.h"
#include "routing/request.h"

namespace sumackeel::routing {

class PurgeLog {
  public:
    explicit PurgeLog(const DecisionContext& context) : context_(context) {}

    void record(const Purge& purge);

    // Time of the last purge of the request's object or purge group; 0: not in the log.
    Micros purged_at(const Request& request) const;

    // Maximum age in microseconds of a copy by the purges of its object or purge group alone; 0: no limit.
    Micros age_limit(Micros now, const std::string& object, int purge_group) const;

    // Maximum age in microseconds of a copy served to the request; 0: the class's freshness lifetime applies.
    Micros max_age(const Request& request, bool accepts_stale) const;

    // Removes purges that all caches have applied long ago.
    void sweep();

  private:
    // Entries are only needed until all caches have applied the purge.
    static constexpr std::size_t kMaxPurges = 60'000;

    Micros last_purge(const std::string& object, int purge_group) const;

    const DecisionContext& context_;
    BoundedMap<Micros> purged_at_{kMaxPurges};
};

}  // namespace sumackeel::routing
