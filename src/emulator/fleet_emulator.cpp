#include "emulator/fleet_emulator.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <variant>

namespace sumackeel::emulator {

using namespace sumackeel::routing;

namespace {

enum Kind { kCache, kParent, kOrigin };  // places in the settings' list of kinds

constexpr double kCacheWeight = 6, kParentWeight = 60;  // transfers at full pace
constexpr Micros kFillWay = 10 * kMs;                   // to a source's first byte
constexpr Micros kOriginWay = 120 * kMs;                // the same from an idle origin
constexpr Micros kOriginDown = 5 * kSecond;
constexpr Micros kFillTimeout = 2 * kSecond;  // a cache waits no longer for a source that says nothing
constexpr Micros kToldFirst = 50 * kMs, kToldApart = 3 * kMs;  // a purge, from router to router

}  // namespace

Settings settings(const FleetOptions& shape) {
    Settings s;
    ClassSettings read;
    read.latency_objective = 400 * kMs, read.latency_objective_stretch = 2, read.deadline = 3 * kSecond;
    s.classes = {read};
    s.instance_count = shape.routers;
    for (int zone = 0; zone < shape.zones; ++zone)
        s.instances_by_zone.push_back(shape.routers / shape.zones + (zone < shape.routers % shape.zones));
    s.region_by_zone.assign(shape.zones, 0);
    s.parent_kind = kParent, s.origin_kind = kOrigin;
    s.transfer_rate_kb_per_s = 4'000;
    s.coalescing_allowed = true;
    s.cache_status_detail = CacheStatusDetail::all;
    s.weight_quality = WeightQuality::nominal;
    s.notification_grace = 300 * kMs, s.purge_completes_within = 6 * kSecond, s.drain_grace = 2 * kSecond;
    s.cold_capacity_fraction = 0.16, s.warm_up_duration = 17 * kSecond, s.cold_overload_multiple = 4,
    s.overload_window = 1'500 * kMs;
    s.parent_cold_fraction = 0.06, s.parent_slow_start = 21 * kSecond, s.parent_overload_multiple = 2;
    s.cancellation_allowed = s.hedging_allowed = true;
    s.max_attempts = 8;
    return s;
}

double Totals::most_within(const std::string& box, Micros window) const {
    const auto found = work_sent.find(box);
    if (found == work_sent.end()) return 0;
    double most = 0, sum = 0;
    auto tail = found->second.begin();
    for (const auto& [at, work] : found->second) {
        for (sum += work; tail->first <= at - window; ++tail) sum -= tail->second;
        most = std::max(most, sum);
    }
    return most;
}

int Totals::named_between(const std::vector<std::string>& boxes, Micros from, Micros to) const {
    int count = 0;
    for (const std::string& box : boxes) {
        const auto found = named.find(box);
        if (found == named.end()) continue;
        const auto first = std::ranges::lower_bound(found->second, from);
        count += static_cast<int>(std::ranges::lower_bound(found->second, to) - first);
    }
    return count;
}

FleetEmulator::FleetEmulator(const FleetOptions& shape)
    : shape_(shape), set_(settings(shape)), chance_(shape.seed) {
    if (shape.routers < 1 || shape.zones < 1 || shape.objects < 1 || shape.asks_per_s <= 0 ||
        shape.origin_fills_per_s <= 0)
        throw std::invalid_argument("a fleet needs routers, zones, objects, asks and an origin that fills");
    double sum = 0;
    for (int i = 0; i < shape.objects; ++i) popularity_.push_back(sum += 1.0 / (i + 10));
    const auto add = [this](const std::string& name, int zone, Kind kind, double weight) {
        entries_.push_back({.name = name, .weight = weight, .zone = zone, .kind = kind});
    };
    for (int zone = 0; zone < shape.zones; ++zone)
        for (int i = 0; i < shape.caches_a_zone; ++i) add(box(zone, i), zone, kCache, kCacheWeight);
    for (int i = 0; i < shape.parents; ++i) add("p" + std::to_string(i), 0, kParent, kParentWeight);
    add("origin", 0, kOrigin, 1);
    for (std::size_t i = 0; i < static_cast<std::size_t>(shape.routers); ++i) routers_.push_back(router(i));
    running_.assign(routers_.size(), true), lives_.assign(routers_.size(), 0);
    tell_all(EndpointUpdate{1, EndpointUpdateKind::full, entries_});
    for (std::size_t i = 0; i < routers_.size(); ++i) next_ask(i);
}

Router FleetEmulator::router(std::size_t number) {
    Settings own = set_;
    own.instance_index = static_cast<int>(number), own.own_zone = own.instance_index % shape_.zones;
    return Router(own, chance_());
}

void FleetEmulator::power_off() {
    running_.assign(running_.size(), false);
    open_.clear(), out_.clear(), held_.clear(), filling_.clear();
    origin_free_ = now_;
}

void FleetEmulator::power_back() {
    for (Endpoint& entry : entries_)
        if (entry.kind != kOrigin) entry.started_at = now_;
}

void FleetEmulator::start(std::size_t number) {
    routers_[number] = router(number);
    running_[number] = true, ++lives_[number];
    tell(number, EndpointUpdate{3, EndpointUpdateKind::full, entries_});
}

// Who takes the request of a client of this router's: itself, or one by chance that is ready; none: its own
// number, and it is lost there.
std::size_t FleetEmulator::taker(std::size_t number) {
    const auto takes = [this](std::size_t i) { return running_[i] && (!ready || ready(i)); };
    if (takes(number)) return number;
    const std::size_t from = chance_() % routers_.size();
    for (std::size_t i = 0; i < routers_.size(); ++i)
        if (takes((from + i) % routers_.size())) return (from + i) % routers_.size();
    return number;
}

void FleetEmulator::run_for(Micros span) {
    const Micros end = now_ + span;
    while (!due_.empty() && due_.top().at <= end) {
        const Due due = due_.top();
        due_.pop();
        now_ = due.at;
        due.what();
    }
    now_ = end;
}

void FleetEmulator::purge_all() {
    held_.clear();
    for (std::size_t i = 0; i < routers_.size(); ++i)
        at(now_ + kToldFirst + static_cast<Micros>(i) * kToldApart, [this, i, then = now_] {
            tell(i, Purge{0, now_ - then, ""});
        });
}

void FleetEmulator::restart(const std::vector<std::string>& boxes) {
    EndpointUpdate news{2, EndpointUpdateKind::incremental, {}};
    for (Endpoint& entry : entries_)
        if (std::ranges::find(boxes, entry.name) != boxes.end()) {
            entry.started_at = now_;
            held_.erase(entry.name);
            news.endpoints.push_back(entry);
        }
    tell_all(news);
}

void FleetEmulator::come_back(const std::vector<std::string>& boxes) {
    for (const std::string& box : boxes) lost_.erase(box), held_.erase(box), filling_.erase(box);
}

double FleetEmulator::breaks_at(const std::string& box, Micros ago) const {
    const Endpoint& found = entry(box);
    const bool parent = found.kind == kParent;
    const double from = parent ? set_.parent_cold_fraction : set_.cold_capacity_fraction;
    const double grown = static_cast<double>(ago) /
                         static_cast<double>(parent ? set_.parent_slow_start : set_.warm_up_duration);
    return (parent ? set_.parent_overload_multiple : set_.cold_overload_multiple) * found.weight *
           (from + (1 - from) * std::min(1.0, grown)) * static_cast<double>(set_.overload_window);
}

const Endpoint& FleetEmulator::entry(const std::string& name) const {
    const auto found = std::ranges::find(entries_, name, &Endpoint::name);
    if (found == entries_.end()) throw std::invalid_argument("no box of the name " + name);
    return *found;
}

Micros FleetEmulator::work() const {
    return static_cast<Micros>(shape_.kb / set_.transfer_rate_kb_per_s * kSecond);
}

void FleetEmulator::next_ask(std::size_t router) {
    const double rate = shape_.asks_per_s / shape_.routers;
    const double gap = -std::log(1 - std::uniform_real_distribution<>(0, 1)(chance_)) / rate;
    at(now_ + static_cast<Micros>(gap * kSecond), [this, router] {
        const double where = std::uniform_real_distribution<>(0, popularity_.back())(chance_);
        RequestReceived ask;
        ask.id = std::to_string(router) + "-" + std::to_string(order_);
        ask.object = "o" + std::to_string(std::ranges::lower_bound(popularity_, where) - popularity_.begin());
        ask.time_left = set_.classes[0].deadline;
        ask.size_kb = shape_.kb;
        ++totals.asked;
        const std::size_t by = taker(router);
        if (!running_[by] || (ready && !ready(by))) {
            ++totals.lost;
        } else if (gate && !gate(by, ask.object)) {
            ++totals.refused;
        } else {
            open_[ask.id] = {ask.object, now_};
            tell(by, ask);
        }
        next_ask(router);
    });
}

void FleetEmulator::tell_all(const Event& event) {
    for (std::size_t i = 0; i < routers_.size(); ++i) tell(i, event);
}

void FleetEmulator::tell(std::size_t router, const Event& event) {
    if (!running_[router]) return;
    std::vector<Action> actions;
    routers_[router].handle(now_, event, actions);
    if (observe) observe(router, now_, actions);
    for (const Action& action : actions) {
        if (const auto* timer = std::get_if<SetTimer>(&action))
            at(std::max(timer->at, now_ + 1), [this, router, token = timer->token, life = lives_[router]] {
                if (life == lives_[router]) tell(router, TimerExpired{token});
            });
        if (const auto* serve = std::get_if<Forward>(&action)) send(router, *serve);
        if (const auto* refuse = std::get_if<Reject>(&action)) over(refuse->id, totals.refused);
        if (const auto* fail = std::get_if<Fail>(&action)) over(fail->id, totals.failed);
    }
}

// The first end of an attempt is its end: its time-out, or what the box makes of it.
void FleetEmulator::end(std::size_t router, AttemptFinished outcome, Micros sent) {
    if (!out_.erase({outcome.id, outcome.attempt})) return;
    const bool served = outcome.status == AttemptStatus::served;
    const auto found = open_.find(outcome.id);
    outcome.elapsed = now_ - sent;
    outcome.request_finished = served || found == open_.end();
    if (served && found != open_.end()) {
        if (answered) answered(router, found->second.object, outcome.cache_status);
        totals.in_time += now_ - found->second.asked <= set_.classes[0].latency_objective + work() * 2;
        over(outcome.id, totals.served);
    }
    tell(router, outcome);
}

void FleetEmulator::send(std::size_t router, const Forward& serve) {
    Open& open = open_.at(serve.id);
    const std::string object = open.object;
    const int attempt = open.attempts++;
    out_.insert({serve.id, attempt});
    const auto ends = [&](Micros when, AttemptStatus verdict, CacheStatus note, Micros first_byte = 0) {
        AttemptFinished outcome;
        outcome.id = serve.id, outcome.attempt = attempt, outcome.endpoint = serve.endpoint;
        outcome.status = verdict, outcome.cache_status = note, outcome.time_to_first_byte = first_byte;
        at(when, [this, router, outcome, sent = now_] { end(router, outcome, sent); });
    };
    const auto arrives = [&](const std::string& box) {
        totals.work_sent[box][now_] += static_cast<double>(work());
    };
    const auto keeps = [&](const std::string& box, Micros from) {
        at(from, [this, box, object] { held_[box].insert(object); });
    };
    totals.named[serve.endpoint].push_back(now_);
    if (serve.timeout > 0) ends(now_ + serve.timeout, AttemptStatus::timed_out, CacheStatus::unknown);
    if (lost_.contains(serve.endpoint)) return;
    arrives(serve.endpoint);
    if (held_[serve.endpoint].contains(object))
        return ends(now_ + work(), AttemptStatus::served, CacheStatus::hit);
    Micros& running = filling_[serve.endpoint][object];
    if (serve.coalesce && running > now_)
        return at(running + 1, [this, router, serve, attempt, object, sent = now_] {
            const bool came = held_[serve.endpoint].contains(object);
            AttemptFinished outcome;
            outcome.id = serve.id, outcome.attempt = attempt, outcome.endpoint = serve.endpoint;
            outcome.status = came ? AttemptStatus::served : AttemptStatus::error;
            outcome.cache_status = came ? CacheStatus::coalesced : CacheStatus::source_unreachable;
            end(router, outcome, sent);
        });
    if (serve.source == serve.endpoint)
        return ends(now_ + kMs, AttemptStatus::not_found, CacheStatus::unknown);
    totals.named[serve.source].push_back(now_);
    if (lost_.contains(serve.source))
        return ends(now_ + kFillTimeout, AttemptStatus::error, CacheStatus::source_unreachable);
    arrives(serve.source);
    const bool held = held_[serve.source].contains(object);
    if (!held && serve.source_cached_only)
        return ends(now_ + kFillWay, AttemptStatus::not_found, CacheStatus::source_missing);
    Micros first_byte = kFillWay;
    if (!held) {
        if (now_ < origin_up_)
            return ends(now_ + kFillTimeout, AttemptStatus::error, CacheStatus::source_unreachable);
        totals.origin_fills.push_back(now_);
        // Danger to be seen: who waits no longer has had it asked for all the same.
        const auto each = static_cast<Micros>(kSecond / shape_.origin_fills_per_s);
        origin_free_ = std::max(origin_free_, now_) + each;
        const double waiting = static_cast<double>(origin_free_ - now_) / static_cast<double>(each);
        totals.longest_at_origin = std::max(totals.longest_at_origin, waiting);
        first_byte = origin_free_ - now_ + kOriginWay;
        if (shape_.origin_bears > 0 && origin_free_ - now_ > shape_.origin_bears) {
            ++totals.origin_fell;
            origin_fell_ = now_, origin_up_ = origin_free_ = now_ + kOriginDown;
        }
    }
    running = now_ + first_byte + work();
    // What the origin was at when it fell never comes: the cache notices once its own patience is over.
    const Micros comes = now_ + first_byte;
    if (!held && shape_.origin_bears > 0) {
        at(comes, [this, router, serve, attempt, object, asked = now_, comes, first_byte] {
            const bool fell = origin_fell_ >= asked && origin_fell_ <= comes;
            AttemptFinished outcome;
            outcome.id = serve.id, outcome.attempt = attempt, outcome.endpoint = serve.endpoint;
            outcome.status = fell ? AttemptStatus::error : AttemptStatus::served;
            outcome.cache_status = fell ? CacheStatus::source_unreachable : CacheStatus::filled_by_origin;
            outcome.time_to_first_byte = fell ? 0 : first_byte;
            at(fell ? std::max(now_ + 1, asked + kFillTimeout) : now_ + work(),
               [this, router, serve, object, outcome, fell, asked] {
                   if (!fell) held_[serve.endpoint].insert(object), held_[serve.source].insert(object);
                   end(router, outcome, asked);
               });
        });
        return;
    }
    keeps(serve.endpoint, running);
    if (!held) keeps(serve.source, running);
    ends(running, AttemptStatus::served, held ? CacheStatus::filled : CacheStatus::filled_by_origin,
         first_byte);
}

}  // namespace sumackeel::emulator
