// The interface of the routing library: settings, events, actions and the Router that turns events into
// actions. No decision is taken here; all of them are in src/routing.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sumackeel::routing {

using Micros = std::int64_t;  // a time or a span, in microseconds of the caller's clock

enum class RetrySafety { idempotent, with_idempotency_key, not_idempotent };
enum class IdempotencyScope { all, zone, cell };   // which caches drop a keyed request's repeats
enum class SiblingFill { none, own_zone, any };    // which caches may supply another cache's fill
enum class CacheStatusDetail { none, hits, all };  // what outcomes tell of hits and fills
enum class LoadReporting { none, with_responses, on_health_check };
enum class WeightQuality { none, nominal, rough, live };

struct ClassSettings {
    Micros latency_objective = 0;          // answered within this (and the stretch): full worth
    double latency_objective_stretch = 0;  // the aim grows by this many times the request's own sending time
    Micros deadline = 0;
    double late_value = 0;  // share of the worth left after the aim
    double priority_weight = 1;
    RetrySafety retry_safety = RetrySafety::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::all;
    Micros idempotency_window = 0;  // keyed: how long repeats are dropped
    bool streaming = false;
    Micros freshness_lifetime = 0;  // 0: no limit
    Micros stale_grace = 0;         // a copy may be served this long past fresh
    double stale_value = 1;
    bool chunked = false;
    bool uncacheable = false;  // runs at the origin, leaves no copy
};

struct Settings {
    std::vector<ClassSettings> classes;
    int instance_count = 1;
    int instance_index = 0;
    int own_zone = 0;
    std::vector<int> instances_by_zone;  // gateways in each zone
    std::vector<int> region_by_zone;     // each zone's hub, a place in a ring
    std::vector<double> ingress_kb_per_s_by_zone;
    int parent_kind = -1;  // -1: no parents
    int origin_kind = -1;
    double transfer_rate_kb_per_s = 0;  // top pace of one answer; the unit of weights
    bool coalescing_allowed = false;
    bool cache_bypass_allowed = false;
    SiblingFill sibling_fill = SiblingFill::none;
    CacheStatusDetail cache_status_detail = CacheStatusDetail::none;
    WeightQuality weight_quality = WeightQuality::none;
    LoadReporting load_reporting = LoadReporting::none;
    bool endpoints_on_request = false;  // the list must be asked for
    Micros notification_grace = 0;
    Micros purge_completes_within = 0;
    Micros response_slack = 0;
    Micros poll_within = 0;
    Micros drain_grace = 0;
    double cold_capacity_fraction = 1;
    Micros warm_up_duration = 0;
    double cold_overload_multiple = 0;
    Micros overload_window = 0;
    double parent_cold_fraction = 1;
    Micros parent_slow_start = 0;
    double parent_overload_multiple = 0;
    double origin_overload_multiple = 0;
    Micros origin_overload_window = 0;
    bool cancellation_allowed = false;
    bool health_checks_allowed = false;
    bool gossip_allowed = false;
    bool hedging_allowed = false;
    bool retry_after_allowed = false;
    Micros max_retry_after = 0;
    int max_attempts = 1;
    int max_in_flight = 0;
    Micros connect_timeout = 0;
    Micros tick = 0;
    double wasted_work_cost = 0;
    double late_failure_cost = 0;
    // Requests a second that may be sent straight to the origin while no cache and no parent is known that
    // may be used; classes that run there anyway are not counted. 0: none, they are refused.
    double origin_only_requests_per_s = 0;
};

enum class EndpointState { ready, draining, removed };
enum class EndpointUpdateKind { incremental, full, snapshot, failed };

struct Endpoint {
    std::string name;
    double weight = 1;
    EndpointState state = EndpointState::ready;
    int zone = -1;
    Micros started_at = 0;  // when it last started; 0: long ago
    int kind = -1;
    std::int64_t cell = -1;
    // Known from an old list alone: it may have started anew unheard. It gets what a cache gets that starts
    // at this moment, and warms only from its first answer on. `since` is not looked at.
    bool unverified = false;
};

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

