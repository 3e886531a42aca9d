// The record of one request and of the attempts made for it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/target.h"

namespace sumackeel::routing {

// Whether the status proves that the endpoint did not run the request, as the wire states it.
inline bool proves_not_run(AttemptStatus status) {
    return status == AttemptStatus::overloaded || status == AttemptStatus::connect_failed ||
           status == AttemptStatus::not_sent || status == AttemptStatus::not_found;
}

struct Attempt {
    Target* cache = nullptr;
    Target* source = nullptr;
    Micros sent_at = 0;
    bool may_have_run = true;
    bool in_flight = true;
    bool accepts_stale = false;
};

struct Request {
    bool has_attempt_in_flight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }

    bool was_tried_at(const Target& target) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.cache == &target || a.source == &target; });
    }

    RequestReceived arrival;
    std::uint64_t serial = 0;  // its timer token
    std::string key;           // of (object, part)
    double transfer_time = 0;  // microseconds at full rate
    Micros deadline = 0;
    Micros objective_at = 0;
    Micros arrived_at = 0;
    Micros last_useful_send = 0;  // sent after this, not even a cached copy would be complete in time
    std::vector<Attempt> attempts;
    bool waiting_for_fill = false;  // held back until another request's fill ends
    bool may_wait_for_fill = true;
    bool streaming = false;
    int errors = 0;  // attempts that a cache itself answered with an error
};

inline const ClassSettings& class_of(const Settings& settings, const Request& request) {
    return settings.classes[request.arrival.class_index];
}

inline bool is_cacheable(const Settings& settings, const Request& request) {
    return !request.arrival.object.empty() && !class_of(settings, request).uncacheable &&
           !request.arrival.write;
}

}  // namespace sumackeel::routing
