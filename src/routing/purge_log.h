// Purge log: when each object or purge group was last purged, and the age of copy that a request may get.
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

    // When the request's object or group was last purged; 0: not in the log.
    Micros purged_at(const Request& request) const;

    // The oldest copy that the request may get, in microseconds; 0 leaves it to the class's freshness
    // lifetime.
    Micros max_age(const Request& request, bool accepts_stale) const;

    // Drops purges that caches have long obeyed.
    void sweep();

  private:
    // Entries are needed only for the time that caches take to obey.
    static constexpr std::size_t kMaxPurges = 60'000;

    const DecisionContext& context_;
    BoundedMap<std::string, Micros> purged_at_{kMaxPurges};
};

}  // namespace sumackeel::routing
