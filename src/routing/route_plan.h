// Plan for one attempt and its predicted duration.
#pragma once

#include "routing/target.h"

namespace sumackeel::routing {

struct RoutePlan {
    Target* cache = nullptr;   // null: no plan
    Target* source = nullptr;  // same as `cache`: no fill
    bool fill = false;         // a fill is expected
    bool coalesce = false;     // the cache may attach it to a fill in progress
    bool shared = false;       // shares a fill that this router knows of
    bool revalidation = false;
    bool accepts_stale = false;
    bool has_stale_copy = false;   // the cache is known to hold a copy that may be stale
    double expected_time = 0;      // microseconds
    double expected_hit_time = 0;  // microseconds, without the fill
    double load = 0;               // of the cache, including this attempt
    double fill_probability = 1;
};

}  // namespace sumackeel::routing
