// Public interface of the routing library: settings, events, actions, and the Router that turns events into
// actions.
//
// The library is deterministic: it reads no clock and performs no I/O. The caller passes in each event with
// its timestamp and carries out the resulting actions. Endpoints, requests and timers are identified by the
// caller's names, ids and tokens. The routing decisions are implemented in src/routing.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sumackeel::routing {

// A point in time or a duration, in microseconds of the caller's clock.
using Micros = std::int64_t;

// Whether a request may be sent again after an attempt that may have been executed.
enum class RetrySafety { idempotent, with_idempotency_key, not_idempotent };

// Set of caches that share an idempotency key, so that a repeated request is recognized.
enum class IdempotencyScope { all, zone, cell };

// Which sibling caches may serve as the source of a fill.
enum class SiblingFill { none, own_zone, any };

// Which cache statuses the site reports with a finished attempt.
enum class CacheStatusDetail { none, hits, all };

// When endpoints report their load.
enum class LoadReporting { none, with_responses, on_health_check };

// How accurately Endpoint::weight reflects the endpoint's capacity.
enum class WeightQuality { none, nominal, rough, live };

// Settings of one request class.
struct ClassSettings {
    Micros latency_objective = 0;          // responses within this plus the stretch have full value
    double latency_objective_stretch = 0;  // multiple of the request's transfer time added to the objective
    Micros deadline = 0;                   // after this the client gives up
    double late_value = 0;                 // fraction of the value left for a response after the objective
    double priority_weight = 1;            // value of a response within the objective
    RetrySafety retry_safety = RetrySafety::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::all;
    Micros idempotency_window = 0;  // how long caches remember an idempotency key
    bool streaming = false;         // responses are forwarded to the client as they arrive
    Micros freshness_lifetime = 0;  // 0: no limit
    Micros stale_grace = 0;         // how long after its freshness lifetime a copy may be served
    double stale_value = 1;         // value of a stale response as a fraction of a fresh one
    bool chunked = false;           // objects are requested in parts
    bool uncacheable = false;       // executed at the origin, not cached
};

// Settings of one router. Constant except for the cluster size, see ClusterSizeChanged.
struct Settings {
    std::vector<ClassSettings> classes;
    int instance_count = 1;                        // routers in the cluster
    int instance_index = 0;                        // index of this router, from 0
    int own_zone = 0;                              // negative: treat every cache as part of the own zone
    std::vector<int> instances_by_zone;            // routers in each zone
    std::vector<int> region_by_zone;               // position of each zone's region on a ring
    std::vector<double> ingress_kb_per_s_by_zone;  // capacity of each zone's ingress link
    int parent_kind = -1;                          // Endpoint::kind of parents; -1: no parents
    int origin_kind = -1;                          // Endpoint::kind of the origin; -1: no origin
    double transfer_rate_kb_per_s = 0;             // full rate of a single response; the unit of weights
    bool coalescing_allowed = false;               // caches can attach a request to a fill in progress
    bool cache_bypass_allowed = false;  // a parent or the origin may respond while no cache is admitted
    SiblingFill sibling_fill = SiblingFill::none;
    CacheStatusDetail cache_status_detail = CacheStatusDetail::none;
    WeightQuality weight_quality = WeightQuality::none;
    LoadReporting load_reporting = LoadReporting::none;
    bool endpoints_on_request = false;  // endpoint lists are sent only after WatchEndpoints
    Micros notification_grace = 0;
    Micros purge_completes_within = 0;  // time until all caches have applied a purge
    Micros response_slack = 0;
    Micros poll_within = 0;
    Micros drain_grace = 0;
    double cold_capacity_fraction = 1;  // capacity of a cache right after its start, relative to its weight
    Micros warm_up_duration = 0;        // time until a cache reaches its full weight
    double cold_overload_multiple = 0;  // multiple of a cold cache's capacity at which it fails; 0: no limit
    Micros overload_window = 0;         // interval over which that load is measured
    double parent_cold_fraction = 1;    // the same three settings for parents
    Micros parent_slow_start = 0;
    double parent_overload_multiple = 0;
    double origin_overload_multiple = 0;
    Micros origin_overload_window = 0;
    bool cancellation_allowed = false;
    bool health_checks_allowed = false;
    bool gossip_allowed = false;
    bool hedging_allowed = false;
    bool retry_after_allowed = false;
    Micros max_retry_after = 0;  // upper bound of Reject::retry_after
    int max_attempts = 1;        // per request, including the first
    int max_in_flight = 0;
    Micros connect_timeout = 0;
    Micros tick = 0;
    double wasted_work_cost = 0;
    double late_failure_cost = 0;
    // Rate limit for cacheable requests sent directly to the origin while no cache and no parent is ready.
    // Uncacheable requests do not count against it. 0: these requests are rejected.
    double origin_only_requests_per_s = 0;
    // Copies whose cache and fills the router keeps track of, about 350 bytes each; the least recently
    // requested one is forgotten for another.
    std::size_t max_tracked_copies = 60'000;
};

