// Many instances of the module before many boxes on one virtual clock, for what only the sum of them shows:
// what reaches an origin, a cold box, a parent when all proxies act on the same news. One chance seed gives
// one run. The boxes are simple: an attempt takes its sending time, a fill from the origin waits its turn
// there. Times are in microseconds of the virtual clock; nothing here reads a clock or a file. A run holds
// what it asked for until its end: some 300 bytes a request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/router.h"

namespace sumackeel::emulator {

using routing::Micros;

constexpr Micros kMs = 1'000, kSecond = 1'000'000;

struct FleetOptions {
    int routers = 100, zones = 15, caches_a_zone = 4, parents = 4;
    double asks_per_s = 1'000;  // of all clients
    int objects = 4'000;        // wanted with a weight that falls as 1/rank
    double origin_fills_per_s = 400;
    Micros origin_bears = 0;  // a longer queue makes it fall, for 5 s and with all that it was at; 0: never
    double kb = 400;          // one read; 0.1 s at full pace
    std::uint64_t seed = 20261201;
};

// What the platform would tell such a fleet.
routing::Settings settings(const FleetOptions& shape);

// What became of the requests, and what reached the origin and each box.
struct Totals {
    int asked = 0, served = 0, in_time = 0, refused = 0, failed = 0, twice = 0;
    double longest_at_origin = 0;                               // fills waiting there at once
    std::vector<Micros> origin_fills;                           // begun there, in order
    int lost = 0;                                               // nobody was there to ask
    int origin_fell = 0;                                        // times
    std::map<std::string, std::map<Micros, double>> work_sent;  // to a box, by the time it arrived
    std::map<std::string, std::vector<Micros>>
        named;  // when attempts named it, as box or as source, in order

    // The most work that reached a box within any such window.
    double most_within(const std::string& box, Micros window) const;
    // Attempts that named any of the boxes from `from` up to `to`.
    int named_between(const std::vector<std::string>& boxes, Micros from, Micros to) const;
};

class FleetEmulator {
  public:
    explicit FleetEmulator(const FleetOptions& shape);

    static std::string box(int zone, int i) { return "c" + std::to_string(zone) + "-" + std::to_string(i); }

    void run_for(Micros span);
    // Every copy goes void, and each router hears of it a little later than the one before.
    void purge_all();
    // Boxes come back empty and cold, told to all at once.
    void restart(const std::vector<std::string>& boxes);
    // Machines vanish without a word, as when a zone is cut off: what is sent there runs out of time, a cache
    // that fills from there says so once it has waited for long. No list tells of it.
    void lose(const std::vector<std::string>& boxes) { lost_.insert(boxes.begin(), boxes.end()); }
    // They answer again, empty and cold, and no list tells of that either.
    void come_back(const std::vector<std::string>& boxes);
    // The power is gone: routers, all copies and what was open. Clients whose router is not there, or not
    // ready, go to another; where there is none their requests are asked and lost.
    void power_off();
    // The boxes run again, cold from now on.
    void power_back();
    // A router starts anew and is told the list.
    void start(std::size_t router);
    bool runs(std::size_t router) const { return running_[router]; }
    std::function<bool(std::size_t router)> ready;  // of one that runs; none: all are
    // Asked of each request before the router is: false refuses it at once.
    std::function<bool(std::size_t router, const std::string& object)> gate;
    // Told of each request served, and how.
    std::function<void(std::size_t router, const std::string& object, routing::CacheStatus)> answered;
    // Told of each event that a router took, with the actions that came of it.
    std::function<void(std::size_t router, Micros now, const std::vector<routing::Action>& actions)> observe;
    Micros now() const { return now_; }
    void origin_does(double fills_per_s) { shape_.origin_fills_per_s = fills_per_s; }
    // The work that pushes over a box that started `ago` before, sent within the window of the rule.
    double breaks_at(const std::string& box, Micros ago) const;

    const routing::Settings& set() const { return set_; }
    Totals totals;  // may be cleared between two stretches

  private:
    struct Due {
        Micros at;
        std::uint64_t order;  // of two at one moment the one set first comes first
        std::function<void()> what;
        bool operator<(const Due& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Open {
        std::string object;
        Micros asked = 0;
        int attempts = 0;
    };

    void at(Micros when, std::function<void()> what) { due_.push({when, ++order_, std::move(what)}); }
    void next_ask(std::size_t router);
    void tell(std::size_t router, const routing::Event& event);
    void tell_all(const routing::Event& event);
    void send(std::size_t router, const routing::Forward& serve);
    void end(std::size_t router, routing::AttemptFinished outcome, Micros sent);
    void over(const std::string& id, int& count) { ++(open_.erase(id) ? count : totals.twice); }
    routing::Router router(std::size_t number);
    std::size_t taker(std::size_t router);
    const routing::Endpoint& entry(const std::string& name) const;
    Micros work() const;

    FleetOptions shape_;
    routing::Settings set_;
    std::mt19937_64 chance_;
    std::vector<double> popularity_;  // summed up
    std::vector<routing::Endpoint> entries_;
    std::vector<routing::Router> routers_;
    std::vector<bool> running_;
    std::vector<int> lives_;  // of each router: what an earlier one had set is passed over
    std::priority_queue<Due> due_;
    std::uint64_t order_ = 0;
    Micros now_ = 1'000 * kSecond, origin_free_ = 0, origin_fell_ = -1, origin_up_ = 0;
    std::unordered_map<std::string, Open> open_;
    std::set<std::string> lost_;
    std::set<std::pair<std::string, int>> out_;  // attempts, by request and number
    std::map<std::string, std::set<std::string>> held_;
    std::map<std::string, std::map<std::string, Micros>> filling_;  // object to the fill's end, by box
};

}  // namespace sumackeel::emulator
