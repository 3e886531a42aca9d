// Every decision of a router of where an object is served, kept and filled from.
// Its types, settings, events and actions are in include/routing/router.h.
//
// Ordinary path: a table of fills under way by (object, part). The first miss leads: it goes to the edge
// cache that the hash of (object, part) names and marks the part pending; later requests go to the same cache
// and join; after a recent hit requests go straight there. All else below is for when that path breaks.
#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "routing/bounded_map.h"
#include "routing/cache_ranking.h"
#include "routing/hash.h"
#include "routing/state.h"

namespace sumackeel::routing {
namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;

// Fill table.
constexpr std::size_t kMostCopies = 60'000;  // (object, part) records; about 10 MB
constexpr std::size_t kMostPurges = 60'000;  // purge notices kept; each only for the time caches need to obey
constexpr Micros kCopyMemory = 60 * kSecond;  // without a request for this long a part's record is dropped
constexpr Micros kRecentHit = 4 * kSecond;    // go straight to the cache that served the part this lately
constexpr Micros kLikelyHeld = 8 * kSecond;   // a copy unused for this long may have been displaced
constexpr double kRenewFrom = 0.8;  // of the fresh time; from here caches renew behind, as the wire states
constexpr double kHoldShareOfAim = 0.4;    // without joins a waiter is held for this part of its aim
constexpr Micros kRelease = 8 * kMs;       // waiters of a failed leader leave this far apart
constexpr std::size_t kMostWaiters = 512;  // waiters named in one entry; more just join
// Pick.
constexpr double kHotMemory = 3.0 * kSecond;  // time constant: how fast "often asked" is forgotten
constexpr double kHotShare = 0.25;            // of one cache's capacity; from here an object has two homes
constexpr double kMoveGain = 0.7;             // leaving the home must save this much: it costs a fill
constexpr double kHubStep = 0.4;              // a parent one hub further off gets this part of the objects
// Prediction.
constexpr double kFirstSizes = 5;          // this many of half the aim stand for a class not seen yet
constexpr double kBase = 30.0 * kMs;       // connection, network and small waits of any answer
constexpr double kFillDelay = 80.0 * kMs;  // first byte from a parent that may have to ask the origin
constexpr double kOriginMost = 64;         // answers through a parent that make up what is usual there
constexpr double kOriginCrowded = 1.3;     // waits this many times the usual one tell of a crowd
constexpr double kOriginWild = 4;          // a single wait counts up to this many times the usual one
constexpr double kOriginHolds = 64;        // fills of all routers that may wait at a crowded origin
constexpr double kMostHits = 0.95,
                 kHitGain = 0.05;    // hits among what we know nothing of; weight of the newest
constexpr double kLikelyMiss = 0.5;  // less likely misses are not refused for the sake of a fill
constexpr double kHitLike = 1.3;     // times a hit's own time; without notes, longer answers were fills
constexpr double kAimMargin = 1.15;  // arrivals still to come slow a transfer by about this much
constexpr double kLoadMemory = 5.0 * kSecond;  // others' load is taken from ours over about this time
constexpr double kLoadSamples = 6;  // transfers in that time at a cache: its history against the zone's mean
constexpr double kReportFades = 1.5 * kSecond;  // a load report is worth less and less from its arrival on
constexpr double kKnownCrowd = 4;  // the same of fills where few share the link: many are past it already
constexpr int kFewRouters = 3;     // in a zone: up to here most of its fills are known, beyond it guessed
constexpr double kCrowded = 1.5;   // transfers over capacity at which a late one hurts the others
// Health.
constexpr double kGain = 0.25;                // weight of the newest answer in lateness and failure rate
constexpr double kLateFades = 6.0 * kSecond;  // time constant; unfaded, nobody would ask a late target again
constexpr double kMostLate = 20;              // a bound, so that one wild answer is forgotten in time
constexpr double kSlowFailure = 1.5;          // failures this far over the expected time are given-up waits
constexpr Micros kCalm = 8;                   // successes that forget most of the back-off
constexpr double kToldLost = 1.6;             // weight of a source that a cache says it did not reach
constexpr double kOpenAt = 0.45;              // failure rate that opens the breaker
constexpr Micros kQuickRefusal = 8 * kMs;     // a cache's own refusal takes a way within the zone, no more
constexpr int kLostFor = 3;  // times in a row not reached: the process is gone, and comes back cold
constexpr Micros kFirstOpen = 1 * kSecond, kLongestOpen = 8 * kSecond;  // back-off, doubled each time
// Attempts.
constexpr double kPatience = 4;              // time-out as a multiple of the predicted time
constexpr Micros kLeastTimeout = 250 * kMs;  // small objects: connection and source take longer than they do
constexpr Micros kEndMargin = 12 * kMs;      // the last attempt ends this long before the client gives up
constexpr Micros kLeastUse = 20 * kMs;       // less time than this serves nobody
constexpr double kRetryPerRequest = 0.25;    // retry budget: share of requests that may be tried again
constexpr double kMostRetries = 20;          // retries saved up in quiet times
constexpr Micros kBackoff = 15 * kMs;        // second and later retries, doubled each time, with jitter
constexpr double kColdUse = 0.8;             // of the cold budget: weights are rough
constexpr double kTailDeviations = 3;        // chance that many routers' turns fall together, covered to here
constexpr Micros kSweep = 1 * kSecond;       // how often old records are dropped
constexpr std::uint64_t kSweepToken = 0, kWatchToken = 1, kFirstRequestToken = 2;

}  // namespace

