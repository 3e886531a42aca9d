// Which age of a list gives its endpoints which trust. Values only.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace sumackeel::endpoints {

using base::Micros;

// How an endpoint may be used, the lowest trust first.
enum class Trust {
    none,        // not used until a live source lists it
    unverified,  // treated as just started: its cache is cold and warms up from its first response
    full
};

// The age of a list is the time since a live source last confirmed it.
struct StalenessPolicy {
    // A list younger than this has full trust. A server that dies is back, with a cold cache, after 7.7 s at
    // the earliest, so within this time none can have died and returned unnoticed. Range 0 to 60 s.
    Micros full_until = 5 * base::kSecond;
    // A list younger than this is used as unverified, an older one not at all. The risk is a drain that was
    // never received: this bounds how long a server may get requests after it was drained. Range full_until
    // to 7 days.
    Micros unverified_until = 900 * base::kSecond;
    // While the list has full trust, an endpoint that had not responded for this long when the list was last
    // confirmed is still unverified: it may have been down. Range 0 to 1 hour.
    Micros answered_within = 10 * base::kSecond;
};

// `age`: of the list. `silence`: how long the endpoint had not responded when the list was last confirmed;
// below 0: it never had responded.
inline Trust trust_at(const StalenessPolicy& policy, Micros age, Micros silence) {
    if (age < 0 || age >= std::max(policy.unverified_until, policy.full_until)) return Trust::none;
    const bool responded_recently = silence >= 0 && silence <= policy.answered_within;
    if (age < policy.full_until && responded_recently) return Trust::full;
    return age < policy.unverified_until ? Trust::unverified : Trust::none;
}

inline const char* name_of(Trust trust) {
    return trust == Trust::full ? "full" : trust == Trust::unverified ? "careful" : "none";
}

}  // namespace sumackeel::endpoints
