#include "emulator/fleet_emulator.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

namespace sumackeel::emulator {

using namespace sumackeel::routing;

namespace {

enum Kind { cache, parent, origin };  // index in the settings' list of kinds

constexpr double kCacheWeight = 6;  // transfers at full rate
constexpr double kParentWeight = 60;
constexpr Micros kSourceFirstByte = 10 * kMillisecond;  // of a cached copy
constexpr Micros kIdleOriginFirstByte = 120 * kMillisecond;
constexpr Micros kOriginRestart = 5 * kSecond;
constexpr Micros kFillTimeout = 2 * kSecond;  // how long a cache waits for an unresponsive source
constexpr Micros kFirstPurgeDelay = 50 * kMillisecond;
constexpr Micros kPurgeDelayStep = 3 * kMillisecond;  // from router to router

}  // namespace

Settings fleet_settings(const FleetOptions& options) {
    Settings s;
    ClassSettings read;
    read.latency_objective = 400 * kMillisecond;
    read.latency_objective_stretch = 2;
    read.deadline = 3 * kSecond;
    s.classes = {read};
    s.instance_count = options.routers;
    for (int zone = 0; zone < options.zones; ++zone)
        s.instances_by_zone.push_back(options.routers / options.zones +
                                      (zone < options.routers % options.zones));
    s.region_by_zone.assign(options.zones, 0);
    s.parent_kind = Kind::parent;
    s.origin_kind = Kind::origin;
    s.transfer_rate_kb_per_s = 4'000;
    s.coalescing_allowed = true;
    s.cache_status_detail = CacheStatusDetail::all;
    s.weight_quality = WeightQuality::nominal;
    s.notification_grace = 300 * kMillisecond;
    s.purge_completes_within = 6 * kSecond;
    s.drain_grace = 2 * kSecond;
    s.cold_capacity_fraction = 0.16;
    s.warm_up_duration = 17 * kSecond;
    s.cold_overload_multiple = 4;
    s.overload_window = 1'500 * kMillisecond;
    s.parent_cold_fraction = 0.06;
    s.parent_slow_start = 21 * kSecond;
    s.parent_overload_multiple = 2;
    s.cancellation_allowed = true;
    s.hedging_allowed = true;
    s.max_attempts = 8;
    return s;
}

double Totals::max_work_within(const std::string& endpoint, Micros window) const {
    const auto found = work_sent.find(endpoint);
    if (found == work_sent.end()) return 0;
    double max_work = 0;
    double sum = 0;
    auto oldest = found->second.begin();
    for (const auto& [at, work] : found->second) {
        sum += work;
        for (; oldest->first <= at - window; ++oldest) sum -= oldest->second;
        max_work = std::max(max_work, sum);
    }
    return max_work;
}

int Totals::attempts_naming(const std::vector<std::string>& endpoints, Micros from, Micros to) const {
    int count = 0;
    for (const std::string& endpoint : endpoints) {
        const auto found = attempts_by_endpoint.find(endpoint);
        if (found == attempts_by_endpoint.end()) continue;
        const auto first = std::ranges::lower_bound(found->second, from);
        count += static_cast<int>(std::ranges::lower_bound(found->second, to) - first);
    }
    return count;
}

FleetEmulator::FleetEmulator(const FleetOptions& options)
    : options_(options), settings_(fleet_settings(options)), random_(options.seed) {
    if (options.routers < 1 || options.zones < 1 || options.objects < 1 || options.requests_per_s <= 0 ||
        options.origin_fills_per_s <= 0)
        throw std::invalid_argument("a fleet needs routers, zones, objects, asks and an origin that fills");
    double sum = 0;
    for (int i = 0; i < options.objects; ++i) {
        sum += 1.0 / (i + 10);
        cumulative_popularity_.push_back(sum);
    }
    const auto add = [this](const std::string& name, int zone, Kind kind, double weight) {
        endpoints_.push_back({.name = name, .weight = weight, .zone = zone, .kind = kind});
    };
    for (int zone = 0; zone < options.zones; ++zone)
        for (int i = 0; i < options.caches_per_zone; ++i)
            add(cache_name(zone, i), zone, Kind::cache, kCacheWeight);
    for (int i = 0; i < options.parents; ++i) add("p" + std::to_string(i), 0, Kind::parent, kParentWeight);
    add("origin", 0, Kind::origin, 1);
    for (std::size_t i = 0; i < static_cast<std::size_t>(options.routers); ++i)
        routers_.push_back(make_router(i));
    running_.assign(routers_.size(), true);
    router_generations_.assign(routers_.size(), 0);
    handle_by_all(EndpointUpdate{1, EndpointUpdateKind::full, endpoints_});
    for (std::size_t i = 0; i < routers_.size(); ++i) schedule_request(i);
}

Router FleetEmulator::make_router(std::size_t number) {
    Settings own = settings_;
    own.instance_index = static_cast<int>(number);
    own.own_zone = own.instance_index % options_.zones;
    return Router(own, random_());
}

void FleetEmulator::power_off() {
    running_.assign(running_.size(), false);
    open_.clear();
    in_flight_.clear();
    copies_.clear();
    filled_at_.clear();
    origin_free_at_ = now_;
}

void FleetEmulator::power_on() {
    for (Endpoint& endpoint : endpoints_)
        if (endpoint.kind != Kind::origin) endpoint.started_at = now_;
}

void FleetEmulator::start_router(std::size_t router) {
    routers_[router] = make_router(router);
    running_[router] = true;
    ++router_generations_[router];
    handle(router, EndpointUpdate{3, EndpointUpdateKind::full, endpoints_});
}

// The router that takes a request of this router's client: itself if ready, else a random one that is. If
// none is ready, the router itself, where the request counts as unhandled.
std::size_t FleetEmulator::router_for_client_of(std::size_t number) {
    const auto can_take = [this](std::size_t i) { return running_[i] && (!is_ready || is_ready(i)); };
    if (can_take(number)) return number;
    const std::size_t from = random_() % routers_.size();
    for (std::size_t i = 0; i < routers_.size(); ++i) {
        const std::size_t candidate = (from + i) % routers_.size();
        if (can_take(candidate)) return candidate;
    }
    return number;
}

void FleetEmulator::schedule(Micros at, std::function<void()> callback) {
    ++timer_count_;
    timers_.push({at, timer_count_, std::move(callback)});
}

void FleetEmulator::run_for(Micros duration) {
    const Micros end = now_ + duration;
    while (!timers_.empty() && timers_.top().at <= end) {
        const Timer timer = timers_.top();
        timers_.pop();
        now_ = timer.at;
        timer.callback();
    }
    now_ = end;
}

void FleetEmulator::purge_all() {
    copies_.clear();
    for (std::size_t i = 0; i < routers_.size(); ++i) {
        const Micros at = now_ + kFirstPurgeDelay + static_cast<Micros>(i) * kPurgeDelayStep;
        schedule(at, [this, i, issued_at = now_] { handle(i, Purge{0, now_ - issued_at, ""}); });
    }
}

void FleetEmulator::restart(const std::vector<std::string>& endpoints) {
    EndpointUpdate update{2, EndpointUpdateKind::incremental, {}};
    for (Endpoint& endpoint : endpoints_) {
        if (std::ranges::find(endpoints, endpoint.name) == endpoints.end()) continue;
        endpoint.started_at = now_;
        copies_.erase(endpoint.name);
        update.endpoints.push_back(endpoint);
    }
    handle_by_all(update);
}

void FleetEmulator::reconnect(const std::vector<std::string>& endpoints) {
    for (const std::string& endpoint : endpoints) {
        disconnected_.erase(endpoint);
        copies_.erase(endpoint);
        filled_at_.erase(endpoint);
    }
}

double FleetEmulator::overload_work(const std::string& endpoint, Micros age) const {
    const Endpoint& found = find_endpoint(endpoint);
    const bool is_parent = found.kind == Kind::parent;
    const double from = is_parent ? settings_.parent_cold_fraction : settings_.cold_capacity_fraction;
    const Micros duration = is_parent ? settings_.parent_slow_start : settings_.warm_up_duration;
    const double multiple = is_parent ? settings_.parent_overload_multiple : settings_.cold_overload_multiple;
    const double done = static_cast<double>(age) / static_cast<double>(duration);
    const double ramp = from + (1 - from) * std::min(1.0, done);
    return multiple * found.weight * ramp * static_cast<double>(settings_.overload_window);
}

const Endpoint& FleetEmulator::find_endpoint(const std::string& name) const {
    const auto found = std::ranges::find(endpoints_, name, &Endpoint::name);
    if (found == endpoints_.end()) throw std::invalid_argument("no endpoint of the name " + name);
    return *found;
}

Micros FleetEmulator::transfer_time() const {
    return static_cast<Micros>(options_.object_kb / settings_.transfer_rate_kb_per_s * kSecond);
}

// Requests of a router's own clients come at random intervals.
void FleetEmulator::schedule_request(std::size_t router) {
    const double rate = options_.requests_per_s / options_.routers;
    const double interval = -std::log(1 - std::uniform_real_distribution<>(0, 1)(random_)) / rate;
    schedule(now_ + static_cast<Micros>(interval * kSecond), [this, router] {
        const double popularity = std::uniform_real_distribution<>(0, cumulative_popularity_.back())(random_);
        const auto object = std::ranges::lower_bound(cumulative_popularity_, popularity);
        RequestReceived request;
        request.id = std::to_string(router) + "-" + std::to_string(timer_count_);
        request.object = "o" + std::to_string(object - cumulative_popularity_.begin());
        request.time_left = settings_.classes[0].deadline;
        request.size_kb = options_.object_kb;
        deliver_request(router, request);
        schedule_request(router);
    });
}

void FleetEmulator::deliver_request(std::size_t router, const RequestReceived& request) {
    ++totals.requested;
    const std::size_t target = router_for_client_of(router);
    if (!running_[target] || (is_ready && !is_ready(target))) {
        ++totals.unhandled;
        return;
    }
    if (admit && !admit(target, request.object)) {
        ++totals.rejected;
        return;
    }
    open_[request.id] = {request.object, now_};
    handle(target, request);
}

void FleetEmulator::handle_by_all(const Event& event) {
    for (std::size_t i = 0; i < routers_.size(); ++i) handle(i, event);
}

void FleetEmulator::handle(std::size_t router, const Event& event) {
    if (!running_[router]) return;
    std::vector<Action> actions;
    routers_[router].handle(now_, event, actions);
    if (on_actions) on_actions(router, now_, actions);
    for (const Action& action : actions) {
        if (const auto* timer = std::get_if<SetTimer>(&action)) {
            const int generation = router_generations_[router];
            schedule(std::max(timer->at, now_ + 1), [this, router, token = timer->token, generation] {
                if (generation == router_generations_[router]) handle(router, TimerExpired{token});
            });
        }
        if (const auto* forward = std::get_if<Forward>(&action)) send(router, *forward);
        if (const auto* reject = std::get_if<Reject>(&action)) close_request(reject->id, totals.rejected);
        if (const auto* fail = std::get_if<Fail>(&action)) close_request(fail->id, totals.failed);
    }
}

void FleetEmulator::schedule_end(const EmulatedAttempt& attempt, Micros at, const AttemptEnd& end) {
    schedule(at, [this, attempt, end] { finish(attempt, end); });
}

// Only the first end of an attempt counts: its timeout or its endpoint's result.
void FleetEmulator::finish(const EmulatedAttempt& attempt, const AttemptEnd& end) {
    const std::string& id = attempt.forward.id;
    if (!in_flight_.erase({id, attempt.number})) return;
    const bool served = end.status == AttemptStatus::served;
    const auto request = open_.find(id);
    const bool open = request != open_.end();
    AttemptFinished result;
    result.id = id;
    result.attempt = attempt.number;
    result.endpoint = attempt.forward.endpoint;
    result.status = end.status;
    result.elapsed = now_ - attempt.sent_at;
    result.request_finished = served || !open;
    result.cache_status = end.cache_status;
    result.time_to_first_byte = end.first_byte;
    if (served && open) {
        if (on_served) on_served(attempt.router, request->second.object, end.cache_status);
        const Micros objective = settings_.classes[0].latency_objective + transfer_time() * 2;
        if (now_ - request->second.arrived_at <= objective) ++totals.in_time;
        close_request(id, totals.served);
    }
    handle(attempt.router, result);
}

void FleetEmulator::record_work(const std::string& endpoint) {
    totals.work_sent[endpoint][now_] += static_cast<double>(transfer_time());
}

void FleetEmulator::keep_copy(const std::string& endpoint, const std::string& object, Micros from) {
    schedule(from, [this, endpoint, object] { copies_[endpoint].insert(object); });
}

void FleetEmulator::send(std::size_t router, const Forward& forward) {
    OpenRequest& request = open_.at(forward.id);
    const EmulatedAttempt attempt{router, forward, request.object, request.attempts++, now_};
    in_flight_.insert({forward.id, attempt.number});
    totals.attempts_by_endpoint[forward.endpoint].push_back(now_);
    if (forward.timeout > 0)
        schedule_end(attempt, now_ + forward.timeout, {AttemptStatus::timed_out, CacheStatus::unknown});
    if (disconnected_.contains(forward.endpoint)) return;
    record_work(forward.endpoint);
    if (copies_[forward.endpoint].contains(attempt.object))
        return schedule_end(attempt, now_ + transfer_time(), {AttemptStatus::served, CacheStatus::hit});
    Micros& filled_at = filled_at_[forward.endpoint][attempt.object];
    if (forward.coalesce && filled_at > now_) return share_fill(attempt, filled_at);
    if (forward.source == forward.endpoint)
        return schedule_end(attempt, now_ + kMillisecond, {AttemptStatus::not_found, CacheStatus::unknown});
    send_to_source(attempt, filled_at);
}

void FleetEmulator::share_fill(const EmulatedAttempt& attempt, Micros filled_at) {
    schedule(filled_at + 1, [this, attempt] {
        const bool filled = copies_[attempt.forward.endpoint].contains(attempt.object);
        finish(attempt, filled ? AttemptEnd{AttemptStatus::served, CacheStatus::coalesced}
                               : AttemptEnd{AttemptStatus::error, CacheStatus::source_unreachable});
    });
}

// Fills the copy; `filled_at` is set to the fill's end.
void FleetEmulator::send_to_source(const EmulatedAttempt& attempt, Micros& filled_at) {
    const std::string& source = attempt.forward.source;
    const AttemptEnd unreachable{AttemptStatus::error, CacheStatus::source_unreachable};
    totals.attempts_by_endpoint[source].push_back(now_);
    if (disconnected_.contains(source)) return schedule_end(attempt, now_ + kFillTimeout, unreachable);
    record_work(source);
    const bool cached = copies_[source].contains(attempt.object);
    if (!cached && attempt.forward.source_cached_only)
        return schedule_end(attempt, now_ + kSourceFirstByte,
                            {AttemptStatus::not_found, CacheStatus::source_missing});
    if (!cached && now_ < origin_up_at_) return schedule_end(attempt, now_ + kFillTimeout, unreachable);
    const Micros first_byte = cached ? kSourceFirstByte : queue_at_origin();
    filled_at = now_ + first_byte + transfer_time();
    if (!cached && options_.origin_max_wait > 0) return fill_from_fallible_origin(attempt, first_byte);
    keep_copy(attempt.forward.endpoint, attempt.object, filled_at);
    if (!cached) keep_copy(source, attempt.object, filled_at);
    const CacheStatus cache_status = cached ? CacheStatus::filled : CacheStatus::filled_by_origin;
    schedule_end(attempt, filled_at, {AttemptStatus::served, cache_status, first_byte});
}

// Adds a fill to the origin's queue, where it stays even after its attempt has timed out. Returns the time to
// its first byte.
Micros FleetEmulator::queue_at_origin() {
    totals.origin_fills.push_back(now_);
    const auto interval = static_cast<Micros>(kSecond / options_.origin_fills_per_s);
    origin_free_at_ = std::max(origin_free_at_, now_) + interval;
    const Micros wait = origin_free_at_ - now_;
    const double queue = static_cast<double>(wait) / static_cast<double>(interval);
    totals.max_origin_queue = std::max(totals.max_origin_queue, queue);
    if (options_.origin_max_wait > 0 && wait > options_.origin_max_wait) {
        ++totals.origin_crashes;
        origin_crashed_at_ = now_;
        origin_up_at_ = now_ + kOriginRestart;
        origin_free_at_ = origin_up_at_;
    }
    return wait + kIdleOriginFirstByte;
}

// Fills in progress when the origin crashes never end; the cache notices by its own timeout.
void FleetEmulator::fill_from_fallible_origin(const EmulatedAttempt& attempt, Micros first_byte) {
    schedule(now_ + first_byte, [this, attempt, first_byte] {
        const bool crashed = origin_crashed_at_ >= attempt.sent_at && origin_crashed_at_ <= now_;
        if (crashed) {
            const Micros noticed_at = std::max(now_ + 1, attempt.sent_at + kFillTimeout);
            return schedule_end(attempt, noticed_at, {AttemptStatus::error, CacheStatus::source_unreachable});
        }
        schedule(now_ + transfer_time(), [this, attempt, first_byte] {
            copies_[attempt.forward.endpoint].insert(attempt.object);
            copies_[attempt.forward.source].insert(attempt.object);
            finish(attempt, {AttemptStatus::served, CacheStatus::filled_by_origin, first_byte});
        });
    });
}

}  // namespace sumackeel::emulator
