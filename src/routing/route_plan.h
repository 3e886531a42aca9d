// What one attempt would do, and how long it should take.
#pragma once

#include "routing/target.h"

namespace sumackeel::routing {

struct RoutePlan {
    Target* cache = nullptr;   // null: there is none
    Target* source = nullptr;  // the cache itself: no fill
    bool fill = false;         // a fill is expected
    bool coalesce = false;     // may share a fill under way
    bool shared = false;       // shares one that this router knows of
    bool revalidation = false;
    bool accepts_stale = false;
    bool has_stale_copy = false;   // the cache is known to hold a copy that may be stale
    double expected_time = 0;      // microseconds
    double expected_hit_time = 0;  // microseconds, without the fill
    double load = 0;               // of the cache, with this attempt
    double fill_probability = 1;
};

}  // namespace sumackeel::routing
