#include "expectations/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>

namespace sumackeel::expectations {

using routing::AttemptStatus;
using routing::CacheStatus;
using routing::EndpointState;

namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kBegin =
    1'700'000'000LL * base::kSecond;     // any moment will do; the router has no other clock
constexpr Micros kRefusal = 1 * kMs;     // a connection refused, or a box that is full, says so at once
constexpr Micros kNear = 2 * kMs;        // to a box of the school and back
constexpr Micros kFillWay = 40 * kMs;    // to a source's first byte
constexpr Micros kOriginWay = 60 * kMs;  // the same through a parent from the origin
constexpr Micros kNotificationDelay = 2'000 * kMs;  // the list knows of a death this long after it
constexpr double kColdPace = 3;                     // a box at its coldest takes this many times as long

struct MemberState {
    bool refuses = false, silent = false, fails_fills = false, full = false, stale = false;
    Micros cold_since = -1;               // below 0: warm
    std::set<std::pair<int, int>> holds;  // object and part
};

struct Open {
    const SimulatedRequest* ask = nullptr;
    int attempts = 0;
    bool may_have_run = false;
    Micros deadline = 0;
    Micros first_at = 0;
    int first_target = -1;
    std::map<int, std::pair<int, int>> out;  // attempt to target and source
};

class Run {
  public:
    Run(const Scenario& world, const FleetModel& fleet, const std::vector<SimulatedRequest>& asks,
        SimulationObserver& watcher)
        : world_(world),
          fleet_(fleet),
          asks_(asks),
          watcher_(watcher),
          settings_(settings_of(fleet, world)),
          router_(settings_, world.seed),
          members_(fleet.members.size()),
          notified_(fleet.members.size()) {
        for (std::size_t i = 0; i < fleet.members.size(); ++i) places_[fleet.name(i)] = static_cast<int>(i);
    }

    void go() {
        std::vector<routing::Endpoint> entries;
        for (std::size_t i = 0; i < fleet_.members.size(); ++i) {
            routing::Endpoint entry = fleet_.members[i].endpoint;
            entry.started_at = 0;
            notified_[i].notified =
                entry.state == EndpointState::ready ? NotifiedState::up : NotifiedState::draining;
            entries.push_back(entry);
        }
        for (const FaultEvent& one : world_.faults) at(one.at, [this, &one] { happen(one); });
        feed(routing::EndpointUpdate{1, routing::EndpointUpdateKind::full, std::move(entries)},
             [] { return "list: the whole fleet"; });
        for (const SimulatedRequest& ask : asks_) at(ask.at, [this, &ask] { arrive(ask); });
        // The last requests are followed to their end, and no further.
        while (!due_.empty() && !watcher_.enough()) {
            if (open_.empty() && arrived_ == asks_.size()) break;
            Due next = std::move(const_cast<Due&>(due_.top()));
            due_.pop();
            now_ = next.when;
            next.what();
        }
    }

