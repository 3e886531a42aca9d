// The interface of the routing library: settings, events, actions, and the Router that turns events into
// actions.
//
// The library is pure: it reads no clock and does no I/O. The caller passes in every event with its time and
// carries out the actions. Endpoints, requests and timers are named by the caller's names, ids and tokens.
// All decisions are taken in src/routing.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sumackeel::routing {

// A time or a duration, in microseconds of the caller's clock.
using Micros = std::int64_t;

// Whether an attempt that may have run may be repeated.
enum class RetrySafety { idempotent, with_idempotency_key, not_idempotent };

// Which caches recognise the idempotency key of a repeated request.
enum class IdempotencyScope { all, zone, cell };

// Which caches may be the source of another cache's fill.
enum class SiblingFill { none, own_zone, any };

// Which cache statuses a finished attempt carries.
enum class CacheStatusDetail { none, hits, all };

// When endpoints report their load.
enum class LoadReporting { none, with_responses, on_health_check };

// How well Endpoint::weight states the capacity.
enum class WeightQuality { none, nominal, rough, live };

// Settings of one class of requests.
struct ClassSettings {
    Micros latency_objective = 0;          // a response within this and the stretch has its full value
    double latency_objective_stretch = 0;  // times the request's own transfer time, added to the objective
    Micros deadline = 0;                   // after which the client gives up
    double late_value = 0;                 // fraction of the value of a response past the objective
    double priority_weight = 1;            // value of a response in time
    RetrySafety retry_safety = RetrySafety::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::all;
    Micros idempotency_window = 0;  // how long caches remember an idempotency key
    bool streaming = false;         // responses are passed on as they arrive
    Micros freshness_lifetime = 0;  // 0: no limit
    Micros stale_grace = 0;         // how long past its freshness lifetime a copy may be served
    double stale_value = 1;         // fraction of the value of a stale response
    bool chunked = false;           // objects are requested in parts
    bool uncacheable = false;       // runs at the origin, leaves no copy
};

// Settings of one router; they stay as they are but for the cluster's size.
struct Settings {
    std::vector<ClassSettings> classes;
    int instance_count = 1;                        // routers in the cluster
    int instance_index = 0;                        // of this one, from 0
    int own_zone = 0;                              // index; below 0: every cache counts as of the own zone
    std::vector<int> instances_by_zone;            // routers in each zone
    std::vector<int> region_by_zone;               // position of each zone's region in a ring
    std::vector<double> ingress_kb_per_s_by_zone;  // capacity of each zone's ingress link
    int parent_kind = -1;                          // of Endpoint::kind; -1: no parents
    int origin_kind = -1;                          // of Endpoint::kind; -1: no origin
    double transfer_rate_kb_per_s = 0;             // full rate of one response; the unit of weights
    bool coalescing_allowed = false;               // caches let a request share a fill under way
    bool cache_bypass_allowed = false;  // a parent or the origin may answer while no cache is admitted
    SiblingFill sibling_fill = SiblingFill::none;
    CacheStatusDetail cache_status_detail = CacheStatusDetail::none;
    WeightQuality weight_quality = WeightQuality::none;
    LoadReporting load_reporting = LoadReporting::none;
    bool endpoints_on_request = false;  // endpoint lists come only after WatchEndpoints
    Micros notification_grace = 0;
    Micros purge_completes_within = 0;  // until caches have obeyed a purge
    Micros response_slack = 0;
    Micros poll_within = 0;
    Micros drain_grace = 0;
    double cold_capacity_fraction = 1;  // of a cache's weight right after its start
    Micros warm_up_duration = 0;        // until a cache has its full weight
    double cold_overload_multiple = 0;  // of a cold cache's capacity, at which it fails; 0: no bound
    Micros overload_window = 0;         // over which that multiple is taken
    double parent_cold_fraction = 1;    // the same three of parents
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
    int max_attempts = 1;        // of one request, with the first
    int max_in_flight = 0;
    Micros connect_timeout = 0;
    Micros tick = 0;
    double wasted_work_cost = 0;
    double late_failure_cost = 0;
    // Requests a second that may go straight to the origin while no cache and no parent may be used; requests
    // that run there anyway are not counted. 0: none, they are rejected.
    double origin_only_requests_per_s = 0;
};

enum class EndpointState { ready, draining, removed };

