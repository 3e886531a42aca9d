// Checks that the routing module takes the same decisions for the same events. Event streams are generated
// from seeds, and the resulting actions are hashed into a digest (except the text of log messages). Renaming
// or refactoring must not change any digest. With RECORD=1 in the environment the digests are printed instead
// of compared.
#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <variant>

#include "emulator/fleet_emulator.h"
#include "routing/router.h"

namespace {

using namespace sumackeel::routing;
namespace emulator = sumackeel::emulator;

// 64-bit FNV-1a.
class Digest {
  public:
    void add(const std::string& text) {
        for (const unsigned char byte : text) value_ = (value_ ^ byte) * 0x100000001b3ULL;
        value_ = (value_ ^ 0xff) * 0x100000001b3ULL;
    }
    void add(std::int64_t number) { add(std::to_string(number)); }
    std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

// One overload per action type, each starting with a distinct letter.
struct AddAction {
    Digest& digest;
    void operator()(const Lookup& a) const {
        digest.add("L"), digest.add(a.id), digest.add(a.endpoint), digest.add(a.timeout);
    }
    void operator()(const Forward& a) const {
        digest.add("S"), digest.add(a.id), digest.add(a.timeout), digest.add(a.endpoint),
            digest.add(a.max_age);
        digest.add(a.coalesce), digest.add(a.source_cached_only), digest.add(a.parent_bypasses_cache),
            digest.add(a.revalidate);
        digest.add(a.source), digest.add(a.cache_priority);
    }
    void operator()(const SetTimer& a) const {
        digest.add("T"), digest.add(a.at), digest.add(static_cast<std::int64_t>(a.token));
    }
    void operator()(const Reject& a) const { digest.add("R"), digest.add(a.id), digest.add(a.retry_after); }
    void operator()(const Fail& a) const { digest.add("F"), digest.add(a.id); }
    void operator()(const Cancel& a) const { digest.add("C"), digest.add(a.id), digest.add(a.attempt); }
    void operator()(const SendGossip& a) const { digest.add("P"), digest.add(a.to), digest.add(a.bytes); }
    void operator()(const WatchEndpoints& a) const { digest.add("W"), digest.add(a.enabled); }
    void operator()(const PollEndpoints&) const { digest.add("G"); }
    void operator()(const SendHealthCheck& a) const { digest.add("B"), digest.add(a.endpoint); }
    void operator()(const CloseIdleConnections& a) const { digest.add("I"), digest.add(a.endpoint); }
    void operator()(const LogMessage&) const {}
};

struct Replay {
    Digest digest;
    std::size_t events = 0, actions = 0;