  private:
    struct Due {
        Micros when;
        std::uint64_t order;  // of two at one moment the one set first comes first
        std::function<void()> what;
        bool operator<(const Due& other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    static routing::Settings settings_of(const FleetModel& fleet, const Scenario& world) {
        routing::Settings settings = fleet.site.settings;
        settings.own_zone = world.zone;
        return settings;
    }

    void at(Micros when, std::function<void()> what) {
        due_.push({std::max(when, now_), order_++, std::move(what)});
    }

    template <typename Words>
    void say(const Words& words) {
        if (watcher_.wants_steps()) watcher_.step(now_, words());
    }

    // `words` is only called where somebody reads them.
    template <typename Words>
    void feed(const routing::Event& event, const Words& words) {
        say([&] { return "in   " + std::string(words()); });
        std::vector<routing::Action> actions;
        router_.handle(kBegin + now_, event, actions);
        for (const routing::Action& action : actions)
            std::visit([this](const auto& a) { carry_out(a); }, action);
    }

    // ---- what goes wrong ----
    void tell(int member, NotifiedState notified, Micros since_start = 0) {
        routing::Endpoint entry = fleet_.members[member].endpoint;
        entry.state = notified == NotifiedState::gone       ? EndpointState::removed
                      : notified == NotifiedState::draining ? EndpointState::draining
                                                            : EndpointState::ready;
        entry.started_at = since_start;
        notified_[member] = {notified, now_};
        feed(routing::EndpointUpdate{2, routing::EndpointUpdateKind::incremental, {entry}},
             [&] { return fmt::format("list: {} is {}", entry.name, name_of(notified)); });
    }

    void happen(const FaultEvent& one) {
        MemberState& member = members_[one.member];
        const bool tells = one.fault == FaultKind::drain || one.fault == FaultKind::back_cold;
        if (!tells)
            say([&] { return fmt::format("     {} {}", fleet_.name(one.member), name_of(one.fault)); });
        switch (one.fault) {
            case FaultKind::drain:
                return tell(one.member, NotifiedState::draining);
            case FaultKind::dies:
            case FaultKind::vanishes:
                member.refuses = one.fault == FaultKind::dies;
                member.silent = one.fault == FaultKind::vanishes;
                member.holds.clear();
                if (member.refuses) break_off(one.member);
                ++deaths_[one.member];
                return at(now_ + kNotificationDelay, [this, who = one.member, death = deaths_[one.member]] {
                    if (deaths_[who] == death) tell(who, NotifiedState::gone);
                });
            case FaultKind::back_cold:
                member = MemberState{};
                member.cold_since = now_;
                ++deaths_[one.member];
                at(now_ + warm_time(one.member), [this, who = one.member, life = deaths_[one.member]] {
                    if (deaths_[who] == life && notified_[who].notified == NotifiedState::cold)
                        notified_[who] = {NotifiedState::up, now_};
                });
                return tell(one.member, NotifiedState::cold, kBegin + now_);
            case FaultKind::fails_fills:
                member.fails_fills = true;
                return;
            case FaultKind::full:
                member.full = true;
                return;
            case FaultKind::stale_report:
                member.stale = true;
                return;
        }
    }

    Micros warm_time(int member) const {
        return fleet_.kind_of(member) == Kind::parent ? settings_.parent_slow_start
                                                      : settings_.warm_up_duration;
    }

    // A process that dies resets what is open on its connections.
    void break_off(int member) {
        std::vector<std::pair<std::string, int>> lost;
        for (const auto& [id, open] : open_)
            for (const auto& [attempt, where] : open.out)
                if (where.first == member) lost.emplace_back(id, attempt);
        for (const auto& each : lost)
            at(now_, [this, id = each.first, attempt = each.second] {
                land(id, attempt, AttemptStatus::connection_reset, CacheStatus::unknown, 0);
            });
    }

    // ---- requests ----
    void arrive(const SimulatedRequest& ask) {
        ++arrived_;
        const auto& service = settings_.classes[ask.class_index];
        routing::RequestReceived arrival;
        arrival.id = std::to_string(ask.number);
        arrival.class_index = ask.class_index;
        arrival.object = object_name(ask.object);  // also of what is not kept: without one no source is named
        arrival.purge_group = group_of(ask.object);
        arrival.part = ask.part;
        arrival.size_kb = ask.size_kb;
        arrival.time_left = service.deadline;
        arrival.write = service.uncacheable;
        Open& open = open_[arrival.id];
        open.ask = &ask;
        open.deadline = now_ + service.deadline;
        at(open.deadline, [this, id = arrival.id] { give_up(id); });
        feed(arrival, [&] {
            return fmt::format("request {}: {} of object {}", ask.number,
                               fleet_.site.classes[ask.class_index], arrival.object);
        });
    }

    void finish(const std::string& id, RequestOutcome how) {
        const auto found = open_.find(id);
        if (found == open_.end()) return;
        const Open open = std::move(found->second);
        open_.erase(found);
        watcher_.on_request_finished(*open.ask, {open.ask->number, how, open.attempts, now_ - open.ask->at},
                                     notified_);
    }

    void give_up(const std::string& id) {
        if (!open_.contains(id)) return;
        finish(id, RequestOutcome::unanswered);
        feed(routing::ClientCancelled{id}, [&] { return fmt::format("request {}: its client left", id); });
    }

    void land(const std::string& id, int attempt, AttemptStatus verdict, CacheStatus note,
              Micros first_byte) {
        const auto found = open_.find(id);
        routing::AttemptFinished outcome;
        outcome.id = id;
        outcome.attempt = attempt;
        outcome.status = verdict;
        outcome.cache_status = note;
        outcome.time_to_first_byte = first_byte;
        const auto key = std::pair(id, attempt);
        const auto sent = sent_.find(key);
        if (sent == sent_.end()) return;  // called off already
        const auto [when, target] = sent->second;
        sent_.erase(sent);
        outcome.endpoint = fleet_.name(target);
        outcome.elapsed = now_ - when;
        outcome.request_finished = verdict == AttemptStatus::served || found == open_.end();
        if (members_[target].stale) outcome.load = {.in_flight = 500, .ingress_utilization = 20};
        if (found != open_.end()) {
            found->second.out.erase(attempt);
            const bool never_ran = verdict == AttemptStatus::overloaded ||
                                   verdict == AttemptStatus::connect_failed ||
                                   verdict == AttemptStatus::not_sent || verdict == AttemptStatus::not_found;
            if (!never_ran) found->second.may_have_run = true;
        }
        const bool served = verdict == AttemptStatus::served && found != open_.end();
        static constexpr const char* kVerdicts[] = {"served",     "error",         "full",
                                                    "timed out",  "not connected", "broken off",
                                                    "called off", "never sent",    "missing"};
        feed(outcome, [&] {
            return fmt::format("request {}: attempt {} at {}: {}", id, attempt, outcome.endpoint,
                               kVerdicts[static_cast<std::size_t>(verdict)]);
        });
        if (served) finish(id, RequestOutcome::served);
    }

    // ---- the router's actions ----
    void carry_out(const routing::Forward& serve) { send(serve); }
    void carry_out(const routing::Lookup& look) {
        routing::Forward serve;
        serve.id = look.id;
        serve.endpoint = serve.source = look.endpoint;
        serve.timeout = look.timeout;
        send(serve);
    }
    void carry_out(const routing::SetTimer& timer) {
        at(timer.at - kBegin, [this, token = timer.token] {
            feed(routing::TimerExpired{token}, [&] { return fmt::format("timer {}", token); });
        });
    }
    void carry_out(const routing::Reject& refuse) {
        say([&] { return fmt::format("out  request {}: refused", refuse.id); });
        finish(refuse.id, RequestOutcome::rejected);
    }
    void carry_out(const routing::Fail& fail) {
        say([&] { return fmt::format("out  request {}: failed", fail.id); });
        finish(fail.id, RequestOutcome::failed);
    }
    void carry_out(const routing::Cancel& cancel) {
        say([&] { return fmt::format("out  request {}: attempt {} called off", cancel.id, cancel.attempt); });
        at(now_, [this, cancel] {
            land(cancel.id, cancel.attempt, AttemptStatus::cancelled, CacheStatus::unknown, 0);
        });
    }
    void carry_out(const routing::LogMessage& line) {
        say([&] { return "log  " + line.text; });
    }
    template <typename Other>
    void carry_out(const Other&) {}  // none of the others bears on where a request goes

    void send(const routing::Forward& serve) {
        const auto found = open_.find(serve.id);
        if (found == open_.end()) return;
        Open& open = found->second;
        const int target = place_of(serve.endpoint), source = place_of(serve.source);
        Decision decision;
        decision.at = now_;
        decision.request = open.ask->number;
        decision.attempt = open.attempts;
        decision.target = target;
        decision.source = source == target ? -1 : source < 0 ? -2 : source;
        decision.rank = serve.cache_priority;
        decision.may_have_run = open.may_have_run || !open.out.empty();
        if (open.attempts == 0) open.first_at = now_, open.first_target = target;
        decision.first_at = open.first_at;
        decision.first_target = open.first_target;
        say([&] {
            return fmt::format("out  request {}: attempt {} to {}{}", serve.id, open.attempts, serve.endpoint,
                               decision.source < 0 ? "" : ", filled from " + serve.source);
        });
        watcher_.on_decision(*open.ask, decision, notified_);
        const int attempt = open.attempts++;
        if (target < 0) return;
        open.out[attempt] = {target, source};
        sent_[{serve.id, attempt}] = {now_, target};
        answer(serve, *open.ask, attempt, target, decision.source, open.deadline);
    }

    int place_of(const std::string& name) const {
        const auto found = places_.find(name);
        return found == places_.end() ? -1 : found->second;
    }

    // How long a transfer from this member takes against one that is warm.
    double slowness(int member) const {
        const MemberState& state = members_[member];
        if (state.cold_since < 0) return 1;
        const double warmed = static_cast<double>(now_ - state.cold_since) /
                              static_cast<double>(std::max<Micros>(1, warm_time(member)));
        return std::max(1.0, kColdPace - (kColdPace - 1) * warmed);
    }

    void answer(const routing::Forward& serve, const SimulatedRequest& ask, int attempt, int target,
                int source, Micros deadline) {
        const auto later = [&](Micros after, AttemptStatus verdict, CacheStatus note = CacheStatus::unknown,
                               Micros first_byte = 0) {
            // Whatever comes after the attempt's own limit is not waited for.
            const Micros limit =
                serve.timeout > 0 ? std::min(serve.timeout, deadline - now_) : deadline - now_;
            if (after > limit)
                after = limit, verdict = AttemptStatus::timed_out, note = CacheStatus::unknown,
                first_byte = 0;
            at(now_ + after, [this, id = serve.id, attempt, verdict, note, first_byte] {
                land(id, attempt, verdict, note, first_byte);
            });
        };
        MemberState& member = members_[target];
        const Micros connect = settings_.connect_timeout > 0 ? settings_.connect_timeout : 400 * kMs;
        if (member.refuses) return later(kRefusal, AttemptStatus::connect_failed);
        if (member.silent) return later(connect, AttemptStatus::connect_failed);
        if (member.full) return later(kRefusal, AttemptStatus::overloaded);
        const double pace = std::max(1.0, settings_.transfer_rate_kb_per_s);
        const auto work = static_cast<Micros>(ask.size_kb / pace * 1e6 * slowness(target));
        const std::pair<int, int> part{ask.object, ask.part};
        const bool origin = fleet_.kind_of(target) == Kind::origin;
        const bool runs_there = settings_.classes[ask.class_index].uncacheable;
        if (origin) return later(kOriginWay + work, AttemptStatus::served, CacheStatus::hit);
        if (!runs_there && member.holds.contains(part))
            return later(kNear + work, AttemptStatus::served, CacheStatus::hit);
        if (source < 0) return later(kNear, AttemptStatus::not_found, CacheStatus::source_missing);
        MemberState& from = members_[source];
        if (from.refuses)
            return later(kNear + kRefusal, AttemptStatus::error, CacheStatus::source_unreachable, kRefusal);
        if (from.silent)
            return later(connect, AttemptStatus::error, CacheStatus::source_unreachable, connect);
        if (from.fails_fills || from.full)
            return later(kNear + kFillWay, AttemptStatus::error, CacheStatus::source_rejected, kFillWay);
        const bool from_origin = fleet_.kind_of(source) == Kind::origin;
        const bool held = from_origin || from.holds.contains(part);
        if (!held && fleet_.kind_of(source) == Kind::cache)
            return later(kNear + kFillWay, AttemptStatus::not_found, CacheStatus::source_missing);
        if (!held && serve.source_cached_only)
            return later(kNear + kFillWay, AttemptStatus::not_found, CacheStatus::source_missing);
        if (!held && !origin_up())
            return later(kNear + kOriginWay, AttemptStatus::error, CacheStatus::origin_failed, kOriginWay);
        const Micros way = held && !from_origin ? kFillWay : kOriginWay;
        if (!runs_there) {
            if (!held && !serve.parent_bypasses_cache) from.holds.insert(part);
            if (serve.cache_priority > 0) member.holds.insert(part);
        }
        later(way + static_cast<Micros>(static_cast<double>(work) * 1.2), AttemptStatus::served,
              held ? CacheStatus::filled : CacheStatus::filled_by_origin, way);
    }

    bool origin_up() const {
        for (std::size_t i = 0; i < members_.size(); ++i)
            if (fleet_.kind_of(i) == Kind::origin)
                return !members_[i].refuses && !members_[i].silent && !members_[i].fails_fills;
        return false;
    }

    const Scenario& world_;
    const FleetModel& fleet_;
    const std::vector<SimulatedRequest>& asks_;
    SimulationObserver& watcher_;
    const routing::Settings settings_;
    routing::Router router_;
    std::unordered_map<std::string, int> places_;
    std::vector<MemberState> members_;
    std::vector<NotifiedStateSince> notified_;
    std::map<int, int> deaths_;  // a later life makes what was to be told of an earlier one void
    std::map<std::string, Open> open_;
    std::map<std::pair<std::string, int>, std::pair<Micros, int>> sent_;
    std::priority_queue<Due> due_;
    std::uint64_t order_ = 0;
    std::size_t arrived_ = 0;
    Micros now_ = 0;
};

}  // namespace

const char* name_of(RequestOutcome ended) {
    switch (ended) {
        case RequestOutcome::served:
            return "served";
        case RequestOutcome::rejected:
            return "refused";
        case RequestOutcome::failed:
            return "failed";
        case RequestOutcome::unanswered:
            return "unanswered";
    }
    return "?";
}

void simulate(const Scenario& world, const FleetModel& fleet, const std::vector<SimulatedRequest>& asks,
              SimulationObserver& watcher) {
    Run(world, fleet, asks, watcher).go();
}

}  // namespace sumackeel::expectations
