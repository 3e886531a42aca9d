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
constexpr Micros kStartTime = 1'700'000'000LL * base::kSecond;  // arbitrary; the router has no other clock
constexpr Micros kRejectionDelay = 1 * kMs;         // until a refused connection or an overloaded response
constexpr Micros kZoneRoundTrip = 2 * kMs;          // to an endpoint of the zone and back
constexpr Micros kSourceFirstByte = 40 * kMs;       // until a source's first byte
constexpr Micros kOriginFirstByte = 60 * kMs;       // the same from the origin through a parent
constexpr Micros kNotificationDelay = 2'000 * kMs;  // from a failure until the list removes the endpoint
constexpr double kColdSlowdown = 3;                 // factor on transfer times right after a restart

struct MemberState {
    bool refuses_connections = false, unresponsive = false, fails_fills = false, full = false,
         reports_stale_load = false;
    Micros cold_since = -1;                // negative: warm
    std::set<std::pair<int, int>> copies;  // by object and part
};

struct OpenRequest {
    const SimulatedRequest* request = nullptr;
    int attempts = 0;
    bool may_have_run = false;
    Micros deadline = 0;
    Micros first_at = 0;
    int first_target = -1;
    std::map<int, std::pair<int, int>> in_flight;  // target and source by attempt
};

class Run {
  public:
    Run(const Scenario& scenario, const FleetModel& fleet, const std::vector<SimulatedRequest>& requests,
        SimulationObserver& observer)
        : scenario_(scenario),
          fleet_(fleet),
          requests_(requests),
          observer_(observer),
          settings_(settings_of(fleet, scenario)),
          router_(settings_, scenario.seed),
          members_(fleet.members.size()),
          notified_(fleet.members.size()) {
        for (std::size_t i = 0; i < fleet.members.size(); ++i)
            member_indices_[fleet.name(i)] = static_cast<int>(i);
    }

    void run() {
        std::vector<routing::Endpoint> entries;
        for (std::size_t i = 0; i < fleet_.members.size(); ++i) {
            routing::Endpoint entry = fleet_.members[i].endpoint;
            entry.started_at = 0;
            notified_[i].notified =
                entry.state == EndpointState::ready ? NotifiedState::up : NotifiedState::draining;
            entries.push_back(entry);
        }
        for (const FaultEvent& event : scenario_.faults)
            schedule(event.at, [this, &event] { apply_fault(event); });
        deliver(routing::EndpointUpdate{1, routing::EndpointUpdateKind::full, std::move(entries)},
                [] { return "list: the whole fleet"; });
        for (const SimulatedRequest& request : requests_)
            schedule(request.at, [this, &request] { receive_request(request); });
        // Ends with the last request; timers that are still pending then are not run.
        while (!callbacks_.empty() && !observer_.enough()) {
            if (open_.empty() && received_ == requests_.size()) break;
            ScheduledCallback next = std::move(const_cast<ScheduledCallback&>(callbacks_.top()));
            callbacks_.pop();
            now_ = next.due_at;
            next.callback();
        }
    }

  private:
    struct ScheduledCallback {
        Micros due_at;
        std::uint64_t order;  // callbacks due at one moment run in the order in which they were scheduled
        std::function<void()> callback;
        bool operator<(const ScheduledCallback& other) const {
            return std::tie(due_at, order) > std::tie(other.due_at, other.order);
        }
    };

    static routing::Settings settings_of(const FleetModel& fleet, const Scenario& scenario) {
        routing::Settings settings = fleet.site.settings;
        settings.own_zone = scenario.zone;
        return settings;
    }

    void schedule(Micros due_at, std::function<void()> callback) {
        callbacks_.push({std::max(due_at, now_), next_order_++, std::move(callback)});
    }

    template <typename Words>
    void trace(const Words& describe) {
        if (observer_.wants_steps()) observer_.step(now_, describe());
    }

    // `describe` is only called if the observer wants steps.
    template <typename Words>
    void deliver(const routing::Event& event, const Words& describe) {
        trace([&] { return "in   " + std::string(describe()); });
        std::vector<routing::Action> actions;
        router_.handle(kStartTime + now_, event, actions);
        for (const routing::Action& action : actions)
            std::visit([this](const auto& a) { execute(a); }, action);
    }

    // ---- faults ----
    void notify(int member, NotifiedState notified, Micros since_start = 0) {
        routing::Endpoint entry = fleet_.members[member].endpoint;
        entry.state = notified == NotifiedState::gone       ? EndpointState::removed
                      : notified == NotifiedState::draining ? EndpointState::draining
                                                            : EndpointState::ready;
        entry.started_at = since_start;
        notified_[member] = {notified, now_};
        deliver(routing::EndpointUpdate{2, routing::EndpointUpdateKind::incremental, {entry}},
                [&] { return fmt::format("list: {} is {}", entry.name, name_of(notified)); });
    }

