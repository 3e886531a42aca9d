// Router: receives the events, calls the decision modules in dispatch order, and owns the request table.
//
// Normal path: the first request for an (object, part) leads a fill at the cache selected by hash. Later
// requests go to the same cache and share the fill. After a recent response, requests go directly to the
// cache that holds the copy.
#include "routing/router.h"

#include <algorithm>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

#include "routing/admission.h"
#include "routing/attempts.h"
#include "routing/cache_bypass.h"
#include "routing/cache_selection.h"

namespace sumackeel::routing {
namespace {

constexpr Micros kSweepInterval = 1 * kSecond;  // between removals of expired records
// After a failed endpoint list, plus the same amount of jitter.
constexpr Micros kMinWatchRetryDelay = kSecond / 2;
constexpr Micros kWaiterReleaseInterval = 8 * kMillisecond;  // between the waiters of a failed fill
constexpr std::uint64_t kSweepToken = 0;
constexpr std::uint64_t kWatchToken = 1;
constexpr std::uint64_t kFirstRequestToken = 2;

}  // namespace

class Router::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed) : context_(settings, seed) {}
    ~Impl() = default;
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void handle(Micros now, const Event& event, std::vector<Action>& actions) {
        context_.now = now;
        context_.actions = &actions;
        if (!std::exchange(started_, true)) {
            set_sweep_timer();
            if (settings().endpoints_on_request) context_.emit(WatchEndpoints{true});
        }
        std::visit([this](const auto& e) { on(e); }, event);
    }

    bool can_receive(const std::string& endpoint) {
        const Target* target = endpoints_.find(endpoint);
        return target && target->entry.state == EndpointState::ready;
    }

    Micros purge_age_limit(Micros now, const std::string& object, int purge_group) const {
        return purges_.age_limit(now, object, purge_group);
    }

  private:
    // Endpoint and cluster events.
    void on(const EndpointUpdate& update);
    void on(const HealthCheckResult& result);
    void on(const ClusterSizeChanged& size);
    void on(const Purge& purge) { purges_.record(purge); }
    void on(const GossipReceived&) {}
    void on(const ProcessStalled& stall);

    // Request events.
    void on(const RequestReceived& arrival);
    void on(const ClientCancelled& cancelled);
    void on(const TimerExpired& timer);
    void on(const ResponseStarted& started);
    void on(const AttemptFinished& result);

    void dispatch(Request& request);
    void join_fill(const Request& request, CachedCopy& copy, RoutePlan& plan, bool shared);
    void retry(Request& request, const AttemptFinished& result);
    void refuse(const Request& request);
    void end_fill(const std::string& key, const std::string& leader);
    void fail_fill(const std::string& key, const std::string& leader);
    void replace_leader(const std::string& key, const std::string& leader);

    Request* find_request(const std::string& id);
    void erase_request(const std::string& id);
    void sweep();
    void set_sweep_timer() { context_.emit(SetTimer{context_.now + kSweepInterval, kSweepToken}); }

    const Settings& settings() const { return context_.settings; }

    // Modules are declared in dependency order: each one refers only to modules above it.
    DecisionContext context_;
    TransferTimes transfer_times_{context_};
    SlowStart slow_start_{context_, transfer_times_};
    EndpointTable endpoints_{context_, slow_start_};
    LoadEstimate load_{context_, endpoints_, slow_start_};
    LatencyPrediction latency_{context_, load_};
    CircuitBreaker breaker_{context_, endpoints_};
    OriginThrottle origin_throttle_{context_, endpoints_, breaker_};
    OutlierDetection outliers_{context_, endpoints_, breaker_, load_, latency_};
    PurgeLog purges_{context_};
    Eligibility eligibility_{context_, slow_start_};
    FillCoalescing fills_{context_, purges_, eligibility_};
    FillSource fill_source_{context_, endpoints_,       slow_start_, eligibility_, breaker_,
                            fills_,   origin_throttle_, load_,       latency_};
    CacheSelection selection_{context_, endpoints_, slow_start_,  eligibility_, breaker_,
                              purges_,  fills_,     fill_source_, load_,        latency_};
    CacheBypass bypass_{context_, endpoints_, eligibility_, breaker_, fill_source_, latency_};
    Admission admission_{context_, load_, latency_};
    RetryBudget retries_{context_, origin_throttle_};
    Attempts attempts_{context_, endpoints_,       slow_start_, breaker_, purges_,
                       retries_, origin_throttle_, outliers_,   load_,    latency_};

    std::unordered_map<std::string, Request> requests_;             // by id
    std::unordered_map<std::uint64_t, std::string> ids_by_serial_;  // from timer token to request id
    std::uint64_t next_serial_ = kFirstRequestToken;
    bool started_ = false;
};

