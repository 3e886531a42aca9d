// How old a list may be and what its members may then be given. Values only.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace sumackeel::endpoints {

using base::Micros;

// What a member may be given, the least first.
enum class Trust {
    none,        // nothing until a live source names it
    unverified,  // a cold start: as though it had just started, warming from its first answer on
    full
};

// The age of a list is the time since a live source last said that all is as told.
struct StalenessPolicy {
    // Younger than this a list is used in full. A box that dies is back, cold, after 7.7 s at the earliest,
    // so within this time none can have died and come back unheard. Range 0 to 60 s.
    Micros full_until = 5 * base::kSecond;
    // Younger than this its members get a careful start, from then on nothing. A drain that was never heard
    // is the risk: this is how long a box may be worked on after it was drained. Range full_until to 7 days.
    Micros unverified_until = 900 * base::kSecond;
    // In the first band a member that had not answered us for this long before the list was last sure is
    // taken with care all the same: it may have been down. Range 0 to 1 hour.
    Micros answered_within = 10 * base::kSecond;
};

// `age`: of the list. `silent`: how long the member had not answered when the list was last sure; below 0: it
// never had.
inline Trust trust_at(const StalenessPolicy& bands, Micros age, Micros silent) {
    if (age < 0 || age >= std::max(bands.unverified_until, bands.full_until)) return Trust::none;
    const bool lately = silent >= 0 && silent <= bands.answered_within;
    if (age < bands.full_until && lately) return Trust::full;
    return age < bands.unverified_until ? Trust::unverified : Trust::none;
}

inline const char* name_of(Trust use) {
    return use == Trust::full ? "full" : use == Trust::unverified ? "careful" : "none";
}

}  // namespace sumackeel::endpoints
