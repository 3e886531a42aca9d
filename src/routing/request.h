// State of one request and its attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/target.h"

namespace sumackeel::routing {

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
    std::uint64_t serial = 0;  // also the token of its timers
    std::string key;           // identifies the (object, part)
    double transfer_time = 0;  // microseconds at full rate
    Micros deadline = 0;
    Micros objective_at = 0;
    Micros arrived_at = 0;
    Micros last_useful_send = 0;  // a later attempt could not complete before the deadline, even on a hit
    std::vector<Attempt> attempts;
    bool waiting_for_fill = false;  // not dispatched until another request's fill ends
    bool may_wait_for_fill = true;
    bool streaming = false;
    int errors = 0;  // attempts that failed with an error of the cache itself
};

inline const ClassSettings& class_of(const Settings& settings, const Request& request) {
    return settings.classes[request.arrival.class_index];
}

inline bool is_cacheable(const Settings& settings, const Request& request) {
    return !request.arrival.object.empty() && !class_of(settings, request).uncacheable &&
           !request.arrival.write;
}

}  // namespace sumackeel::routing