void Router::Impl::on(const EndpointUpdate& update) {
    if (update.kind != EndpointUpdateKind::failed) return endpoints_.update(update);
    const Micros at = context_.now + kMinWatchRetryDelay + context_.jitter(kMinWatchRetryDelay);
    context_.emit(SetTimer{at, kWatchToken});
}

void Router::Impl::on(const HealthCheckResult& result) {
    if (Target* target = endpoints_.find(result.endpoint)) load_.record_report(*target, result.load);
}

void Router::Impl::on(const ClusterSizeChanged& size) {
    context_.settings.instance_count = size.instance_count;
    context_.settings.instances_by_zone = size.instances_by_zone;
}

void Router::Impl::on(const ProcessStalled& stall) {
    attempts_.skip_stall(stall.duration);
    endpoints_.skip_stall(stall.duration);
}

void Router::Impl::on(const RequestReceived& arrival) {
    const ClassSettings& class_settings = settings().classes[arrival.class_index];
    Request& request = requests_[arrival.id];
    request.arrival = arrival;
    request.serial = next_serial_++;
    ids_by_serial_[request.serial] = arrival.id;
    request.transfer_time = transfer_times_.record(arrival);
    request.arrived_at = context_.now;
    retries_.set_deadlines(request);
    const auto stretch =
        static_cast<Micros>(class_settings.latency_objective_stretch * request.transfer_time);
    const Micros objective = class_settings.latency_objective + stretch;
    request.objective_at = context_.now + std::min<Micros>(arrival.time_left, objective);
    request.key = arrival.object + '/' + std::to_string(arrival.part);
    retries_.record_request();
    if (is_cacheable(settings(), request)) fills_.record_request(request);
    dispatch(request);
}

void Router::Impl::on(const ClientCancelled& cancelled) {
    const Request* request = find_request(cancelled.id);
    if (!request) return;
    const CachedCopy* copy = fills_.find(request->key);
    const bool shared = copy && copy->leader == cancelled.id && !copy->waiters.empty();
    if (settings().cancellation_allowed && !shared && !request->streaming) {
        for (std::size_t i = 0; i < request->attempts.size(); ++i)
            if (request->attempts[i].in_flight) context_.emit(Cancel{cancelled.id, static_cast<int>(i)});
    }
    const std::string key = request->key;
    erase_request(cancelled.id);
    replace_leader(key, cancelled.id);
}

void Router::Impl::on(const TimerExpired& timer) {
    if (timer.token == kSweepToken) return sweep();
    if (timer.token == kWatchToken) return context_.emit(WatchEndpoints{true});
    const auto found = ids_by_serial_.find(timer.token);
    if (found == ids_by_serial_.end()) return;
    Request& request = requests_.at(found->second);
    if (request.has_attempt_in_flight()) return;
    request.waiting_for_fill = false;
    request.may_wait_for_fill = false;
    dispatch(request);
}

void Router::Impl::on(const ResponseStarted& started) {
    if (Request* request = find_request(started.id)) request->streaming = true;
}

