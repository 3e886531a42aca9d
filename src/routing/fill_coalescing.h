// Fill coalescing: the table of cached copies and of fills under way by (object, part).
//
// The first request for an (object, part) leads its fill; later ones go to the same cache and share it, or
// wait until it ends. After a response the table names the cache that proved to hold the copy.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "routing/bounded_map.h"
#include "routing/eligibility.h"
#include "routing/purge_log.h"
#include "routing/route_plan.h"

namespace sumackeel::routing {

// What is known of one (object, part).
struct CachedCopy {
    std::string leader;  // the request that leads the fill under way; empty: none
    Target* fill_cache = nullptr;
    Micros fill_started_at = 0;
    Micros fill_overdue_at = 0;
    std::deque<std::string> waiters;  // requests that share the fill or wait for it, in order of arrival
    Target* holder = nullptr;         // the last cache that proved to hold a copy
    Micros holder_since = 0;          // when the attempt that proved it was sent
    Micros last_served_at = 0;
    Micros fresh_since = 0;    // when the copy was last filled or revalidated
    DecayedMean request_rate;  // requests within the rate's memory
    int request_count = 0;
};

class FillCoalescing {
  public:
    static constexpr double kRequestRateMemory = 3.0 * kSecond;  // time constant, in microseconds

    FillCoalescing(DecisionContext& context, const PurgeLog& purges, const Eligibility& eligibility)
        : context_(context), purges_(purges), eligibility_(eligibility) {}

    // Counts a request for its (object, part).
    void record_request(const Request& request);

    CachedCopy* find(const std::string& key) { return copies_.find(key); }
    CachedCopy& find_or_create(const std::string& key) { return copies_.touch(key); }

    // Requests for the copy within the rate's memory.
    double recent_requests(const CachedCopy& copy) const;

    // Whether the request may share the fill under way. An overdue fill is not shared: if it hangs, so would
    // all that share it. A fill from before a purge would give its sharers a purged copy.
    bool can_share(const CachedCopy& copy, const Request& request) const;

    // Whether the cache may coalesce the request. It gives nothing older than was asked for, so coalescing
    // goes on after a purge unless a fill of this router from before the purge is under way. Other fills need
    // no such proof: of many routers hardly one knows of a fill since the purge, and each would have the part
    // filled anew.
    bool may_coalesce(const CachedCopy& copy, const Request& request) const;

    bool has_room_to_wait(const CachedCopy& copy) const { return copy.waiters.size() < kMaxWaiters; }

    // The request waits until the fill ends, or for a part of its latency objective.
    void hold(Request& request, CachedCopy& copy);

    // The request shares the fill under way; past the bound it is not listed as a possible next leader.
    void share(const Request& request, CachedCopy& copy);

    // The request begins a fill as planned.
    void lead(const Request& request, CachedCopy& copy, const RoutePlan& plan);

    // Ends the fill if `leader` leads it; gives its waiters.
    std::deque<std::string> end_fill(const std::string& key, const std::string& leader);

    // The next leader of a fill whose leader left.
    void set_leader(const std::string& key, const std::string& leader);

    // Puts the waiters back if `leader` leads the fill.
    void restore_waiters(const std::string& key, const std::string& leader, std::deque<std::string> waiters);

    // Notes which cache holds the copy, by an attempt that was served.
    void record_served(const Request& request, const Attempt& attempt);

    // The cache that proved to hold a copy, unless that was purged or the cache restarted since; or null.
    Target* proven_holder(const CachedCopy& copy, const Request& request) const;

    // Whether the cache proved to hold a copy and is unlikely to have evicted it since.
    bool is_likely_held(const CachedCopy& copy, const Target& cache, const Request& request) const;

    // Whether a response was served so lately that requests go straight to the holder.
    bool was_served_recently(const CachedCopy& copy) const;

    // Forgets copies that were not asked for lately.
    void sweep();

  private:
    static constexpr std::size_t kMaxCopies = 60'000;  // about 10 MB
    static constexpr std::size_t kMaxWaiters = 512;    // listed for one fill

    DecisionContext& context_;
    const PurgeLog& purges_;
    const Eligibility& eligibility_;
    BoundedMap<std::string, CachedCopy> copies_{kMaxCopies};
};

}  // namespace sumackeel::routing
