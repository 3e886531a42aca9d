// What one router remembers between events. Plain records: every decision on them is in choice.cpp.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "routing/router.h"

namespace sumackeel::routing {

// Settings by zone or class may be shorter than the list of zones or classes.
template <typename T>
T nth(const std::vector<T>& list, int place, T otherwise) {
    return place >= 0 && place < static_cast<int>(list.size()) ? list[place] : otherwise;
}

// As the wire states it.
inline bool proves_not_run(AttemptStatus verdict) {
    return verdict == AttemptStatus::overloaded || verdict == AttemptStatus::connect_failed ||
           verdict == AttemptStatus::not_sent || verdict == AttemptStatus::not_found;
}

enum class Role { cache, parent, origin, foreign };

// A mean that follows a count, or what was told, as of `at`.
struct Mean {
    double value = 0;
    Micros at = 0;

    // Fading exponentially into `towards`.
    double faded(Micros now, double towards, double memory) const {
        return towards + (value - towards) * std::exp(-static_cast<double>(now - at) / memory);
    }
};

struct Target;

// One attempt out, also after its request is over: for predictions and lateness.
struct Flight {
    Target* cache = nullptr;
    Target* source = nullptr;
    Micros sent = 0;
    double started = 0;         // the target's service clock then
    double hit = 0;             // service time it takes if the copy is there
    double expected = 0;        // time it should take
    double on_link = 0;         // the chance that it takes a part of the link in: a joiner does not
    bool fill = false;          // may wait for a source
    bool origin_trial = false;  // may reach an origin that is being tried again

    // A target that was heard after this lost the one answer alone; one that was not may hang.
    Micros due() const { return sent + static_cast<Micros>(expected); }
};

// Lateness and failures of one target, with its circuit breaker.
struct Health {
    Mean late{1, 0};  // observed over expected time
    double failing = 0;
    Micros open_until = 0;
    Micros opened_for = 0;
    bool open = false;
    bool trial_out = false;
};

constexpr double kOriginWait =
    160'000;  // us; first byte by way of a parent and an origin that is not crowded

constexpr std::size_t kNoPlace = static_cast<std::size_t>(-1);

struct Target {
    Endpoint entry;
    std::size_t place = kNoPlace;  // in the table of the zone's caches
    std::uint64_t hash = 0;        // of its name
    Role role = Role::foreign;
    Health health;
    std::vector<const Flight*> flights;
    double fills = 0;          // how many of them take a part of the link in
    Mean mean_out;             // ours here
    Mean told;                 // those of others here, by report
    double service_clock = 0;  // time at full pace that each present transfer has had
    Micros clock_at = 0;
    Mean debt;         // work sent while cold that its part of the budget has not paid off
    Micros heard = 0;  // its last answer, as a source too
    int lost = 0;      // times in a row it could not be reached since then
    double usual = kOriginWait,
           seen = 1;        // first byte of a fill through it by the origin, and how many count
    bool unproven = false;  // known from an old list and has not answered yet
};

struct Attempt {
    Target* cache = nullptr;
    Target* source = nullptr;
    Micros sent = 0;
    bool may_have_run = true;
    bool out = true;
    bool stale = false;  // an old copy would do
};

struct Request {
    RequestReceived arrival;
    std::uint64_t serial = 0;
    std::string key;
    double work = 0;
    Micros deadline = 0, aim_at = 0, arrived = 0;
    Micros latest = 0;  // sent off after this not even a copy at hand, at full pace, would be whole in time
    std::vector<Attempt> attempts;
    bool held = false;  // waits for another's fill
    bool may_hold = true;
    bool streaming = false;
    int errors = 0;  // attempts that a cache itself answered with an error
};

// What is known of one (object, part): the entry of the fill table and the last proof of a copy.
struct Copy {
    std::string leader;  // request that leads the fill under way; empty: none
    Target* cache = nullptr;
    Micros started = 0, distrust_at = 0;
    std::deque<std::string> waiters;
    Target* holder = nullptr;
    Micros holder_since = 0;  // when the attempt that proved the copy was sent
    Micros served_at = 0;
    Micros fresh_from = 0;  // when the copy was last filled or renewed
    Mean rate;              // recent requests
    int asked = 0;
};

struct Plan {
    Target* cache = nullptr;
    Target* source = nullptr;
    bool fill = false, join = false, shared = false, renewal = false, stale = false, old_copy = false;
    double finish = 0, answer = 0, crowd = 0;  // answer: without the fill
    double miss = 1;                           // chance of a fill
};

}  // namespace sumackeel::routing