enum class EndpointState { ready, draining, removed };

// incremental: changes only; snapshot: a full list loaded from disk; failed: no list is available.
enum class EndpointUpdateKind { incremental, full, snapshot, failed };

// A cache, a parent or the origin.
struct Endpoint {
    std::string name;
    double weight = 1;  // number of concurrent transfers at full rate
    EndpointState state = EndpointState::ready;
    int zone = -1;           // index; -1: unknown
    Micros started_at = 0;   // time of its last start; 0: long ago
    int kind = -1;           // see Settings::parent_kind and origin_kind; -1: a cache
    std::int64_t cell = -1;  // group of caches that share idempotency keys
    // Known only from an old list, so it may have restarted since. It is treated as cold, and its slow start
    // begins with its first response. `started_at` is ignored.
    bool unverified = false;
};

// How an attempt ended.
enum class AttemptStatus {
    served,
    error,
    overloaded,
    timed_out,
    connect_failed,
    connection_reset,
    cancelled,
    not_sent,
    not_found,
    withheld  // not written: the endpoint or the source was drained or removed while the attempt waited
};

constexpr std::size_t kAttemptStatusCount = 10;

// Whether the status guarantees, per the wire protocol, that the endpoint did not execute the request.
inline bool proves_not_run(AttemptStatus status) {
    return status == AttemptStatus::overloaded || status == AttemptStatus::connect_failed ||
           status == AttemptStatus::not_sent || status == AttemptStatus::not_found ||
           status == AttemptStatus::withheld;
}

// Source of a response, or the reason why its fill failed, as far as the site reports it.
enum class CacheStatus {
    unknown,
    hit,
    filled,
    filled_by_origin,
    coalesced,
    stale,
    source_rejected,
    source_unreachable,
    source_missing,
    fill_slots_exhausted,
    origin_failed
};

// Load reported by a cache; negative values: not reported.
struct LoadReport {
    double in_flight = -1;  // requests being served
    // Transfers on its zone's ingress link over the link's capacity at full rate.
    double ingress_utilization = -1;
};

// ---- Events ----

// A full or incremental endpoint list.
struct EndpointUpdate {
    std::int64_t version = 0;
    EndpointUpdateKind kind = EndpointUpdateKind::full;
    std::vector<Endpoint> endpoints;
};

// A request from a client. It gets exactly one final response.
struct RequestReceived {
    std::string id;       // unique among the open requests
    int class_index = 0;  // index in Settings::classes
    int tenant = -1;
    std::string object;    // empty: any cache can handle it as a lookup
    Micros time_left = 0;  // until the client gives up
    // Until this process exits, if it is shutting down.
    Micros shutdown_in = std::numeric_limits<Micros>::max();
    double size_kb = 0;  // size of the response; 0: unknown
    int purge_group = 0;
    int part = 0;  // part of the object
    bool client_retry = false;
    bool write = false;
};

// The client no longer waits for a response; the request is finished.
struct ClientCancelled {
    std::string id;
};

struct GossipReceived {
    int from = 0;
    std::string bytes;
};

// A timer requested with SetTimer has expired.
struct TimerExpired {
    std::uint64_t token = 0;
};

