// Simulates the members of a cluster on a virtual clock: links lose and delay datagrams and can be cut,
// members pause, die and restart. For tests and benchmarks, not a part of the program. A seed determines the
// run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership.h"

namespace sumackeel::cluster {

// Times are microseconds.
struct VirtualNetworkOptions {
    int members = 5;
    Options membership;
    std::uint64_t seed = 1;
    double loss = 0;       // of datagrams, 0 to 1
    Micros delay = 1'000;  // one way
    Micros jitter = 1'000;
    bool formed = true;  // all know each other from the start; otherwise each joins through the first
};

// Members are numbered from 0.
class VirtualNetwork {
  public:
    explicit VirtualNetwork(const VirtualNetworkOptions& options);

    void run_until(Micros end);
    Micros now() const { return now_; }
    Membership& at(int member) { return *node(member).membership; }
    int size() const { return static_cast<int>(nodes_.size()); }
    static std::string name_of(int member);

    void set_loss(double loss) { options_.loss = loss; }
    void set_delay(Micros delay, Micros jitter);
    void cut(int from, int to) { cuts_.insert({from, to}); }  // one way
    void heal() { cuts_.clear(); }
    // A paused member reads no datagrams; those in its socket buffer stay.
    void pause(int member);
    void resume(int member);
    void kill(int member);
    void start(int member);  // a new process, with the next start number
    bool running(int member) const { return node(member).running; }
    bool paused(int member) const { return node(member).paused; }

    // Called for each state change that a member observes, and for each datagram before it is sent.
    std::function<void(int observer, const MemberChange& change)> on_change;
    std::function<void(int from, const Datagram& datagram)> on_send;
    // Delivers a datagram that no member sent, for example a forged or replayed one.
    void inject(int to, const Datagram& datagram);

    std::uint64_t bytes_sent(int member) const { return node(member).bytes_sent; }
    // Whether each running member sees exactly the other running ones in one of the accepted states.
    enum class Accepted { alive, alive_or_suspect };
    bool converged(Accepted accepted = Accepted::alive) const;

  private:
    struct Node {
        std::unique_ptr<Membership> membership;
        bool running = false;
        bool paused = false;
        std::uint64_t start = 0;
        std::uint64_t bytes_sent = 0;
        Micros tick_at = -1;           // -1: none is scheduled
        Micros join_at = -1;           // -1: has joined
        std::vector<Datagram> unread;  // received while it was paused
    };
    struct Event {
        Micros at;
        std::uint64_t order;
        int member;
        std::shared_ptr<const Datagram> datagram;  // null: a tick
        bool operator>(const Event& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    Node& node(int member) { return nodes_[static_cast<std::size_t>(member)]; }
    const Node& node(int member) const { return nodes_[static_cast<std::size_t>(member)]; }
    void introduce_all();
    void schedule(Micros at, int member, std::shared_ptr<const Datagram> datagram);
    void tick(int member);
    void join(int member);
    // Sends, reports and schedules the results of a call to the membership.
    void flush(int member);
    void transmit(int member, OutgoingDatagram& outgoing);
    void exchange(int member, int peer);
    void exchange_states(Node& node, Node& peer);
    int member_of(const std::string& name) const;
    bool linked(int a, int b) const { return !cuts_.contains({a, b}) && !cuts_.contains({b, a}); }

    VirtualNetworkOptions options_;
    std::mt19937_64 random_;
    Micros now_ = 0;
    std::uint64_t last_order_ = 0;
    std::vector<Node> nodes_;
    std::set<std::pair<int, int>> cuts_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

// Upper bound of a datagram's size on the wire, in bytes.
std::uint64_t max_encoded_size(const Datagram& datagram);

}  // namespace sumackeel::cluster