class Router::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed) : set_(settings), rng_(seed) {
        // As if some sizes had been seen: the first may be odd ones.
        for (const ClassSettings& service : set_.classes)
            mean_.emplace_back(kFirstSizes * 0.5 * static_cast<double>(service.latency_objective),
                               kFirstSizes);
    }

    void handle(Micros now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        out_ = &actions;
        if (!std::exchange(started_, true)) {
            act(SetTimer{now_ + kSweep, kSweepToken});
            if (set_.endpoints_on_request) act(WatchEndpoints{true});
        }
        std::visit([this](const auto& e) { on(e); }, event);
    }

  private:
    // ---- events ----
    void on(const EndpointUpdate& news) {
        if (news.kind == EndpointUpdateKind::failed)
            return act(SetTimer{now_ + kSecond / 2 + jitter(kSecond / 2), kWatchToken});
        if (news.kind != EndpointUpdateKind::incremental)
            for (auto& [name, target] : targets_) target.entry.state = EndpointState::removed;
        for (const Endpoint& entry : news.endpoints) {
            Target& target = targets_[entry.name];
            const bool careful_before = target.entry.unverified;
            // Told once more out of an old list, it goes on where it was.
            const Micros since = !entry.unverified ? entry.started_at
                                 : careful_before  ? target.entry.started_at
                                                   : now_;
            if (target.entry.started_at != since) {
                target.health = Health{};  // a process that starts anew has no past
                start_cold(target, since);
            }
            target.entry = entry;
            target.entry.started_at = since;
            target.unproven = entry.unverified && (target.unproven || !careful_before);
            target.hash = hash_of(entry.name);
            if (entry.kind >= 0 && entry.kind == set_.origin_kind) origin_ = &target;
            target.role = entry.kind >= 0 && entry.kind == set_.origin_kind   ? Role::origin
                          : entry.kind >= 0 && entry.kind == set_.parent_kind ? Role::parent
                          : set_.own_zone < 0 || entry.zone == set_.own_zone  ? Role::cache
                                                                              : Role::foreign;
        }
        caches_.clear(), parents_.clear();
        for (auto& [name, target] : targets_) {
            if (target.entry.state != EndpointState::ready) continue;
            if (target.role == Role::cache) caches_.push_back(&target);
            if (target.role == Role::parent) parents_.push_back(&target);
        }
        zone_stale_ = true;
    }

    // The compact table over `caches_`, made anew after a list, a slow start, and once one is warm.
    void refresh_zone() {
        if (!zone_stale_ && now_ < next_warm_at_) return;
        zone_stale_ = false;
        next_warm_at_ = std::numeric_limits<Micros>::max();
        warm_capacity_ = 0;
        for (auto& [name, target] : targets_) target.place = kNoPlace;
        zone_.clear();
        for (Target* cache : caches_) {
            cache->place = zone_.size();
            const bool warm = is_warm(*cache);
            if (warm) warm_capacity_ += capacity(*cache);
            zone_.push_back({cache->hash, cache->entry.weight, cache, warm, cache->health.open});
        }
    }

    // Also notes when it will be.
    bool is_warm(const Target& cache) {
        const Micros since = cache.entry.started_at;
        if (since <= 0 || (set_.warm_up_duration <= 0 && !cache.unproven)) return true;
        const Micros warm_at = since + set_.warm_up_duration + set_.overload_window;
        if (cache.unproven) return false;
        if (now_ < warm_at) next_warm_at_ = std::min(next_warm_at_, warm_at);
        return now_ >= warm_at;
    }

    double zone_capacity() {
        if (zone_capacity_at_ != now_ || zone_stale_) {
            refresh_zone();
            zone_capacity_ = warm_capacity_;
            for (const ZoneCache& cache : zone_)
                if (!cache.warm) zone_capacity_ += capacity(*cache.target);
            zone_capacity_at_ = now_;
        }
        return zone_capacity_;
    }

    void mirror_breaker(const Target& target) {
        if (!zone_stale_ && target.place != kNoPlace) zone_[target.place].open = target.health.open;
    }

    void on(const RequestReceived& arrival) {
        const ClassSettings& service = set_.classes[arrival.class_index];
        Request& request = requests_[arrival.id];
        request.arrival = arrival;
        request.serial = next_serial_++;
        serials_[request.serial] = arrival.id;
        request.work = work_of(arrival);
        request.arrived = now_;
        request.deadline = now_ + std::min(arrival.time_left, arrival.shutdown_in);
        const auto sending = static_cast<Micros>(arrival.size_kb > 0 ? request.work : 0);  // no guess
        request.latest = request.deadline - kEndMargin - std::max(kLeastUse, sending);
        request.aim_at =
            now_ +
            std::min<Micros>(arrival.time_left,
                             service.latency_objective +
                                 static_cast<Micros>(service.latency_objective_stretch * request.work));
        request.key = arrival.object + '/' + std::to_string(arrival.part);
        retries_ = std::min(kMostRetries, retries_ + kRetryPerRequest);
        if (cacheable(request)) {
            Copy& copy = copies_.touch(request.key);
            copy.rate = {faded(copy.rate, 0, kHotMemory) + 1, now_};
            ++copy.asked;
        }
        dispatch(request);
    }

    void on(const ClientCancelled& left) {
        auto found = requests_.find(left.id);
        if (found == requests_.end()) return;
        Request& request = found->second;
        const Copy* copy = copies_.find(request.key);
        const bool joined = copy && copy->leader == left.id && !copy->waiters.empty();
        for (std::size_t i = 0; i < request.attempts.size(); ++i)
            if (request.attempts[i].out && set_.cancellation_allowed && !joined && !request.streaming)
                act(Cancel{left.id, static_cast<int>(i)});
        const std::string key = request.key;
        forget(left.id);
        leader_left(key, left.id);
    }

    void on(const TimerExpired& due) {
        if (due.token == kSweepToken) return sweep();
        if (due.token == kWatchToken) return act(WatchEndpoints{true});
        auto serial = serials_.find(due.token);
        if (serial == serials_.end()) return;
        Request& request = requests_.at(serial->second);
        if (any_out(request)) return;
        request.held = request.may_hold = false;
        dispatch(request);
    }

    void on(const ResponseStarted& started) {
        auto found = requests_.find(started.id);
        if (found != requests_.end()) found->second.streaming = true;
    }

    void on(const AttemptFinished& outcome) {
        land(outcome);
        auto found = requests_.find(outcome.id);
        if (found == requests_.end()) return;
        Request& request = found->second;
        const auto number = static_cast<std::size_t>(outcome.attempt);
        if (number >= request.attempts.size()) return;
        Attempt& attempt = request.attempts[number];
        attempt.out = false;
        if (proves_not_run(outcome.status)) attempt.may_have_run = false;
        const bool served = outcome.status == AttemptStatus::served;
        if (cacheable(request)) note_copy(request, attempt, served);
        const std::string key = request.key;
        const bool over = outcome.request_finished || request.streaming || any_out(request);
        if (outcome.request_finished) forget(outcome.id);
        fill_ended(key, outcome.id, outcome.request_finished && served);
        if (!over) retry(request, outcome.status, outcome.cache_status);
    }

    void on(const Purge& purge) {
        const std::string name =
            purge.object.empty() ? "group " + std::to_string(purge.purge_group) : "object " + purge.object;
        Micros& at = purges_.touch(name);
        at = std::max(at, now_ - purge.age);
    }

    void on(const HealthCheckResult& answer) {
        auto found = targets_.find(answer.endpoint);
        if (found != targets_.end()) note_report(found->second, answer.load);
    }

    void on(const ClusterSizeChanged& n) {
        set_.instance_count = n.instance_count, set_.instances_by_zone = n.instances_by_zone;
    }
    void on(const GossipReceived&) {}  // none is asked for

    // Attempts that are out and the transfers at their caches are judged as if the time had not passed.
    void on(const ProcessStalled& stalled) {
        for (auto& [name, flight] : flights_) flight.sent = std::min(now_, flight.sent + stalled.duration);
        for (auto& [name, target] : targets_)
            if (!target.flights.empty()) target.clock_at = std::min(now_, target.clock_at + stalled.duration);
    }

    // ---- the fill table ----
    bool cacheable(const Request& request) const {
        return !request.arrival.object.empty() && !service_of(request).uncacheable && !request.arrival.write;
    }

    // The fill under way that this request may share. An entry past its time is distrusted: a hung fill would
    // hold all who join it. A fill older than a purge would hand its joiners a purged copy.
    bool fill_shared(const Copy& copy, const Request& request) const {
        return !copy.leader.empty() && now_ < copy.distrust_at && copy.started > purged_at(request) &&
               copy.started > copy.cache->entry.started_at && usable(*copy.cache, request);
    }

    // A cache hands a joiner nothing older than it asked for, so joins go on after a purge, but where a fill
    // of our own from before it is known to run. Danger: of many routers hardly one knows more of a part than
    // that it was purged. Were joins to wait for such proof, each would have the part filled anew.
    bool may_join(const Copy& copy, const Request& request) const {
        return set_.coalescing_allowed && (copy.leader.empty() || copy.started > purged_at(request));
    }

    // The cache that proved to hold the copy, unless it was purged or the cache started anew since then.
    Target* proven_holder(const Copy& copy, const Request& request) const {
        const bool proven =
            copy.holder && copy.holder_since > std::max(purged_at(request), copy.holder->entry.started_at);
        return proven ? copy.holder : nullptr;
    }

    bool likely_held(const Copy& copy, const Target& cache, const Request& request) const {
        return now_ - copy.served_at < kLikelyHeld && proven_holder(copy, request) == &cache;
    }

    void note_copy(const Request& request, const Attempt& attempt, bool served) {
        Copy* copy = copies_.find(request.key);
        if (!served || !copy || attempt.cache->role != Role::cache) return;
        copy->holder = attempt.cache;
        const double renewed_after = kRenewFrom * static_cast<double>(service_of(request).freshness_lifetime);
        if (!attempt.stale && static_cast<double>(now_ - copy->fresh_from) > renewed_after)
            copy->fresh_from = attempt.sent;
        copy->holder_since = attempt.sent;
        copy->served_at = now_;
    }

    // The answer clears the entry. After a success held waiters go straight; after a failure spaced out, or
    // they would be the herd that the table is there to prevent.
    void fill_ended(const std::string& key, const std::string& id, bool served) {
        Copy* copy = copies_.find(key);
        if (!copy || copy->leader != id) return;
        copy->leader.clear();
        const std::deque<std::string> waiters = std::exchange(copy->waiters, {});
        Micros at = now_;
        for (const std::string& waiter : waiters) {
            auto found = requests_.find(waiter);
            if (found == requests_.end() || !found->second.held) continue;
            if (!served) act(SetTimer{at += kRelease, found->second.serial});
            if (served) found->second.held = false, dispatch(found->second);
        }
    }

    void leader_left(const std::string& key, const std::string& id) {
        Copy* copy = copies_.find(key);
        if (!copy || copy->leader != id) return;
        copy->leader.clear();
        std::deque<std::string> rest = std::exchange(copy->waiters, {});
        while (!rest.empty() && !requests_.contains(rest.front())) rest.pop_front();
        if (rest.empty()) return;
        const std::string next = rest.front();
        rest.pop_front();
        Request& heir = requests_.at(next);
        if (!heir.held) copy->leader = next;
        if (heir.held) heir.held = false, dispatch(heir);  // it may lead a fill of its own or be given up
        copy = copies_.find(key);
        if (copy && copy->leader == next) copy->waiters = std::move(rest);
    }

    // ---- purges and ages ----
    Micros purged_at(const Request& request) const {
        const Micros* object = purges_.find("object " + request.arrival.object);
        const Micros* group = purges_.find("group " + std::to_string(request.arrival.purge_group));
        return std::max(object ? *object : 0, group ? *group : 0);
    }

    // Never 0 after a purge: 0 would ask for any copy within the class's fresh time.
    Micros oldest_allowed(const Request& request, bool stale) const {
        const ClassSettings& service = service_of(request);
        const Micros age = stale ? service.freshness_lifetime + service.stale_grace : 0,
                     purged = purged_at(request);
        if (purged == 0) return age;
        const Micros since = std::max<Micros>(1, now_ - purged),
                     limit = age > 0 ? age : service.freshness_lifetime;
        return limit > 0 ? std::min(limit, since) : since;
    }

    // ---- the pick ----
    void dispatch(Request& request) {
        const bool out_of_tries = static_cast<int>(request.attempts.size()) >= set_.max_attempts;
        if (out_of_tries || now_ >= request.latest) return give_up(request);
        Copy* copy = cacheable(request) ? &copies_.touch(request.key) : nullptr;
        const bool shared = copy && fill_shared(*copy, request) && copy->leader != request.arrival.id;
        if (shared && !may_join(*copy, request) && request.may_hold && copy->waiters.size() < kMostWaiters)
            return hold(request, *copy);
        Plan plan = best_plan(request, copy, shared);
        const Plan past = !plan.cache || !admits(*plan.cache) ? past_the_caches(request) : Plan{};
        if (past.cache) return send(request, past, copy);
        if (!plan.cache || (may_refuse(request) && hopeless(request, plan))) return give_up(request);
        if (copy) {
            plan.join = may_join(*copy, request);
            plan.shared = shared && plan.cache == copy->cache;
            if (plan.shared) {
                if (copy->waiters.size() < kMostWaiters) copy->waiters.push_back(request.arrival.id);
            } else if (plan.fill || copy->leader.empty()) {
                lead(request, *copy, plan);
            }
        }
        send(request, plan, copy);
    }

    void hold(Request& request, Copy& copy) {
        request.held = true;
        copy.waiters.push_back(request.arrival.id);
        const double bound = kHoldShareOfAim * static_cast<double>(request.aim_at - request.arrived);
        act(SetTimer{std::min(now_ + static_cast<Micros>(bound), request.latest), request.serial});
    }

    void lead(const Request& request, Copy& copy, const Plan& plan) {
        copy.leader = request.arrival.id;
        copy.waiters.clear();
        copy.cache = plan.cache;
        copy.started = now_;
        copy.distrust_at = now_ + static_cast<Micros>(kPatience * plan.finish);
    }

    // The home by hash while it can answer in time, else the next by hash that can, else the soonest.
    Plan best_plan(Request& request, Copy* copy, bool shared) {
        Target* holder = copy ? proven_holder(*copy, request) : nullptr;
        const bool old_copy = holder && service_of(request).stale_grace > 0 && !request.attempts.empty();
        Ranking order = caches_in_order(request, old_copy ? holder : nullptr);
        if (order.empty()) return {};
        Target* wish = shared                                                        ? copy->cache
                       : old_copy || (holder && now_ - copy->served_at < kRecentHit) ? holder
                                                                                     : nullptr;
        const bool wish_usable = order.contains(wish);
        const std::size_t width = copy ? width_for(*copy, request, *order.at(0)) : order.size();
        // Danger: leaving a fill under way for another cache begins it twice. Left only when distrusted.
        if (shared && wish_usable) return plan_at(request, copy, *wish);
        if (width == 1 && wish_usable) order.move_to_front(wish);
        const double limit = static_cast<double>(request.aim_at - now_) / kAimMargin;
        Plan best;
        for (std::size_t i = 0; i < order.size(); ++i) {
            const Plan plan = plan_at(request, copy, *order.at(i));
            // Danger: a slow fill is slow at every cache. Moving on for it fills the object once more
            // elsewhere and crowds the link in, so only what the cache itself takes counts here.
            if (!best.cache ||
                (i < width ? plan.finish < best.finish
                           : plan.finish < kMoveGain * best.finish && plan.answer < best.answer))
                best = plan;
            if (i + 1 >= width && best.answer <= limit) break;
        }
        return best;
    }

    // Danger: a zone whose caches all died refuses whatever it is asked. Where the site allows it, and only
    // then, a parent answers past them; nothing is kept, so this ends as soon as one cache takes its trial.
    Plan past_the_caches(const Request& request) {
        if (!set_.cache_bypass_allowed || !origin_) return {};
        if (set_.origin_only_requests_per_s > 0 && caches_.empty() && parents_.empty())
            return origin_alone(request);
        if (!cacheable(request)) return {};
        Target* parent = pick_source(request, nullptr, *origin_, true);
        if (parent->role != Role::parent || !usable(*parent, request)) return {};
        // Danger: an origin that drains or is gone may be named no more, as a source either. What the parent
        // holds it still gives.
        const bool origin_up = origin_->entry.state == EndpointState::ready;
        Plan plan{.cache = parent, .source = origin_up ? origin_ : parent, .fill = origin_up};
        plan.finish = predicted(request, *parent, origin_up ? origin_ : nullptr, false);
        return now_ + static_cast<Micros>(plan.finish) < request.aim_at ? plan : Plan{};
    }

    // With a list too old to use, only the origin is sure to be where it was. Danger: all of a school's reads
    // at once are far more than it can take, and pushed over it stops for everybody; what runs there in any
    // case comes first, reads share a small budget, and the rest is turned away at once.
    Plan origin_alone(const Request& request) {
        if (!admits(*origin_) || !usable(*origin_, request)) return {};
        if (cacheable(request)) {
            const double most = std::max(1.0, set_.origin_only_requests_per_s);
            const double earned = static_cast<double>(now_ - origin_left_.at) / kSecond;
            origin_left_ = {std::min(most, origin_left_.value + set_.origin_only_requests_per_s * earned),
                            now_};
            if (origin_left_.value < 1) return {};
            origin_left_.value -= 1;
        }
        Plan plan{.cache = origin_, .source = origin_};
        plan.finish = predicted(request, *origin_, nullptr, false);
        return plan;
    }

    std::size_t width_for(const Copy& copy, const Request& request, const Target& home) const {
        // Danger: multiplied by the sharers, a chance second request looks like a rush and the zone fills the
        // object twice. What others ask is taken as ours less one standard error.
        const double mine = faded(copy.rate, 0, kHotMemory);
        const double asked = mine + (sharers(home) - 1) * std::max(0.0, mine - std::sqrt(mine));
        const double share = asked * request.work / (kHotMemory * capacity(home));
        return share > 2 * kHotShare ? 3 : share > kHotShare ? 2 : 1;
    }

    // `old_holder` may be asked again: its old copy can answer what a fill there could not.
    Ranking caches_in_order(const Request& request, const Target* old_holder) {
        Ranking ranking;
        refresh_zone();
        const std::uint64_t key = hash_of(request.arrival.object.empty() ? request.arrival.id : request.key);
        const bool first = request.attempts.empty();
        for (const bool strict : {true, false}) {
            for (const ZoneCache& cache : zone_) {
                Target& target = *cache.target;
                // Nothing speaks against a warm one with its breaker closed that was not asked yet.
                if (!first || !cache.warm || cache.open) {
                    const bool again = tried(request, target) && &target != old_holder;
                    if ((strict && (again || !admits(target))) || !usable(target, request)) continue;
                }
                const double weight = cache.warm ? cache.weight : cache.weight * ramp(target, now_);
                ranking.add(rendezvous(key, cache.hash, weight), &target);
            }
            if (!ranking.empty()) break;  // never eject all: with none healthy, the unhealthy ones are asked
        }
        return ranking;
    }

    bool tried(const Request& request, const Target& target) const {
        return std::any_of(request.attempts.begin(), request.attempts.end(),
                           [&](const Attempt& a) { return a.cache == &target || a.source == &target; });
    }

    // Rules that no pick may break: drains, the group of a keyed request, the cold budget.
    bool usable(const Target& target, const Request& request) const {
        if (target.entry.state != EndpointState::ready) return false;
        for (const Attempt& a : request.attempts)
            if (a.may_have_run && !repeat_allowed(request, a, target)) return false;
        return cold_room(target);
    }

    bool repeat_allowed(const Request& request, const Attempt& earlier, const Target& target) const {
        const ClassSettings& service = service_of(request);
        if (service.retry_safety == RetrySafety::idempotent) return true;
        if (service.retry_safety == RetrySafety::not_idempotent ||
            now_ >= earlier.sent + service.idempotency_window)
            return false;
        return service.idempotency_scope == IdempotencyScope::all ||
               (service.idempotency_scope == IdempotencyScope::zone &&
                earlier.cache->entry.zone == target.entry.zone) ||
               (service.idempotency_scope == IdempotencyScope::cell &&
                earlier.cache->entry.cell == target.entry.cell);
    }

    Plan plan_at(const Request& request, const Copy* copy, Target& cache) {
        Plan plan;
        plan.cache = &cache;
        const bool held = copy && likely_held(*copy, cache, request);
        const Micros fresh = service_of(request).freshness_lifetime;
        plan.renewal = held && fresh > 0 && now_ - copy->fresh_from >= fresh;
        plan.fill = !held || plan.renewal;
        plan.source = pick_source(request, copy, cache, plan.fill);
        plan.crowd = crowd(cache, 1);
        plan.answer = predicted(request, cache, nullptr, plan.renewal);
        // Danger: what we never asked for is most often kept all the same, for the other routers' sake. Taken
        // as a fill it counts on the link in, and is refused for a crowd or a source that it never meets.
        const bool unknown = plan.fill && !plan.renewal && purged_at(request) == 0;
        plan.miss = unknown ? 1 - hit_share_ * ramp(cache, now_) : plan.fill;
        plan.finish = plan.fill ? predicted(request, cache, plan.source, plan.renewal) : plan.answer;
        // Stale-if-error: an old copy only after a failed try or where a fresh one is unlikely in time.
        if (copy && service_of(request).stale_grace > 0 && plan.source != &cache) {
            plan.old_copy = proven_holder(*copy, request) == &cache;
            plan.stale = !request.attempts.empty() ||
                         now_ + static_cast<Micros>(kAimMargin * plan.finish) > request.aim_at;
        }
        if (plan.stale && plan.old_copy) plan.fill = false, plan.miss = 0, plan.finish = plan.answer;
        return plan;
    }

    // A hub parent by the same hash, nearer hubs preferred; another if that one is unwell; the origin last.
    Target* pick_source(const Request& request, const Copy* copy, Target& cache, bool fill) {
        const bool origin_up = origin_ && origin_->entry.state == EndpointState::ready;
        // Danger: what runs at the origin may not be asked for again, so a parent on the way is one more that
        // can fail it for good, and has nothing of it to give.
        if (origin_up && !cacheable(request)) return origin_;
        if (Target* sibling = sibling_holding(request, copy, cache)) return sibling;
        Target* best = nullptr;
        double best_score = 0;
        const std::uint64_t key = hash_of(request.arrival.object);
        for (const bool strict : {true, false}) {
            for (Target* target : parents_) {
                if (strict && (tried(request, *target) || !admits(*target))) continue;
                if (!cold_room(*target)) continue;
                const double spare = fill ? ramp(*target, now_) : ramp(*target, now_) * ramp(*target, now_);
                const double slow = late(*target);
                const double weight =
                    target->entry.weight * spare * std::pow(kHubStep, hub_steps(*target)) / (slow * slow);
                // With none well, those that fail least: one that turns some away is not one that is dead.
                const double well = strict ? 1 : std::pow(1 - target->health.failing, 4);
                const double score = rendezvous(key, target->hash, weight * well);
                if (!best || score > best_score) best = target, best_score = score;
            }
            if (best) return best;
            // None is up: the origin while it is not crowded, in our turn, before one that is unwell.
            if (origin_up && fill && !origin_crowded() && origin_my_turn() && admits(*origin_))
                return origin_;
        }
        return origin_up ? origin_ : &cache;
    }

    // A cache of the zone that surely has the copy may fill another that lacks it: it spares the link in.
    Target* sibling_holding(const Request& request, const Copy* copy, const Target& cache) {
        Target* holder = copy ? proven_holder(*copy, request) : nullptr;
        const bool sure = holder && holder != &cache && set_.sibling_fill != SiblingFill::none &&
                          now_ - copy->served_at < kRecentHit && service_of(request).freshness_lifetime == 0;
        if (!sure || !usable(*holder, request) || tried(request, *holder) || !admits(*holder)) return nullptr;
        return crowd(*holder, 1) < kCrowded ? holder : nullptr;
    }

    double hub_steps(const Target& parent) const {
        const int here = nth(set_.region_by_zone, set_.own_zone, -1),
                  there = nth(set_.region_by_zone, parent.entry.zone, -1);
        if (here < 0 || there < 0) return 0;
        const int hubs = *std::max_element(set_.region_by_zone.begin(), set_.region_by_zone.end()) + 1;
        return std::min(std::abs(here - there), hubs - std::abs(here - there));  // they stand in a ring
    }

    // ---- cold starts ----
    // The lowest curve the settings allow, from the cold share to all of it.
    double ramp(const Target& target, Micros at) const {
        const bool parent = target.role == Role::parent;
        const double from = parent ? set_.parent_cold_fraction : set_.cold_capacity_fraction;
        const Micros length = parent ? set_.parent_slow_start : set_.warm_up_duration;
        if (target.entry.started_at <= 0 || length <= 0) return 1;
        if (target.unproven) return from;
        if (at >= target.entry.started_at + length) return 1;
        const double done = static_cast<double>(std::max<Micros>(0, at - target.entry.started_at)) / length;
        return from + (1 - from) * done;
    }

    // Danger: all routers hear of it together; with the same first turn they would also ask it together.
    void start_cold(Target& target, Micros since) {
        target.debt = {dearest_mean() * unit_hash(rng_(), target.hash), since};
        target.entry.started_at = since;
        zone_stale_ = true;
    }

    double sharers(const Target& target) const {
        if (target.role != Role::cache) return std::max(1, set_.instance_count);
        return routers_of(target.entry.zone);
    }

    double routers_of(int zone) const {
        return std::max(1, nth(set_.instances_by_zone, std::max(0, zone), set_.instance_count));
    }

    // What all routers together may send it in the stated time; the origin and the warm have no such bound.
    double cold_budget(const Target& target, Micros at) const {
        const double multiple =
            target.role == Role::parent ? set_.parent_overload_multiple : set_.cold_overload_multiple;
        const double now = ramp(target, at - set_.overload_window);
        if (target.role == Role::origin || multiple <= 0 || now >= 1)
            return std::numeric_limits<double>::infinity();
        return kColdUse * multiple * target.entry.weight * now * static_cast<double>(set_.overload_window);
    }

    // Danger: all routers together can push a cold cache or parent over within one window. Each keeps to its
    // part by a debt that time pays off; in the worst case what all may owe at once and what a window pays
    // off make up the budget. Where a part is less than a request, each so waits for its turn; the first debt
    // is drawn by chance, or all would have their turns together.
    bool cold_room(const Target& target) const {
        const double budget = cold_budget(target, now_), size = dearest_mean();
        if (std::isinf(budget)) return true;
        const double at_once = (budget - within_tail(budget, size)) / sharers(target);
        return debt(target) <= std::max(0.0, at_once - size);
    }

    double debt(const Target& target) const {
        const auto pace = [&](Micros at) {
            return within_tail(cold_budget(target, at), dearest_mean()) /
                   (sharers(target) * static_cast<double>(set_.overload_window));
        };
        const double paid = (pace(target.debt.at) + pace(now_)) / 2;  // the budget rises in a line
        return std::max(0.0, target.debt.value - paid * static_cast<double>(now_ - target.debt.at));
    }

    // The mean whose chance excess, in requests of this size, stays within the budget.
    static double within_tail(double budget, double size) {
        if (std::isinf(budget)) return budget;
        const double step = kTailDeviations * std::sqrt(size);
        const double root = (std::sqrt(step * step + 4 * budget) - step) / 2;
        return root * root;
    }

    double dearest_mean() const {
        double most = 0;
        for (const auto& [total, count] : mean_) most = std::max(most, total / count);
        return most;
    }

    void charge(Target& target, const Request& request) {
        if (!std::isinf(cold_budget(target, now_)))
            target.debt = {debt(target) + mean_work(request.arrival.class_index), now_};
    }

    // ---- prediction ----
    double capacity(const Target& target) const {
        return std::max(0.1, target.entry.weight * ramp(target, now_));
    }

    // Transfers that a cache's link out feels, over those it fits. Danger: a fill that waits for a crowded
    // link in takes next to nothing of the link out; counted in full, it would have hits refused.
    double crowd(const Target& target, double more) {
        const double fills = target.fills * fill_share(0);
        const double hits = static_cast<double>(target.flights.size()) - target.fills;
        return (hits + fills + others_at(target) + more) / capacity(target);
    }

    // Transfers of the other routers there. Danger: a router sees a few requests a second. Taking its own
    // present ones as everybody's, it would refuse at an idle cache; taking none, it would trust a full one.
    // So: a report while it is new; else our own mean in the zone, by weight and by what we ourselves had
    // there.
    double others_at(const Target& target) {
        if (target.role != Role::cache || sharers(target) <= 1) return 0;
        const double zone = zone_capacity();
        const double out = faded(mean_out_, out_now_, kLoadMemory);
        const double fills = faded(mean_fills_, fills_out_, kLoadMemory);
        const double usual = out * capacity(target) / std::max(zone, capacity(target));
        const double seen = faded(target.mean_out, target.flights.size(), kLoadMemory);
        const double each = usual * (1 + kLoadSamples * seen) / (1 + kLoadSamples * usual);
        const double all = faded(target.told, (sharers(target) - 1) * each, kReportFades);
        return all * (1 - (out > 0 ? fills / out : 0) * (1 - fill_share(0)));
    }

    double faded(const Mean& mean, double towards, double memory) const {
        return mean.faded(now_, towards, memory);
    }

    // Before a count changes its mean takes in how long it stood.
    void settle(Mean& mean, double present) { mean = {faded(mean, present, kLoadMemory), now_}; }

    // Only what others hold is learnt from a report: our own attempts are known better, and it comes late.
    void note_report(Target& cache, const LoadReport& load) {
        if (cache.role != Role::cache || sharers(cache) <= 1) return;
        if (load.in_flight >= 0)
            cache.told = {std::max(0.0, load.in_flight - static_cast<double>(cache.flights.size())), now_};
        if (load.ingress_utilization >= 0)
            told_fills_ = {std::max(0.0, load.ingress_utilization * link_fits() - fills_out_), now_};
    }

    // Transfers at full pace that the zone's link in fits; 0: not told.
    double link_fits() const {
        return nth(set_.ingress_kb_per_s_by_zone, std::max(0, set_.own_zone), 0.0) /
               std::max(1.0, set_.transfer_rate_kb_per_s);
    }

    // The part of full pace that the zone's link in leaves for each fill under way, with `more` of them.
    double fill_share(double more) const {
        if (link_fits() <= 0) return 1;
        const double guess = (routers_of(set_.own_zone) - 1) * faded(mean_fills_, fills_out_, kLoadMemory);
        const double others = faded(told_fills_, guess, kReportFades);
        return std::min(1.0, link_fits() / std::max(1.0, fills_out_ + others + more));
    }

    double service_now(const Target& target) {
        const double rate = std::min(1.0, 1 / std::max(0.01, crowd(target, 0)));
        return target.service_clock + rate * static_cast<double>(now_ - target.clock_at);
    }

    void advance(Target& target) {
        settle(target.mean_out, static_cast<double>(target.flights.size()));
        settle(mean_out_, out_now_);
        settle(mean_fills_, fills_out_);
        target.service_clock = service_now(target);
        target.clock_at = now_;
    }

    // Time taken over time expected: a fill by the clock on the wall, a hit by its part of the service.
    double ratio_so_far(const Target& target, const Flight& flight) {
        if (flight.fill) return static_cast<double>(now_ - flight.sent) / flight.expected;
        return (service_now(target) - flight.started) / flight.expected;
    }

    double late(const Target& target) {
        double value = late_faded(target);
        for (const Flight* flight : target.flights)  // those still out tell of a hang before any answer does
            if (target.heard <= flight->due())
                value = std::max(value, ratio_so_far(target, *flight) / (flight->fill ? 2 : 1));
        return std::clamp(value, 0.5, kMostLate);
    }

    double predicted(const Request& request, const Target& cache, const Target* source, bool renewal) {
        const double slow = late(cache);
        // As if the crowd stayed: under load, arrivals take the places of those that end.
        double service = request.work * std::max(1.0, crowd(cache, 1)) * slow;
        // A renewal takes the way to the source but few bytes.
        const double link = renewal ? request.work : request.work / fill_share(1);
        if (source) service = (std::max(service, link) + kFillDelay) * late(*source);
        return kBase + service;
    }

    double work_of(const RequestReceived& arrival) {
        if (arrival.size_kb <= 0 || set_.transfer_rate_kb_per_s <= 0) return mean_work(arrival.class_index);
        const double work = arrival.size_kb / set_.transfer_rate_kb_per_s * kSecond;
        auto& [total, count] = mean_[arrival.class_index];
        total += work, count += 1;
        return work;
    }

    double mean_work(int service) const { return mean_[service].first / mean_[service].second; }

    // ---- health ----
    // Admits work: breaker closed, or half open with its one trial still to be sent.
    bool admits(const Target& target) const {
        return !target.health.open || (now_ >= target.health.open_until && !target.health.trial_out);
    }

    void succeeded(Target& target) {
        Health& health = target.health;
        health.failing *= 1 - kGain;
        if (health.open && health.trial_out) {
            health.open = health.trial_out = false;
            mirror_breaker(target);
            act(LogMessage{"breaker closed: " + target.entry.name});
        }
        if (!health.open) health.opened_for -= health.opened_for / kCalm;
    }

    void failed(Target& target, double blame) {
        Health& health = target.health;
        health.failing += kGain * blame * (1 - health.failing);
        if (health.open && !health.trial_out) return;
        if (!health.open && health.failing < kOpenAt) return;
        health.opened_for = std::clamp(2 * health.opened_for, kFirstOpen, kLongestOpen);
        health.open_until = now_ + health.opened_for + jitter(health.opened_for / 4);
        health.open = true;
        health.trial_out = false;
        mirror_breaker(target);
        act(LogMessage{"breaker open: " + target.entry.name});
    }

    void observe_late(Target& target, double ratio) {
        const double before = late_faded(target);
        target.health.late = {before + kGain * (std::clamp(ratio, 0.5, kMostLate) - before), now_};
    }

    double late_faded(const Target& target) const { return faded(target.health.late, 1, kLateFades); }

    // Takes the attempt out of its cache's list and learns from it.
    void land(const AttemptFinished& outcome) {
        auto place = flights_.find(outcome.id + '#' + std::to_string(outcome.attempt));
        if (place == flights_.end()) return;
        const Flight flight = place->second;
        Target& cache = *flight.cache;
        advance(cache);
        note_report(cache, outcome.load);
        std::erase(cache.flights, &place->second);
        flights_.erase(place);
        out_now_ -= 1;
        cache.fills -= flight.on_link, fills_out_ -= flight.on_link;
        if (outcome.cache_status == CacheStatus::filled_by_origin && origin_) succeeded(*origin_);
        note_origin(flight, outcome);
        const AttemptStatus verdict = outcome.status;
        if (verdict == AttemptStatus::served || verdict == AttemptStatus::overloaded ||
            verdict == AttemptStatus::not_found)
            prove(cache);
        if (verdict == AttemptStatus::connect_failed || verdict == AttemptStatus::connection_reset)
            ++cache.lost;
        if (Target* source = flight.source; source && source != &cache) {
            const CacheStatus note = outcome.cache_status;
            if (note == CacheStatus::source_unreachable) ++source->lost;
            if (note == CacheStatus::filled || note == CacheStatus::filled_by_origin ||
                note == CacheStatus::source_missing)
                prove(*source);
        }
        learn(cache, flight.source == &cache ? nullptr : flight.source, flight, outcome);
        if (flight.origin_trial) origin_->health.trial_out = false;
    }

    // Danger: a box known from an old list may come up long after this router did. Were its warming counted
    // from our start, it would be taken for warm while it is cold. So is one that answers again after it
    // could not be reached: the list tells of its new start only later, and until then all routers would fall
    // upon it.
    void prove(Target& target) {
        target.heard = now_;
        const bool was_lost = std::exchange(target.lost, 0) >= kLostFor;
        if (was_lost && target.role != Role::origin) start_cold(target, now_);
        if (!std::exchange(target.unproven, false)) return;
        target.entry.started_at = now_;
        zone_stale_ = true;
    }

    // ---- the origin ----
    // The first byte takes this many times as long as is usual through the same parent: they are not equally
    // far.
    double origin_slow() const { return faded(origin_slow_, 1, kLateFades); }

    // Danger: what is far more than an origin can do stops it for everybody, and each fill that is given up
    // there is asked for once more. So while it is crowded the fills that all routers have waiting there are
    // bounded: as many leave as are answered, and each router takes its turn. The rest takes what parents
    // hold.
    bool origin_open() const { return admits(*origin_) && (!origin_crowded() || origin_my_turn()); }

    bool origin_my_turn() const {
        const double ahead = std::max(0.0, kOriginWait * origin_slow() - origin_turn());
        return now_ >= origin_next_ - static_cast<Micros>(ahead);
    }

    bool origin_crowded() const { return origin_slow() > kOriginCrowded; }

    // Between two fills of ours; under one wait for as many as our part of them waits at once.
    double origin_turn() const {
        return kOriginWait * origin_slow() * std::max(1, set_.instance_count) / kOriginHolds;
    }

    void take_origin_turn() {
        const auto turn = static_cast<Micros>(origin_turn());
        origin_next_ = (origin_crowded() ? std::max(now_, origin_next_) : now_) + turn / 2 + jitter(turn);
    }

    // A fill that ran out of time waited for the origin only if its source answered others meanwhile. One
    // wild wait alone makes no crowd.
    void note_origin(const Flight& flight, const AttemptFinished& outcome) {
        if (!flight.source || flight.source == flight.cache) return;
        Target& source = *flight.source;
        const bool answered =
            outcome.cache_status == CacheStatus::filled_by_origin && outcome.time_to_first_byte > 0;
        const bool waited =
            flight.fill && outcome.status == AttemptStatus::timed_out && source.heard > flight.sent;
        const double wait = static_cast<double>(answered ? outcome.time_to_first_byte : outcome.elapsed);
        const double slow = std::min(wait / source.usual, kOriginWild);
        if (answered || (waited && slow > origin_slow()))
            origin_slow_ = {origin_slow() + kGain * (slow - origin_slow()), now_};
        if (!answered) return;
        // A crowd does not become the usual, but what lasts does in the end.
        source.seen = std::min(source.seen + 1, kOriginMost);
        const double most = std::max(kOriginCrowded, kOriginWild / source.seen);
        source.usual += (std::min(slow, most) - 1) * source.usual / source.seen;
    }

    void learn(Target& cache, Target* source, const Flight& flight, const AttemptFinished& outcome) {
        const bool untold = set_.cache_status_detail == CacheStatusDetail::none;
        const double as_hit = (service_now(cache) - flight.started) / flight.hit;
        const bool hit = outcome.cache_status == CacheStatus::hit ||
                         outcome.cache_status == CacheStatus::stale || (untold && as_hit < kHitLike);
        const bool filled = outcome.cache_status == CacheStatus::filled ||
                            outcome.cache_status == CacheStatus::filled_by_origin;
        const bool fill = source && (filled || (flight.fill && !hit));
        const double ratio = ratio_so_far(cache, flight);
        const AttemptStatus verdict = outcome.status;
        if (verdict == AttemptStatus::served) {
            if (untold && flight.on_link > 0) hit_share_ += kHitGain * ((hit ? kMostHits : 0) - hit_share_);
            succeeded(cache);
            if (fill) succeeded(*source);
            if (fill) observe_late(*source, ratio / std::max(1.0, late_faded(cache)));
            if (!fill || ratio < late_faded(cache)) observe_late(cache, fill ? ratio : as_hit);
        } else if (verdict == AttemptStatus::overloaded) {
            // A cache with no place says so at once; what took a way further came from the source. A hit that
            // was expected may have been a fill, so the way it took counts, not the guess.
            const bool quick =
                outcome.elapsed <= kQuickRefusal && outcome.cache_status == CacheStatus::unknown;
            const CacheStatus note = outcome.cache_status == CacheStatus::unknown
                                         ? CacheStatus::source_rejected
                                         : outcome.cache_status;
            !source || quick ? failed(cache, 1) : blame(cache, source, true, note, 0, 0);
        } else if (verdict == AttemptStatus::timed_out
                       ? ratio > kSlowFailure
                       : verdict == AttemptStatus::error || verdict == AttemptStatus::connection_reset ||
                             verdict == AttemptStatus::connect_failed) {
            blame(cache, source, fill, outcome.cache_status, ratio, flight.due());
        }
        // Danger: a trial whose end taught nothing would keep its breaker half open for good.
        cache.health.trial_out = false;
        if (source) source->health.trial_out = false;
    }

    // Danger: blaming a cache for its source's failure ejects healthy caches one after another. The note
    // decides; where it is silent, a fill that failed only after a wait was given up on its source, and a
    // quick failure goes to the more suspect of the two.
    void blame(Target& cache, Target* source, bool fill, CacheStatus note, double ratio, Micros due) {
        if (fill && note == CacheStatus::origin_failed && origin_) return failed(*origin_, 1);
        const bool told = note == CacheStatus::source_unreachable || note == CacheStatus::source_rejected ||
                          note == CacheStatus::origin_failed;
        double on_source = fill && (told || (note == CacheStatus::unknown && ratio > kSlowFailure)) ? 1 : 0;
        if (fill && note == CacheStatus::unknown && ratio <= kSlowFailure)
            on_source =
                (source->health.failing + 0.05) / (source->health.failing + cache.health.failing + 0.1);
        if (on_source > 0) failed(*source, note == CacheStatus::source_unreachable ? kToldLost : on_source);
        if (on_source < 1) failed(cache, 1 - on_source);
        Target& slow = fill ? *source : cache;
        if (ratio > kSlowFailure && slow.heard <= due) observe_late(slow, ratio);
    }

    // ---- attempts ----
    void send(Request& request, const Plan& plan, const Copy* copy) {
        Target& cache = *plan.cache;
        const int number = static_cast<int>(request.attempts.size());
        request.attempts.push_back({&cache, plan.source, now_, true, true, plan.stale});
        advance(cache);
        const double expected = plan.fill ? plan.finish / late(*plan.source) : request.work + kBase;
        const double on_link = plan.shared || plan.renewal ? 0 : plan.miss;
        Flight& flight = flights_[request.arrival.id + '#' + std::to_string(number)];
        flight = {&cache,  plan.source, now_, cache.service_clock, request.work + kBase, expected,
                  on_link, plan.fill,   false};
        cache.flights.push_back(&flight);
        out_now_ += 1;
        cache.fills += on_link, fills_out_ += on_link;
        if (cache.health.open) cache.health.trial_out = true;
        charge(cache, request);
        if (plan.source && plan.source != &cache) {
            charge(*plan.source, request);
            if (plan.source->health.open) plan.source->health.trial_out = true;
        }
        if (request.arrival.object.empty())
            return act(Lookup{request.arrival.id, cache.entry.name, timeout(request, plan)});
        Forward serve{
            .id = request.arrival.id, .timeout = timeout(request, plan), .endpoint = cache.entry.name};
        serve.source = plan.source ? plan.source->entry.name : cache.entry.name;
        if (copy) {
            serve.max_age = oldest_allowed(request, plan.stale);
            serve.coalesce = plan.join;
            // Danger: with the origin down every fill waits at the parent and fails there, holding places
            // that hits need. What the parent holds it still gives; the rest comes back at once as missing.
            const bool via_parent = plan.fill && plan.source && plan.source->role == Role::parent;
            serve.source_cached_only = via_parent && origin_ && !origin_open();
            const bool asks_origin =
                via_parent ? !serve.source_cached_only : plan.fill && plan.source == origin_;
            if (origin_ && asks_origin) take_origin_turn();
            flight.origin_trial = via_parent && !serve.source_cached_only && origin_ && origin_->health.open;
            if (flight.origin_trial) origin_->health.trial_out = true;
            serve.revalidate = service_of(request).freshness_lifetime > 0 && copy->asked > 1;
            serve.cache_priority = cache.role != Role::cache ? 0 : copy->asked > 1 ? 2 : 1;
        }
        act(serve);
    }

    // Long enough for a crowd, short enough for another try; where none could follow, all that is left.
    Micros timeout(const Request& request, const Plan& plan) const {
        const Micros left = request.deadline - now_ - kEndMargin;
        const bool last = static_cast<int>(request.attempts.size()) >= set_.max_attempts || retries_ < 1 ||
                          service_of(request).retry_safety == RetrySafety::not_idempotent;
        const auto wait = std::max(kLeastTimeout, static_cast<Micros>(kPatience * plan.finish));
        const auto another = static_cast<Micros>(request.work + kBase + kFillDelay);
        return last || wait + another > left ? left : wait;
    }

    void retry(Request& request, AttemptStatus verdict, CacheStatus note) {
        if (verdict == AttemptStatus::not_sent) return give_up(request);
        // Danger: an error that a request meets at one cache after another is its own. Tried on, it would use
        // up the budget for retries and have them all ejected.
        if (verdict == AttemptStatus::error && note == CacheStatus::unknown && ++request.errors > 1)
            return give_up(request);
        if (verdict == AttemptStatus::not_found && origin_ && !origin_open() && request.attempts.size() > 1)
            return give_up(request);  // no parent asked holds it, the origin is down or it is not our turn
        if (verdict != AttemptStatus::not_found && retries_ < 1) return give_up(request);
        if (verdict != AttemptStatus::not_found) retries_ -= 1;
        const auto tries = request.attempts.size();
        if (tries < 2) return dispatch(request);
        const Micros wait = kBackoff << std::min<std::size_t>(tries - 2, 4);
        const Micros at = now_ + wait / 2 + jitter(wait / 2);
        // Danger: a wait past the client's patience leaves the request without an answer.
        if (at >= request.latest) return give_up(request);
        act(SetTimer{at, request.serial});
    }

    // In a crowd a late answer costs others theirs, which are worth more: refused at once, it is spared.
    bool hopeless(const Request& request, const Plan& plan) {
        const bool old_copy = plan.stale && plan.old_copy;
        const double finish = old_copy ? plan.answer : plan.finish;
        const bool fills_crowded =
            plan.miss > kLikelyMiss && !old_copy && plan.source &&
            (late(*plan.source) > kCrowded ||
             1 / fill_share(1) > (routers_of(set_.own_zone) > kFewRouters ? kCrowded : kKnownCrowd));
        // A crowd of transfers grows while one runs, so it is met with a margin; a slow fill need not.
        const double left = static_cast<double>(request.aim_at - now_);
        return (plan.crowd > kCrowded && kAimMargin * finish > left) || (fills_crowded && finish > left);
    }

    bool may_refuse(const Request& request) const {
        const ClassSettings& service = service_of(request);
        if (service.retry_safety == RetrySafety::idempotent) return true;
        if (service.retry_safety == RetrySafety::with_idempotency_key &&
            service.idempotency_scope == IdempotencyScope::all)
            return true;
        return std::ranges::none_of(request.attempts, &Attempt::may_have_run);
    }

    // Answered at once: holding it back would only hide the failure from the client.
    void give_up(Request& request) {
        const std::string id = request.arrival.id, key = request.key;
        const Micros half = set_.retry_after_allowed ? set_.max_retry_after / 2 : 0;
        may_refuse(request) ? act(Reject{id, half + jitter(half)}) : act(Fail{id});
        forget(id);
        fill_ended(key, id, false);
    }

    // ---- housekeeping ----
    bool any_out(const Request& request) const {
        return std::ranges::any_of(request.attempts, &Attempt::out);
    }

    void forget(const std::string& id) {
        serials_.erase(requests_.at(id).serial);
        requests_.erase(id);
    }

    void sweep() {
        copies_.sweep([&](const Copy& copy) { return now_ - copy.rate.at > kCopyMemory; });
        purges_.sweep([&](Micros at) { return now_ - at > 2 * set_.purge_completes_within; });
        act(SetTimer{now_ + kSweep, kSweepToken});
    }

    const ClassSettings& service_of(const Request& request) const {
        return set_.classes[request.arrival.class_index];
    }
    Micros jitter(Micros most) {
        return most <= 0 ? 0 : static_cast<Micros>(rng_() % static_cast<std::uint64_t>(most + 1));
    }
    void act(Action action) { out_->push_back(std::move(action)); }

    Settings set_;
    std::mt19937_64 rng_;
    BoundedMap<std::string, Copy> copies_{kMostCopies};
    BoundedMap<std::string, Micros> purges_{kMostPurges};  // when each object or group was last purged
    std::vector<std::pair<double, double>> mean_;          // total and count of sending times, by class
    std::map<std::string, Target> targets_;
    std::vector<Target*> caches_, parents_;  // those ready, the caches of our zone; in order of name
    std::vector<ZoneCache> zone_;            // `caches_` as the ranking reads them
    bool zone_stale_ = true;                 // it is to be made anew
    Micros next_warm_at_ = 0;                // and then, when the next of them is warm
    double warm_capacity_ = 0;               // of those that are warm
    double zone_capacity_ = 0;               // of all, as of zone_capacity_at_
    Micros zone_capacity_at_ = -1;
    double hit_share_ = 0;                     // of what we had no proof of, lately
    double out_now_ = 0, fills_out_ = 0;       // attempts of ours, those on the link in
    Mean mean_out_, mean_fills_, told_fills_;  // the same over kLoadMemory; what others have by report
    std::unordered_map<std::string, Request> requests_;       // found by id, never walked
    std::unordered_map<std::uint64_t, std::string> serials_;  // timer token to request
    std::unordered_map<std::string, Flight> flights_;         // attempts out, also of requests that are over
    std::uint64_t next_serial_ = kFirstRequestToken;
    double retries_ = kMostRetries;
    Target* origin_ = nullptr;
    Mean origin_slow_{1, 0};  // first bytes through it over the usual, lately
    Micros origin_next_ = 0;  // while it is crowded our next fill through it has its turn here
    Mean origin_left_;        // requests that may still go straight to the origin while nothing else is known
    bool started_ = false;
    Micros now_ = 0;
    std::vector<Action>* out_ = nullptr;
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
void Router::handle(Micros now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace sumackeel::routing