struct HealthCheckResult {
    std::string endpoint;
    AttemptStatus status = AttemptStatus::served;
    Micros elapsed = 0;
    LoadReport load;
};

// The response is now being forwarded to the client.
struct ResponseStarted {
    std::string id;
    std::string endpoint;
    int attempt = 0;
    Micros elapsed = 0;
};

struct AttemptFinished {
    std::string id;
    int attempt = 0;  // number of the attempt within the request, from 0 in the order of the actions
    std::string endpoint;
    AttemptStatus status = AttemptStatus::served;
    Micros elapsed = 0;
    bool request_finished = false;  // the request needs no further response
    CacheStatus cache_status = CacheStatus::unknown;
    Micros time_to_first_byte = 0;  // from the source, or time until the fill failed; 0: not reported
    LoadReport load;
};

// Copies filled before the purge may no longer be served.
struct Purge {
    int purge_group = 0;
    Micros age = 0;      // time since it was issued
    std::string object;  // empty: the whole purge group
};

// Current number of routers, for the limits that they share.
struct ClusterSizeChanged {
    int instance_count = 1;
    std::vector<int> instances_by_zone;  // routers in each zone
};

// This process was not scheduled for `duration` until now. The time is not attributed to endpoints.
struct ProcessStalled {
    Micros duration = 0;
};

using Event = std::variant<EndpointUpdate, RequestReceived, ClientCancelled, GossipReceived, TimerExpired,
                           HealthCheckResult, ResponseStarted, AttemptFinished, Purge, ClusterSizeChanged,
                           ProcessStalled>;

// ---- Actions ----

// Sends a request without an object to an endpoint.
struct Lookup {
    std::string id;
    std::string endpoint;
    Micros timeout = 0;
};

// Sends an attempt to an endpoint.
struct Forward {
    std::string id;
    Micros timeout = 0;
    std::string endpoint;
    Micros max_age = 0;                  // oldest acceptable copy; 0: the class's freshness lifetime
    bool coalesce = false;               // the cache may attach the request to a fill in progress
    bool source_cached_only = false;     // the source responds only from its cache
    bool parent_bypasses_cache = false;  // the parent stores no copy
    bool revalidate = false;             // the cache revalidates an aging copy while serving it
    std::string source = {};             // source of a fill; the endpoint itself: no fill
    int cache_priority = 0;  // of the copy: 0 not stored, 1 requested once, 2 requested more often
};

struct SetTimer {
    Micros at = 0;
    std::uint64_t token = 0;
};

// Final response: nothing was executed, or the client can safely repeat the request.
struct Reject {
    std::string id;
    Micros retry_after = 0;  // 0: no Retry-After
};

// Final response: the request may have been executed.
struct Fail {
    std::string id;
};

// Cancels an attempt in flight.
struct Cancel {
    std::string id;
    int attempt = 0;
};

struct SendGossip {
    int to = -1;  // -1: all
    std::string bytes;
};

// Subscribes to endpoint lists.
struct WatchEndpoints {
    bool enabled = true;
};

struct PollEndpoints {};

struct SendHealthCheck {
    std::string endpoint;
};

struct CloseIdleConnections {
    std::string endpoint;
};

struct LogMessage {
    std::string text;
};

using Action = std::variant<Lookup, Forward, SetTimer, Reject, Fail, Cancel, SendGossip, WatchEndpoints,
                            PollEndpoints, SendHealthCheck, CloseIdleConnections, LogMessage>;

// Takes the routing decisions of one process. Event timestamps are its only clock and all random numbers
// derive from the seed, so the same events give the same actions. Not thread-safe. Actions refer to endpoints
// by name and own their strings.
class Router {
  public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    // Processes `event` and appends the resulting actions. `now` must not decrease between calls.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

    // For attempts that wait to be written. Both answer by the events handled so far.
    // Whether the endpoint, as a cache or as a source, is listed and ready.
    bool can_receive(const std::string& endpoint) const;
    // The maximum age of a copy of this object by its purges; 0: none of them is known.
    Micros purge_age_limit(Micros now, const std::string& object, int purge_group) const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sumackeel::routing