    void add(Micros now, const std::vector<Action>& actions_taken) {
        ++events;
        digest.add(now);
        for (const Action& action : actions_taken) {
            ++actions;
            std::visit(AddAction{digest}, action);
        }
    }
};

void expect_digest(const char* name, const Replay& replay, std::uint64_t expected, std::size_t events) {
    if (std::getenv("RECORD"))
        return static_cast<void>(std::printf("%s: 0x%016llx, %zu events, %zu actions\n", name,
                                             static_cast<unsigned long long>(replay.digest.value()),
                                             replay.events, replay.actions));
    EXPECT_EQ(replay.events, events) << name;
    EXPECT_EQ(replay.digest.value(), expected) << name << ": " << replay.actions << " actions";
}

emulator::FleetOptions small_fleet(std::uint64_t seed, double requests_per_s) {
    emulator::FleetOptions options;
    options.routers = 20, options.zones = 5, options.requests_per_s = requests_per_s, options.objects = 1'500,
    options.seed = seed;
    return options;
}

void record(emulator::FleetEmulator& fleet, Replay& replay) {
    fleet.on_actions = [&replay](std::size_t router, Micros now, const std::vector<Action>& actions_taken) {
        replay.digest.add(static_cast<std::int64_t>(router));
        replay.add(now, actions_taken);
    };
}

// Settings for a stream number; together the streams vary all settings that the module branches on.
Settings settings_of(int stream) {
    emulator::FleetOptions options;
    options.routers = 12, options.zones = 3;
    Settings s = emulator::fleet_settings(options);
    constexpr Micros kMillisecond = 1'000;
    ClassSettings with_key = s.classes[0], non_idempotent = s.classes[0], aging = s.classes[0];
    with_key.retry_safety = RetrySafety::with_idempotency_key,
    with_key.idempotency_window = 900 * kMillisecond;
    with_key.idempotency_scope = stream % 3 == 0   ? IdempotencyScope::all
                                 : stream % 3 == 1 ? IdempotencyScope::zone
                                                   : IdempotencyScope::cell;
    non_idempotent.retry_safety = RetrySafety::not_idempotent, non_idempotent.uncacheable = true;
    aging.freshness_lifetime = 700 * kMillisecond, aging.stale_grace = 2'000 * kMillisecond,
    aging.stale_value = 0.5;
    s.classes.insert(s.classes.end(), {with_key, non_idempotent, aging});
    s.region_by_zone = {0, 1, 2};
    s.own_zone = stream % 2;
    s.coalescing_allowed = stream % 4 != 1;
    s.cache_bypass_allowed = stream % 2 == 0;
    s.sibling_fill = stream % 3 == 2 ? SiblingFill::own_zone : SiblingFill::none;
    s.cache_status_detail = stream % 5 == 4 ? CacheStatusDetail::none : CacheStatusDetail::all;
    s.ingress_kb_per_s_by_zone = {30'000, 20'000, 40'000};
    s.endpoints_on_request = stream % 2 == 1;
    s.retry_after_allowed = stream % 2 == 0, s.max_retry_after = 800 * kMillisecond;
    s.origin_only_requests_per_s = stream % 3 == 0 ? 3 : 0;
    s.max_attempts = 2 + stream % 5;
    s.cancellation_allowed = stream % 3 != 0;
    return s;
}

// Sends random events to one router: requests, results of every kind, endpoint lists, purges, cancellations.
class RandomStream {
  public:
    explicit RandomStream(int stream)
        : settings_(settings_of(stream)),
          random_(static_cast<std::uint64_t>(stream) + 77),
          router_(settings_, random_()) {
        update_endpoints(EndpointUpdateKind::full);
    }

    void run(int events) {
        for (int i = 0; i < events; ++i) {
            now_ += static_cast<Micros>(random_below(9'000));
            send_event();
        }
    }
    Replay replay;

  private:
    struct InFlight {
        std::string id, cache;
        int attempt;
        Micros sent_at;
    };

    std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

    void handle(const Event& event) {
        std::vector<Action> actions_taken;
        router_.handle(now_, event, actions_taken);
        replay.add(now_, actions_taken);
        for (const Action& action : actions_taken) {
            if (const auto* forward = std::get_if<Forward>(&action))
                record_sent(forward->id, forward->endpoint);
            if (const auto* lookup = std::get_if<Lookup>(&action)) record_sent(lookup->id, lookup->endpoint);
            if (const auto* timer = std::get_if<SetTimer>(&action))
                timers_.emplace_back(timer->at, timer->token);
        }
    }
    void record_sent(const std::string& id, const std::string& cache) {
        in_flight_.push_back({id, cache, attempts_[id]++, now_});
    }

    void send_event() {
        for (std::size_t i = 0; i < timers_.size(); ++i)
            if (timers_[i].first <= now_) {
                const std::uint64_t token = timers_[i].second;
                timers_.erase(timers_.begin() + static_cast<std::ptrdiff_t>(i));
                return handle(TimerExpired{token});
            }
        const std::uint64_t choice = random_below(1'000);
        if (choice < 430 || in_flight_.empty()) return send_request();
        if (choice < 900) return finish_attempt();
        if (choice < 920) return handle(ClientCancelled{in_flight_[random_below(in_flight_.size())].id});
        if (choice < 935) return purge();
        if (choice < 950)
            return update_endpoints(random_below(4) == 0 ? EndpointUpdateKind::full
                                                         : EndpointUpdateKind::incremental);
        if (choice < 955) return update_endpoints(EndpointUpdateKind::failed);
        if (choice < 965)
            return handle(ResponseStarted{in_flight_.front().id, in_flight_.front().cache,
                                          in_flight_.front().attempt, 1'000});
        if (choice < 980) return send_health_check();
        if (choice < 990) return handle(ProcessStalled{static_cast<Micros>(random_below(400'000))});
        handle(ClusterSizeChanged{static_cast<int>(6 + random_below(12)),
                                  {4, 3, static_cast<int>(1 + random_below(5))}});
    }

    void send_request() {
        RequestReceived arrival;
        arrival.id = "r" + std::to_string(next_id_++);
        arrival.class_index = static_cast<int>(random_below(settings_.classes.size()));
        if (random_below(20) != 0)
            arrival.object = "o" + std::to_string(random_below(random_below(2) == 0 ? 6 : 60));
        arrival.time_left = static_cast<Micros>(200'000 + random_below(2'800'000));
        if (random_below(10) == 0) arrival.shutdown_in = static_cast<Micros>(random_below(900'000));
        arrival.size_kb = random_below(5) == 0 ? 0 : static_cast<double>(20 + random_below(900));
        arrival.purge_group = static_cast<int>(random_below(5));
        arrival.part = static_cast<int>(random_below(3));
        arrival.write = arrival.class_index == 2;
        handle(arrival);
    }

    void finish_attempt() {
        const std::size_t index = random_below(in_flight_.size());
        const InFlight in_flight = in_flight_[index];
        in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
        AttemptFinished result;
        result.id = in_flight.id, result.endpoint = in_flight.cache, result.attempt = in_flight.attempt;
        result.elapsed = now_ - in_flight.sent_at;
        result.status =
            random_below(4) != 0 ? AttemptStatus::served : static_cast<AttemptStatus>(random_below(9));
        result.request_finished = result.status == AttemptStatus::served;
        result.cache_status = static_cast<CacheStatus>(random_below(11));
        result.time_to_first_byte = static_cast<Micros>(random_below(300'000));
        if (random_below(3) == 0)
            result.load = {static_cast<double>(random_below(12)), static_cast<double>(random_below(30)) / 10};
        handle(result);
    }

    void purge() {
        handle(Purge{static_cast<int>(random_below(5)), static_cast<Micros>(random_below(500'000)),
                     random_below(2) == 0 ? "o" + std::to_string(random_below(60)) : std::string{}});
    }

    // Each draw is a statement of its own, or in a braced list: operands have no order.
    void send_health_check() {
        const std::string cache = std::to_string(random_below(4));
        const std::string zone = std::to_string(random_below(3));
        handle(HealthCheckResult{
            "c" + zone + "-" + cache,
            AttemptStatus::served,
            900,
            {static_cast<double>(random_below(9)), static_cast<double>(random_below(20)) / 10}});
    }

    void update_endpoints(EndpointUpdateKind kind) {
        EndpointUpdate update{static_cast<std::int64_t>(++version_), kind, {}};
        const auto add = [&](const std::string& name, int zone, int endpoint_kind, double weight) {
            if (kind == EndpointUpdateKind::incremental && random_below(6) != 0) return;
            Endpoint entry{
                .name = name, .weight = weight, .zone = zone, .kind = endpoint_kind, .cell = zone * 2};
            if (version_ > 1 && random_below(5) == 0)
                entry.state = random_below(2) == 0 ? EndpointState::draining : EndpointState::removed;
            if (version_ > 1 && random_below(4) == 0)
                entry.started_at = now_ - static_cast<Micros>(random_below(9'000'000));
            entry.unverified = version_ > 1 && random_below(12) == 0;
            update.endpoints.push_back(entry);
        };
        if (kind != EndpointUpdateKind::failed) {
            for (int zone = 0; zone < 3; ++zone)
                for (int i = 0; i < 4; ++i)
                    add("c" + std::to_string(zone) + "-" + std::to_string(i), zone, 0, 3 + i);
            for (int i = 0; i < 3; ++i) add("p" + std::to_string(i), i, settings_.parent_kind, 20);
            add("origin", 0, settings_.origin_kind, 1);
        }
        handle(update);
    }

    Settings settings_;
    std::mt19937_64 random_;
    Router router_;
    Micros now_ = 5'000'000'000;
    std::vector<InFlight> in_flight_;
    std::map<std::string, int> attempts_;
    std::vector<std::pair<Micros, std::uint64_t>> timers_;
    std::uint64_t next_id_ = 0;
    int version_ = 0;
};

}  // namespace

TEST(RoutingReplay, QuietFleet) {
    emulator::FleetEmulator fleet(small_fleet(1, 300));
    Replay replay;
    record(fleet, replay);
    fleet.run_for(12 * emulator::kSecond);
    expect_digest("quiet", replay, 0x737a615198b33391, 7268);
}

TEST(RoutingReplay, FleetWithPurgeRestartsLossesAndReturn) {
    emulator::FleetEmulator fleet(small_fleet(2, 500));
    Replay replay;
    record(fleet, replay);
    fleet.run_for(4 * emulator::kSecond);
    fleet.purge_all();
    fleet.run_for(2 * emulator::kSecond);
    fleet.restart({"c0-0", "c1-1", "p0"});
    fleet.run_for(3 * emulator::kSecond);
    fleet.disconnect({"c2-0", "c2-1", "c2-2", "c2-3", "p1"});
    fleet.run_for(4 * emulator::kSecond);
    fleet.reconnect({"c2-0", "c2-1", "c2-2", "c2-3", "p1"});
    fleet.run_for(4 * emulator::kSecond);
    expect_digest("faulty", replay, 0xebe699c55cc67c9d, 17164);
}

TEST(RoutingReplay, OverloadedOriginAndFleetAfterPowerLoss) {
    emulator::FleetOptions options = small_fleet(3, 1'500);
    options.origin_fills_per_s = 120, options.origin_max_wait = 2 * emulator::kSecond;
    emulator::FleetEmulator fleet(options);
    Replay replay;
    record(fleet, replay);
    fleet.run_for(4 * emulator::kSecond);
    fleet.set_origin_fill_rate(60);
    fleet.purge_all();
    fleet.run_for(4 * emulator::kSecond);
    fleet.power_off();
    fleet.run_for(emulator::kSecond);
    fleet.power_on();
    for (std::size_t i = 0; i < 20; ++i) fleet.start_router(i);
    fleet.run_for(4 * emulator::kSecond);
    expect_digest("overloaded", replay, 0x2003fbd2b5722e79, 24473);
}

TEST(RoutingReplay, EventsByChanceUnderUnlikeSettings) {
    constexpr std::uint64_t kExpected[] = {0x87034c40063d7352, 0x9cfab603ba09de88, 0x63b4c529de390a3e,
                                           0xa5ab09b26a355348, 0x1abbe7f861670147, 0xa50d34903882e9ee,
                                           0x273937230d21c8a1, 0x660ab02203bac8ec, 0xfbd93c7c24b97288,
                                           0xf7c6c3d2f7fab3d0, 0x9bde51eab5cf95f6, 0xb8a544a0e21d637e};
    constexpr int kEvents = 6'000;
    for (int stream = 0; stream < 12; ++stream) {
        RandomStream events(stream);
        events.run(kEvents);
        expect_digest(("stream " + std::to_string(stream)).c_str(), events.replay, kExpected[stream],
                      kEvents + 1);
    }
}
