// Fill coalescing: table of cached copies and fills in progress, by (object, part).
//
// The first request for an (object, part) leads its fill. Later requests go to the same cache and share the
// fill, or wait until it ends. After a response, the table records the cache that has been proven to hold the
// copy.
#pragma once

#include <cstddef>
#include <list>
#include <string>

#include "routing/bounded_map.h"
#include "routing/eligibility.h"
#include "routing/purge_log.h"
#include "routing/route_plan.h"

namespace sumackeel::routing {

// State of one (object, part).
struct CachedCopy {
    std::string leader;  // id of the request that leads the fill in progress; empty: none
    Target* fill_cache = nullptr;
    Micros fill_started_at = 0;
    Micros fill_overdue_at = 0;
    // Most copies have none, so it takes no memory while it is empty.
    std::list<std::string> waiters;  // requests that share or await the fill, in order of arrival
    Target* holder = nullptr;        // the cache last proven to hold a copy
    Micros holder_since = 0;         // when the attempt that proved it was sent
    Micros last_served_at = 0;
    Micros fresh_since = 0;    // when the copy was last filled or revalidated
    DecayedMean request_rate;  // recent requests, decayed with kRequestRateTimeConstant
    int request_count = 0;
};

class FillCoalescing {
  public:
    static constexpr double kRequestRateTimeConstant = 3.0 * kSecond;  // in microseconds

    FillCoalescing(DecisionContext& context, const PurgeLog& purges, const Eligibility& eligibility)
        : context_(context), purges_(purges), eligibility_(eligibility) {}

    // Counts a request for its (object, part).
    void record_request(const Request& request);

    CachedCopy* find(const std::string& key) { return copies_.find(key); }
    CachedCopy& find_or_create(const std::string& key) { return copies_.touch(key); }

    // Decayed count of recent requests for the copy.
    double recent_requests(const CachedCopy& copy) const;

    // Whether the request may share the fill in progress. An overdue fill may hang, and with it all requests
    // that share it. A fill started before a purge would deliver a purged copy.
    bool can_share(const CachedCopy& copy, const Request& request) const;

    // Whether the cache may coalesce the request. The cache respects the requested maximum age, so coalescing
    // stays allowed after a purge unless this router has a fill in progress that was started before the
    // purge. A fill known to have started after the purge is not required: few of many routers know of one,
    // and every other router would have the part filled again.
    bool may_coalesce(const CachedCopy& copy, const Request& request) const;

    bool has_room_to_wait(const CachedCopy& copy) const { return copy.waiters.size() < kMaxWaiters; }

    // Makes the request wait until the fill ends, at most for a fraction of its latency objective.
    void enqueue(Request& request, CachedCopy& copy);

    // Adds the request to the fill in progress; above kMaxWaiters it can't become the next leader.
    void share(const Request& request, CachedCopy& copy);

    // Starts a fill led by the request, as planned.
    void lead(const Request& request, CachedCopy& copy, const RoutePlan& plan);

    // Ends the fill if `leader` leads it, and returns its waiters.
    std::list<std::string> end_fill(const std::string& key, const std::string& leader);

    // Sets the leader of a fill whose previous leader was cancelled.
    void set_leader(const std::string& key, const std::string& leader);

    // Restores the waiters if `leader` leads the fill.
    void restore_waiters(const std::string& key, const std::string& leader, std::list<std::string> waiters);

    // Records that the cache of a served attempt holds the copy.
    void record_served(const Request& request, const Attempt& attempt);

    // The cache proven to hold a copy; null if there is none, or it was purged or the cache restarted since.
    Target* proven_holder(const CachedCopy& copy, const Request& request) const;

    // Whether the cache was proven to hold a copy and is unlikely to have evicted it since.
    bool is_likely_held(const CachedCopy& copy, const Target& cache, const Request& request) const;

    // Whether the last response is recent enough to send requests directly to the holder.
    bool was_served_recently(const CachedCopy& copy) const;

    // Removes records of copies that were not requested recently.
    void sweep();

  private:
    static constexpr std::size_t kMaxWaiters = 512;  // per fill

    DecisionContext& context_;
    const PurgeLog& purges_;
    const Eligibility& eligibility_;
    BoundedMap<CachedCopy> copies_{context_.settings.max_tracked_copies};
};

}  // namespace sumackeel::routing
