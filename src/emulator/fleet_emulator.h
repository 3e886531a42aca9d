// Emulator of a fleet: many routers in front of many endpoints on one virtual clock, for effects that only
// their sum shows, such as the load on an origin or on a cold endpoint when all routers act on the same
// event.
//
// A run is determined by its seed: nothing here reads a clock or a file. Endpoints are simple: an attempt
// takes its transfer time, and a fill from the origin waits in its queue. Times are microseconds of the
// virtual clock. A run keeps some 300 bytes per request until its end.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/router.h"

namespace sumackeel::emulator {

using routing::Micros;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

struct FleetOptions {
    int routers = 100;
    int zones = 15;
    int caches_per_zone = 4;
    int parents = 4;
    double requests_per_s = 1'000;  // of all clients
    int objects = 4'000;            // requested with a weight that falls as 1/rank
    double origin_fills_per_s = 400;
    Micros origin_max_wait = 0;  // with a longer queue it crashes for 5 s and loses its fills; 0: never
    double object_kb = 400;      // 0.1 s at full rate
    std::uint64_t seed = 20261201;
};

// Settings of the routers of such a fleet; index and zone are those of the first.
routing::Settings fleet_settings(const FleetOptions& options);

// Results of the requests, and the load on the origin and each endpoint.
struct Totals {
    int requested = 0;
    int served = 0;
    int in_time = 0;  // served within the latency objective
    int rejected = 0;
    int failed = 0;
    int duplicate_answers = 0;
    int unhandled = 0;  // no router was ready
    int origin_crashes = 0;
    double max_origin_queue = 0;                                // fills waiting there at once
    std::vector<Micros> origin_fills;                           // when they began, in order
    std::map<std::string, std::map<Micros, double>> work_sent;  // by endpoint and time of arrival
    // When attempts named the endpoint, as cache or as source, in order.
    std::map<std::string, std::vector<Micros>> attempts_by_endpoint;

    // The most work, in microseconds of transfer time, that reached the endpoint within any such window.
    double max_work_within(const std::string& endpoint, Micros window) const;

    // Attempts that named any of the endpoints in [from, to).
    int attempts_naming(const std::vector<std::string>& endpoints, Micros from, Micros to) const;
};

class FleetEmulator {
  public:
    // Throws std::invalid_argument for options without routers, zones, objects, requests or fills.
    explicit FleetEmulator(const FleetOptions& options);

    static std::string cache_name(int zone, int number) {
        return "c" + std::to_string(zone) + "-" + std::to_string(number);
    }

    void run_for(Micros duration);

    // Invalidates all copies; each router is notified a little later than the one before.
    void purge_all();

    // Endpoints restart empty and cold; all routers are notified at once.
    void restart(const std::vector<std::string>& endpoints);

    // Endpoints become unreachable, as when a zone is cut off: attempts there time out, and a cache that
    // fills from there reports an error after a long wait. The endpoint list is not updated.
    void disconnect(const std::vector<std::string>& endpoints) {
        disconnected_.insert(endpoints.begin(), endpoints.end());
    }

    // They respond again, empty and cold; the endpoint list is not updated.
    void reconnect(const std::vector<std::string>& endpoints);

    // Loss of power: routers, copies and open requests are gone. Clients whose router is not ready use
    // another; with none their requests are unhandled.
    void power_off();

    // The endpoints run again, cold from now on.
    void power_on();

    // A router restarts and gets the full list.
    void start_router(std::size_t router);
    bool is_running(std::size_t router) const { return running_[router]; }

    Micros now() const { return now_; }
    void set_origin_fill_rate(double fills_per_s) { options_.origin_fills_per_s = fills_per_s; }

    // Work within the overload window that overloads the endpoint at the given age, in microseconds.
    double overload_work(const std::string& endpoint, Micros age) const;

    const routing::Settings& settings() const { return settings_; }

    // Whether a running router is ready; empty: all are.
    std::function<bool(std::size_t router)> is_ready;
    // Called for each request before the router; false rejects it.
    std::function<bool(std::size_t router, const std::string& object)> admit;
    // Called for each request served.
    std::function<void(std::size_t router, const std::string& object, routing::CacheStatus)> on_served;
    // Called for each event that a router handled, with its actions.
    std::function<void(std::size_t router, Micros now, const std::vector<routing::Action>& actions)>
        on_actions;

    Totals totals;  // may be cleared between two calls of run_for

  private:
    struct Timer {
        Micros at;
        std::uint64_t order;  // timers due at one moment run in the order in which they were set
        std::function<void()> callback;
        bool operator<(const Timer& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct OpenRequest {
        std::string object;
        Micros arrived_at = 0;
        int attempts = 0;
    };
    // An attempt under way, as its endpoint sees it.
    struct EmulatedAttempt {
        std::size_t router = 0;
        routing::Forward forward;
        std::string object;
        int number = 0;
        Micros sent_at = 0;
    };
    struct AttemptEnd {
        routing::AttemptStatus status;
        routing::CacheStatus cache_status;
        Micros first_byte = 0;
    };

    void schedule(Micros at, std::function<void()> callback);
    void schedule_request(std::size_t router);
    void deliver_request(std::size_t router, const routing::RequestReceived& request);
    void handle(std::size_t router, const routing::Event& event);
    void handle_by_all(const routing::Event& event);

    void send(std::size_t router, const routing::Forward& forward);
    void send_to_source(const EmulatedAttempt& attempt, Micros& filled_at);
    void share_fill(const EmulatedAttempt& attempt, Micros filled_at);
    Micros queue_at_origin();
    void fill_from_fallible_origin(const EmulatedAttempt& attempt, Micros first_byte);
    void schedule_end(const EmulatedAttempt& attempt, Micros at, const AttemptEnd& end);
    void finish(const EmulatedAttempt& attempt, const AttemptEnd& end);
    void keep_copy(const std::string& endpoint, const std::string& object, Micros from);
    void record_work(const std::string& endpoint);
    void close_request(const std::string& id, int& count) {
        ++(open_.erase(id) ? count : totals.duplicate_answers);
    }

    routing::Router make_router(std::size_t number);
    std::size_t router_for_client_of(std::size_t number);
    const routing::Endpoint& find_endpoint(const std::string& name) const;
    Micros transfer_time() const;

    FleetOptions options_;
    routing::Settings settings_;
    std::mt19937_64 random_;
    std::vector<double> cumulative_popularity_;
    std::vector<routing::Endpoint> endpoints_;
    std::vector<routing::Router> routers_;
    std::vector<bool> running_;
    std::vector<int> router_generations_;  // timers of an earlier one are ignored
    std::priority_queue<Timer> timers_;
    std::uint64_t timer_count_ = 0;
    Micros now_ = 1'000 * kSecond;
    Micros origin_free_at_ = 0;
    Micros origin_crashed_at_ = -1;
    Micros origin_up_at_ = 0;
    std::unordered_map<std::string, OpenRequest> open_;
    std::set<std::string> disconnected_;
    std::set<std::pair<std::string, int>> in_flight_;                 // attempts, by request and number
    std::map<std::string, std::set<std::string>> copies_;             // objects by endpoint
    std::map<std::string, std::map<std::string, Micros>> filled_at_;  // end of a fill, by endpoint and object
};

}  // namespace sumackeel::emulator