void Router::Impl::on(const AttemptFinished& result) {
    attempts_.finish(result);
    Request* request = find_request(result.id);
    if (!request) return;
    const auto number = static_cast<std::size_t>(result.attempt);
    if (number >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[number];
    attempt.in_flight = false;
    if (proves_not_run(result.status)) attempt.may_have_run = false;
    const bool served = result.status == AttemptStatus::served;
    if (served && is_cacheable(settings(), *request)) fills_.record_served(*request, attempt);
    const std::string key = request->key;
    const bool request_done =
        result.request_finished || request->streaming || request->has_attempt_in_flight();
    if (result.request_finished) erase_request(result.id);
    if (result.request_finished && served)
        end_fill(key, result.id);
    else
        fail_fill(key, result.id);
    if (!request_done) retry(*request, result);
}

// Dispatch order: wait for a fill, select a cache, bypass the caches, shed load, send.
void Router::Impl::dispatch(Request& request) {
    if (!retries_.attempts_left(request) || context_.now >= request.last_useful_send) return refuse(request);
    const bool cacheable = is_cacheable(settings(), request);
    CachedCopy* copy = cacheable ? &fills_.find_or_create(request.key) : nullptr;
    const bool shared = copy && fills_.can_share(*copy, request) && copy->leader != request.arrival.id;
    if (shared && !fills_.may_coalesce(*copy, request) && request.may_wait_for_fill &&
        fills_.has_room_to_wait(*copy))
        return fills_.enqueue(request, *copy);
    RoutePlan plan = selection_.choose(request, copy, shared);
    if (!plan.cache || !breaker_.admits(*plan.cache)) {
        const RoutePlan bypass = bypass_.choose(request);
        if (bypass.cache) return attempts_.send(request, bypass, copy);
    }
    if (!plan.cache || admission_.should_shed(request, plan)) return refuse(request);
    if (copy) join_fill(request, *copy, plan, shared);
    attempts_.send(request, plan, copy);
}

void Router::Impl::join_fill(const Request& request, CachedCopy& copy, RoutePlan& plan, bool shared) {
    plan.coalesce = fills_.may_coalesce(copy, request);
    plan.shared = shared && plan.cache == copy.fill_cache;
    if (plan.shared)
        fills_.share(request, copy);
    else if (plan.fill || copy.leader.empty())
        fills_.lead(request, copy, plan);
}

void Router::Impl::retry(Request& request, const AttemptFinished& result) {
    const RetryDecision decision = retries_.decide(request, result);
    switch (decision.kind) {
        case RetryKind::give_up:
            return refuse(request);
        case RetryKind::now:
            return dispatch(request);
        case RetryKind::later:
            return context_.emit(SetTimer{decision.at, request.serial});
    }
}

void Router::Impl::refuse(const Request& request) {
    admission_.refuse(request);
    const std::string id = request.arrival.id;
    const std::string key = request.key;
    erase_request(id);
    fail_fill(key, id);
}

// After a successful fill, dispatches its waiters immediately to the cached copy.
void Router::Impl::end_fill(const std::string& key, const std::string& leader) {
    for (const std::string& waiter : fills_.end_fill(key, leader)) {
        Request* request = find_request(waiter);
        if (!request || !request->waiting_for_fill) continue;
        request->waiting_for_fill = false;
        dispatch(*request);
    }
}

// After a failed fill, spaces out its waiters: dispatched together, each would start a fill.
void Router::Impl::fail_fill(const std::string& key, const std::string& leader) {
    Micros at = context_.now;
    for (const std::string& waiter : fills_.end_fill(key, leader)) {
        const Request* request = find_request(waiter);
        if (!request || !request->waiting_for_fill) continue;
        at += kWaiterReleaseInterval;
        context_.emit(SetTimer{at, request->serial});
    }
}

// After the leader's client cancelled, makes the next waiter the leader; the others wait for it.
void Router::Impl::replace_leader(const std::string& key, const std::string& leader) {
    std::list<std::string> waiters = fills_.end_fill(key, leader);
    while (!waiters.empty() && !requests_.contains(waiters.front())) waiters.pop_front();
    if (waiters.empty()) return;
    const std::string next = waiters.front();
    waiters.pop_front();
    Request& new_leader = requests_.at(next);
    if (new_leader.waiting_for_fill) {
        new_leader.waiting_for_fill = false;
        dispatch(new_leader);  // may start its own fill or be rejected
    } else {
        fills_.set_leader(key, next);
    }
    fills_.restore_waiters(key, next, std::move(waiters));
}

Request* Router::Impl::find_request(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void Router::Impl::erase_request(const std::string& id) {
    ids_by_serial_.erase(requests_.at(id).serial);
    requests_.erase(id);
}

void Router::Impl::sweep() {
    fills_.sweep();
    purges_.sweep();
    set_sweep_timer();
}

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
void Router::handle(Micros now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}
bool Router::can_receive(const std::string& endpoint) const {
    return impl_->can_receive(endpoint);
}
Micros Router::purge_age_limit(Micros now, const std::string& object, int purge_group) const {
    return impl_->purge_age_limit(now, object, purge_group);
}

}  // namespace sumackeel::routing