    void apply_fault(const FaultEvent& event) {
        MemberState& member = members_[event.member];
        const bool notifies_router = event.fault == FaultKind::drain || event.fault == FaultKind::back_cold;
        if (!notifies_router)
            trace([&] { return fmt::format("     {} {}", fleet_.name(event.member), name_of(event.fault)); });
        switch (event.fault) {
            case FaultKind::drain:
                return notify(event.member, NotifiedState::draining);
            case FaultKind::dies:
            case FaultKind::vanishes:
                member.refuses_connections = event.fault == FaultKind::dies;
                member.unresponsive = event.fault == FaultKind::vanishes;
                member.copies.clear();
                if (member.refuses_connections) reset_connections(event.member);
                ++generations_[event.member];
                return schedule(now_ + kNotificationDelay,
                                [this, index = event.member, generation = generations_[event.member]] {
                                    if (generations_[index] == generation) notify(index, NotifiedState::gone);
                                });
            case FaultKind::back_cold:
                member = MemberState{};
                member.cold_since = now_;
                ++generations_[event.member];
                schedule(now_ + warm_time(event.member), [this, index = event.member,
                                                          generation = generations_[event.member]] {
                    if (generations_[index] == generation && notified_[index].notified == NotifiedState::cold)
                        notified_[index] = {NotifiedState::up, now_};
                });
                return notify(event.member, NotifiedState::cold, kStartTime + now_);
            case FaultKind::fails_fills:
                member.fails_fills = true;
                return;
            case FaultKind::full:
                member.full = true;
                return;
            case FaultKind::stale_report:
                member.reports_stale_load = true;
                return;
        }
    }

    Micros warm_time(int member) const {
        return fleet_.kind_of(member) == Kind::parent ? settings_.parent_slow_start
                                                      : settings_.warm_up_duration;
    }

    // The connections of a terminated process are reset, which ends the attempts on them.
    void reset_connections(int member) {
        std::vector<std::pair<std::string, int>> lost_attempts;
        for (const auto& [id, open] : open_)
            for (const auto& [attempt, where] : open.in_flight)
                if (where.first == member) lost_attempts.emplace_back(id, attempt);
        for (const auto& each : lost_attempts)
            schedule(now_, [this, id = each.first, attempt = each.second] {
                finish_attempt(id, attempt, AttemptStatus::connection_reset, CacheStatus::unknown, 0);
            });
    }

    // ---- requests ----
    void receive_request(const SimulatedRequest& request) {
        ++received_;
        const auto& service = settings_.classes[request.class_index];
        routing::RequestReceived received;
        received.id = std::to_string(request.number);
        received.class_index = request.class_index;
        // Set for uncacheable requests too: without an object the router selects no source.
        received.object = object_name(request.object);
        received.purge_group = group_of(request.object);
        received.part = request.part;
        received.size_kb = request.size_kb;
        received.time_left = service.deadline;
        received.write = service.uncacheable;
        OpenRequest& open = open_[received.id];
        open.request = &request;
        open.deadline = now_ + service.deadline;
        schedule(open.deadline, [this, id = received.id] { cancel_at_deadline(id); });
        deliver(received, [&] {
            return fmt::format("request {}: {} of object {}", request.number,
                               fleet_.site.classes[request.class_index], received.object);
        });
    }

    void finish(const std::string& id, RequestOutcome outcome) {
        const auto found = open_.find(id);
        if (found == open_.end()) return;
        const OpenRequest open = std::move(found->second);
        open_.erase(found);
        observer_.on_request_finished(*open.request,
                                      {open.request->number, outcome, open.attempts, now_ - open.request->at},
                                      notified_);
    }

    void cancel_at_deadline(const std::string& id) {
        if (!open_.contains(id)) return;
        finish(id, RequestOutcome::unanswered);
        deliver(routing::ClientCancelled{id}, [&] { return fmt::format("request {}: its client left", id); });
    }

