// Many members of a group on one virtual clock, with links that lose, delay and are cut and members that
// pause, die and start anew. For tests and measurements; not a part of the program. One seed, one run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership.h"

namespace sumackeel::cluster {

struct VirtualNetworkOptions {
    int members = 5;
    Options membership;
    std::uint64_t seed = 1;
    double loss = 0;       // of datagrams
    Micros delay = 1'000;  // one way
    Micros jitter = 1'000;
    bool formed = true;  // all know each other at the beginning; else each joins through the first
};

class VirtualNetwork {
  public:
    explicit VirtualNetwork(const VirtualNetworkOptions& options);

    void run_until(Micros at);
    Micros now() const { return now_; }
    Membership& at(int member) { return *nodes_[static_cast<std::size_t>(member)].group; }
    int size() const { return static_cast<int>(nodes_.size()); }
    static std::string name_of(int member);

    void set_loss(double loss) { options_.loss = loss; }
    void set_delay(Micros delay, Micros jitter) { options_.delay = delay, options_.jitter = jitter; }
    void cut(int from, int to, bool on = true);  // one way
    void heal() { cuts_.clear(); }
    void pause(int member, bool on = true);
    void kill(int member);
    void start(int member);  // anew, with the next start number
    bool running(int member) const { return nodes_[static_cast<std::size_t>(member)].running; }
    bool paused(int member) const { return nodes_[static_cast<std::size_t>(member)].paused; }

    // Told of each change that a member sees, and of each datagram before it is sent.
    std::function<void(int seer, const MemberChange& change)> on_change;
    std::function<void(int from, const Datagram& datagram)> on_send;
    // A datagram out of nowhere, as from a member that lies or a replay.
    void inject(int to, const Datagram& datagram);

    std::uint64_t bytes(int member) const { return nodes_[static_cast<std::size_t>(member)].bytes; }
    // All that run and are not paused see exactly each other as alive (or suspect, where that will do).
    bool agreed(bool suspect_will_do = false) const;

  private:
    struct Node {
        std::unique_ptr<Membership> group;
        bool running = false, paused = false;
        std::uint64_t start = 0, bytes = 0;
        Micros ticks_at = -1;
        std::vector<Datagram> held;  // came while it was paused
        Micros joins_at = -1;
    };
    struct Event {
        Micros at;
        std::uint64_t order;
        int member;
        std::shared_ptr<const Datagram> datagram;  // empty: a tick
        bool operator>(const Event& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void push(Micros at, int member, std::shared_ptr<const Datagram> datagram);
    void settle(int member);  // sends, tells and schedules what a call has left
    void exchange(int member, int with);
    int member_of(const std::string& name) const;
    bool linked(int a, int b) const { return !cuts_.contains({a, b}) && !cuts_.contains({b, a}); }

    VirtualNetworkOptions options_;
    std::mt19937_64 rng_;
    Micros now_ = 0;
    std::uint64_t orders_ = 0;
    std::vector<Node> nodes_;
    std::set<std::pair<int, int>> cuts_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace sumackeel::cluster