// How an answer came to be, or why its fill failed, where the site tells.
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

// Where a cache reports its load; below 0: not told.
struct LoadReport {
    double in_flight = -1;            // requests it holds
    double ingress_utilization = -1;  // transfers on its zone's link in over those that fit at full pace
};

// Events.
struct EndpointUpdate {
    std::int64_t version = 0;
    EndpointUpdateKind kind = EndpointUpdateKind::full;
    std::vector<Endpoint> endpoints;
};
struct RequestReceived {
    std::string id;
    int class_index = 0;  // place in Settings::classes
    int tenant = -1;
    std::string object;
    Micros time_left = 0;  // time left before this try is abandoned
    Micros shutdown_in =
        std::numeric_limits<Micros>::max();  // until the proxy itself is gone, where that is near
    double size_kb = 0;
    int purge_group = 0;
    int part = 0;
    bool client_retry = false;
    bool write = false;
};
struct ClientCancelled {
    std::string id;
};
struct GossipReceived {
    int from = 0;
    std::string bytes;
};
struct TimerExpired {
    std::uint64_t token = 0;
};
struct HealthCheckResult {
    std::string endpoint;
    AttemptStatus status = AttemptStatus::served;
    Micros elapsed = 0;
    LoadReport load;
};
struct ResponseStarted {
    std::string id;
    std::string endpoint;
    int attempt = 0;
    Micros elapsed = 0;
};
struct AttemptFinished {
    std::string id;
    int attempt = 0;
    std::string endpoint;
    AttemptStatus status = AttemptStatus::served;
    Micros elapsed = 0;
    bool request_finished = false;  // the request is finished, nothing more is owed
    CacheStatus cache_status = CacheStatus::unknown;
    Micros time_to_first_byte = 0;  // to the source's first byte or the fill's failure; 0: not told
    LoadReport load;
};
struct Purge {
    int purge_group = 0;
    Micros age = 0;
    std::string object;  // empty: the whole group
};
// How many routers there are now, for all that they bound together.
struct ClusterSizeChanged {
    int instance_count = 1;
    std::vector<int> instances_by_zone;  // in each zone
};
// This process itself stood still for so long until now: what is late by it is no server's doing.
struct ProcessStalled {
    Micros duration = 0;
};
using Event = std::variant<EndpointUpdate, RequestReceived, ClientCancelled, GossipReceived, TimerExpired,
                           HealthCheckResult, ResponseStarted, AttemptFinished, Purge, ClusterSizeChanged,
                           ProcessStalled>;

// Actions.
struct Lookup {
    std::string id;
    std::string endpoint;
    Micros timeout = 0;
};
struct Forward {
    std::string id;
    Micros timeout = 0;
    std::string endpoint;
    Micros max_age = 0;  // oldest copy that will do; 0: the class's fresh time
    bool coalesce = false;
    bool source_cached_only = false;     // the source gives only what it holds
    bool parent_bypasses_cache = false;  // the parent keeps no copy
    bool revalidate = false;             // fetch an ageing copy anew while serving it
    std::string source = {};             // the cache itself: no fill
    int cache_priority = 0;
};
struct SetTimer {
    Micros at = 0;
    std::uint64_t token = 0;
};
struct Reject {
    std::string id;
    Micros retry_after = 0;
};
struct Fail {
    std::string id;
};
struct Cancel {
    std::string id;
    int attempt = 0;
};
struct SendGossip {
    int to = -1;  // -1: all
    std::string bytes;
};
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

// One instance of the decisions. Event time is its only clock; all its chance comes from the seed.
class Router {
  public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    // Appends what is to be done at `now` about `event`. `now` never runs backwards.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sumackeel::routing