    void finish_attempt(const std::string& id, int attempt, AttemptStatus status, CacheStatus cache_status,
                        Micros first_byte) {
        const auto found = open_.find(id);
        routing::AttemptFinished finished;
        finished.id = id;
        finished.attempt = attempt;
        finished.status = status;
        finished.cache_status = cache_status;
        finished.time_to_first_byte = first_byte;
        const auto key = std::pair(id, attempt);
        const auto sent = sent_.find(key);
        if (sent == sent_.end()) return;  // already cancelled
        const auto [sent_at, target] = sent->second;
        sent_.erase(sent);
        finished.endpoint = fleet_.name(target);
        finished.elapsed = now_ - sent_at;
        finished.request_finished = status == AttemptStatus::served || found == open_.end();
        if (members_[target].reports_stale_load)
            finished.load = {.in_flight = 500, .ingress_utilization = 20};
        if (found != open_.end()) {
            found->second.in_flight.erase(attempt);
            if (!routing::proves_not_run(status)) found->second.may_have_run = true;
        }
        const bool served = status == AttemptStatus::served && found != open_.end();
        static constexpr const char* kStatusNames[] = {
            "served",     "error",      "full",       "timed out", "not connected",
            "broken off", "called off", "never sent", "missing",   "withheld"};
        deliver(finished, [&] {
            return fmt::format("request {}: attempt {} at {}: {}", id, attempt, finished.endpoint,
                               kStatusNames[static_cast<std::size_t>(status)]);
        });
        if (served) finish(id, RequestOutcome::served);
    }

    // ---- the router's actions ----
    void execute(const routing::Forward& forward) { send(forward); }
    void execute(const routing::Lookup& lookup) {
        routing::Forward forward;
        forward.id = lookup.id;
        forward.endpoint = forward.source = lookup.endpoint;
        forward.timeout = lookup.timeout;
        send(forward);
    }
    void execute(const routing::SetTimer& timer) {
        schedule(timer.at - kStartTime, [this, token = timer.token] {
            deliver(routing::TimerExpired{token}, [&] { return fmt::format("timer {}", token); });
        });
    }
    void execute(const routing::Reject& reject) {
        trace([&] { return fmt::format("out  request {}: refused", reject.id); });
        finish(reject.id, RequestOutcome::rejected);
    }
    void execute(const routing::Fail& fail) {
        trace([&] { return fmt::format("out  request {}: failed", fail.id); });
        finish(fail.id, RequestOutcome::failed);
    }
    void execute(const routing::Cancel& cancel) {
        trace(
            [&] { return fmt::format("out  request {}: attempt {} called off", cancel.id, cancel.attempt); });
        schedule(now_, [this, cancel] {
            finish_attempt(cancel.id, cancel.attempt, AttemptStatus::cancelled, CacheStatus::unknown, 0);
        });
    }
    void execute(const routing::LogMessage& message) {
        trace([&] { return "log  " + message.text; });
    }
    template <typename Other>
    void execute(const Other&) {}  // the other actions do not affect routing

    void send(const routing::Forward& forward) {
        const auto found = open_.find(forward.id);
        if (found == open_.end()) return;
        OpenRequest& open = found->second;
        const int target = member_index(forward.endpoint), source = member_index(forward.source);
        Decision decision;
        decision.at = now_;
        decision.request = open.request->number;
        decision.attempt = open.attempts;
        decision.target = target;
        decision.source = source == target ? -1 : source < 0 ? -2 : source;
        decision.rank = forward.cache_priority;
        decision.may_have_run = open.may_have_run || !open.in_flight.empty();
        if (open.attempts == 0) open.first_at = now_, open.first_target = target;
        decision.first_at = open.first_at;
        decision.first_target = open.first_target;
        trace([&] {
            return fmt::format("out  request {}: attempt {} to {}{}", forward.id, open.attempts,
                               forward.endpoint,
                               decision.source < 0 ? "" : ", filled from " + forward.source);
        });
        observer_.on_decision(*open.request, decision, notified_);
        const int attempt = open.attempts++;
        if (target < 0) return;
        open.in_flight[attempt] = {target, source};
        sent_[{forward.id, attempt}] = {now_, target};
        respond(forward, *open.request, attempt, target, decision.source, open.deadline);
    }

    int member_index(const std::string& name) const {
        const auto found = member_indices_.find(name);
        return found == member_indices_.end() ? -1 : found->second;
    }

    // Transfer time of this member relative to a warm one.
    double transfer_slowdown(int member) const {
        const MemberState& state = members_[member];
        if (state.cold_since < 0) return 1;
        const double warmed = static_cast<double>(now_ - state.cold_since) /
                              static_cast<double>(std::max<Micros>(1, warm_time(member)));
        return std::max(1.0, kColdSlowdown - (kColdSlowdown - 1) * warmed);
    }