// incremental: a difference; snapshot: a full list from disk; failed: there is no list.
enum class EndpointUpdateKind { incremental, full, snapshot, failed };

// A cache, a parent or the origin.
struct Endpoint {
    std::string name;
    double weight = 1;  // transfers at full rate that it can serve at once
    EndpointState state = EndpointState::ready;
    int zone = -1;           // index; -1: unknown
    Micros started_at = 0;   // when it last started; 0: long ago
    int kind = -1;           // see Settings::parent_kind; -1: a cache
    std::int64_t cell = -1;  // group of caches that share idempotency keys
    // Known from an old list alone, so it may have restarted unnoticed. It gets what an endpoint gets that
    // starts at this moment, and warms up only from its first response on. `started_at` is ignored.
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
    not_found
};

// Where a response came from, or why its fill failed, as far as the site reports it.
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

// A cache's own report of its load; below 0: not reported.
struct LoadReport {
    double in_flight = -1;  // requests that it serves
    double ingress_utilization =
        -1;  // transfers on its zone's ingress link, over those that fit at full rate
};

// ---- Events ----

// An endpoint list in full or in part.
struct EndpointUpdate {
    std::int64_t version = 0;
    EndpointUpdateKind kind = EndpointUpdateKind::full;
    std::vector<Endpoint> endpoints;
};

// A client's request; it gets exactly one final answer.
struct RequestReceived {
    std::string id;       // unique among the requests at hand
    int class_index = 0;  // in Settings::classes
    int tenant = -1;
    std::string object;                                       // empty: any cache may look it up
    Micros time_left = 0;                                     // until the client gives up
    Micros shutdown_in = std::numeric_limits<Micros>::max();  // until this process ends, where that is near
    double size_kb = 0;                                       // of the response; 0: unknown
    int purge_group = 0;
    int part = 0;  // of the object
    bool client_retry = false;
    bool write = false;
};

// The client no longer waits; the request is over.
struct ClientCancelled {
    std::string id;
};

struct GossipReceived {
    int from = 0;
    std::string bytes;
};

// A timer of SetTimer is due.
struct TimerExpired {
    std::uint64_t token = 0;
};

struct HealthCheckResult {
    std::string endpoint;
    AttemptStatus status = AttemptStatus::served;
    Micros elapsed = 0;
    LoadReport load;
};

// The response is being passed on to the client.
struct ResponseStarted {
    std::string id;
    std::string endpoint;
    int attempt = 0;
    Micros elapsed = 0;
};

struct AttemptFinished {
    std::string id;
    int attempt = 0;  // of the request, from 0 in the order of the actions
    std::string endpoint;
    AttemptStatus status = AttemptStatus::served;
    Micros elapsed = 0;
    bool request_finished = false;  // the request needs no further answer
    CacheStatus cache_status = CacheStatus::unknown;
    Micros time_to_first_byte = 0;  // of the source, or until the fill failed; 0: not reported
    LoadReport load;
};

// Copies from before it may not be served.
struct Purge {
    int purge_group = 0;
    Micros age = 0;      // since it was issued
    std::string object;  // empty: the whole group
};

// How many routers there are now, for the bounds that they keep together.
struct ClusterSizeChanged {
    int instance_count = 1;
    std::vector<int> instances_by_zone;  // in each zone
};

// This process itself stood still for so long until now; endpoints are not blamed for that time.
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
    Micros max_age = 0;                  // of a copy; 0: the class's freshness lifetime
    bool coalesce = false;               // may share a fill under way
    bool source_cached_only = false;     // the source gives only what it has cached
    bool parent_bypasses_cache = false;  // the parent keeps no copy
    bool revalidate = false;             // the cache revalidates an ageing copy while serving it
    std::string source = {};             // of a fill; the endpoint itself: no fill
    int cache_priority = 0;              // of the copy: 0 not kept, 1 requested once, 2 more often
};

struct SetTimer {
    Micros at = 0;
    std::uint64_t token = 0;
};

// The final answer: nothing ran, or a repeat is harmless.
struct Reject {
    std::string id;
    Micros retry_after = 0;  // 0: no advice
};

// The final answer: the request may have run.
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

// One router. Event time is its only clock, and all randomness comes from the seed: the same events give the
// same actions. Not thread-safe. Actions refer to endpoints by name and own their strings.
class Router {
  public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    // Appends to `actions` what is to be done about `event`. `now` may not be less than at the last event.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sumackeel::routing