    void respond(const routing::Forward& forward, const SimulatedRequest& request, int attempt, int target,
                 int source, Micros deadline) {
        const auto finish_after = [&](Micros after, AttemptStatus status,
                                      CacheStatus cache_status = CacheStatus::unknown,
                                      Micros first_byte = 0) {
            // An attempt ends at its own timeout or the request's deadline.
            const Micros limit =
                forward.timeout > 0 ? std::min(forward.timeout, deadline - now_) : deadline - now_;
            if (after > limit)
                after = limit, status = AttemptStatus::timed_out, cache_status = CacheStatus::unknown,
                first_byte = 0;
            schedule(now_ + after, [this, id = forward.id, attempt, status, cache_status, first_byte] {
                finish_attempt(id, attempt, status, cache_status, first_byte);
            });
        };
        MemberState& member = members_[target];
        const Micros connect_timeout = settings_.connect_timeout > 0 ? settings_.connect_timeout : 400 * kMs;
        if (member.refuses_connections) return finish_after(kRejectionDelay, AttemptStatus::connect_failed);
        if (member.unresponsive) return finish_after(connect_timeout, AttemptStatus::connect_failed);
        if (member.full) return finish_after(kRejectionDelay, AttemptStatus::overloaded);
        const double rate = std::max(1.0, settings_.transfer_rate_kb_per_s);
        const auto transfer_time =
            static_cast<Micros>(request.size_kb / rate * 1e6 * transfer_slowdown(target));
        const std::pair<int, int> part{request.object, request.part};
        const bool origin = fleet_.kind_of(target) == Kind::origin;
        const bool uncacheable = settings_.classes[request.class_index].uncacheable;
        if (origin)
            return finish_after(kOriginFirstByte + transfer_time, AttemptStatus::served, CacheStatus::hit);
        if (!uncacheable && member.copies.contains(part))
            return finish_after(kZoneRoundTrip + transfer_time, AttemptStatus::served, CacheStatus::hit);
        if (source < 0)
            return finish_after(kZoneRoundTrip, AttemptStatus::not_found, CacheStatus::source_missing);
        MemberState& source_state = members_[source];
        if (source_state.refuses_connections)
            return finish_after(kZoneRoundTrip + kRejectionDelay, AttemptStatus::error,
                                CacheStatus::source_unreachable, kRejectionDelay);
        if (source_state.unresponsive)
            return finish_after(connect_timeout, AttemptStatus::error, CacheStatus::source_unreachable,
                                connect_timeout);
        if (source_state.fails_fills || source_state.full)
            return finish_after(kZoneRoundTrip + kSourceFirstByte, AttemptStatus::error,
                                CacheStatus::source_rejected, kSourceFirstByte);
        const bool from_origin = fleet_.kind_of(source) == Kind::origin;
        const bool source_has_copy = from_origin || source_state.copies.contains(part);
        if (!source_has_copy && fleet_.kind_of(source) == Kind::cache)
            return finish_after(kZoneRoundTrip + kSourceFirstByte, AttemptStatus::not_found,
                                CacheStatus::source_missing);
        if (!source_has_copy && forward.source_cached_only)
            return finish_after(kZoneRoundTrip + kSourceFirstByte, AttemptStatus::not_found,
                                CacheStatus::source_missing);
        if (!source_has_copy && !origin_up())
            return finish_after(kZoneRoundTrip + kOriginFirstByte, AttemptStatus::error,
                                CacheStatus::origin_failed, kOriginFirstByte);
        const Micros fill_delay = source_has_copy && !from_origin ? kSourceFirstByte : kOriginFirstByte;
        if (!uncacheable) {
            if (!source_has_copy && !forward.parent_bypasses_cache) source_state.copies.insert(part);
            if (forward.cache_priority > 0) member.copies.insert(part);
        }
        finish_after(fill_delay + static_cast<Micros>(static_cast<double>(transfer_time) * 1.2),
                     AttemptStatus::served,
                     source_has_copy ? CacheStatus::filled : CacheStatus::filled_by_origin, fill_delay);
    }

    bool origin_up() const {
        for (std::size_t i = 0; i < members_.size(); ++i)
            if (fleet_.kind_of(i) == Kind::origin)
                return !members_[i].refuses_connections && !members_[i].unresponsive &&
                       !members_[i].fails_fills;
        return false;
    }

    const Scenario& scenario_;
    const FleetModel& fleet_;
    const std::vector<SimulatedRequest>& requests_;
    SimulationObserver& observer_;
    const routing::Settings settings_;
    routing::Router router_;
    std::unordered_map<std::string, int> member_indices_;
    std::vector<MemberState> members_;
    std::vector<NotifiedStateSince> notified_;
    std::map<int, int> generations_;  // pending notifications of an earlier generation are dropped
    std::map<std::string, OpenRequest> open_;
    std::map<std::pair<std::string, int>, std::pair<Micros, int>> sent_;
    std::priority_queue<ScheduledCallback> callbacks_;
    std::uint64_t next_order_ = 0;
    std::size_t received_ = 0;
    Micros now_ = 0;
};

}  // namespace

const char* name_of(RequestOutcome outcome) {
    switch (outcome) {
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

void simulate(const Scenario& scenario, const FleetModel& fleet,
              const std::vector<SimulatedRequest>& requests, SimulationObserver& observer) {
    Run(scenario, fleet, requests, observer).run();
}

}  // namespace sumackeel::expectations
