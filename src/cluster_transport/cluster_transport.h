// The sockets between edge proxies: datagrams of the group, exchanges of whole states over streams, both at
// one address. Owns the group, its start number on disk and its cap on bytes. Off unless peers are named.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/membership.h"
#include "cluster_transport/message_codec.h"
#include "cluster_transport/rate_limiter.h"
#include "cluster_transport/start_number.h"
#include "config/operator.h"
#include "net/background_task.h"
#include "net/listener.h"
#include "net/stream.h"

namespace sumackeel::cluster_transport {

struct Metrics {
    std::uint64_t datagrams_out = 0, datagrams_in = 0, bytes_out = 0, bytes_in = 0;
    std::uint64_t exchanges = 0, exchanges_same = 0, exchanges_failed = 0;
    std::uint64_t not_sent = 0;    // by the system
    std::uint64_t capped[4] = {};  // by cluster::Urgency: dropped, or its news left out, at the cap
    std::uint64_t bad[kDecodeErrorCount] = {};  // by Bad
};

class ClusterTransport {
  public:
    // How many proxies there are by zone, each time that it changes.
    using ClusterSizeCallback = std::function<void(const std::map<std::string, int>& by_zone)>;

    // Throws where the address, the key or the folder can't be used. `counted_at_first`: what the settings
    // say by zone. `wait_for_address`: another process of this proxy may hold the address until it ends.
    ClusterTransport(net::Loop& loop, net::SocketBudget& sockets, const config::Cluster& setup,
                     const std::string& zone, const std::string& version, std::uint64_t seed,
                     std::map<std::string, int> counted_at_first, bool wait_for_address,
                     ClusterSizeCallback counted);
    ~ClusterTransport();
    ClusterTransport(const ClusterTransport&) = delete;
    ClusterTransport& operator=(const ClusterTransport&) = delete;

    // Questions between members, over streams. `take` answers those of a verb that come, at once or later,
    // from the loop.
    using Respond = std::function<void(std::string answer)>;
    using CallHandler = std::function<void(const std::string& from, const std::string& verb,
                                           const std::string& body, Respond say)>;
    void on_call(const std::string& verb, CallHandler take) { takes_[verb] = std::move(take); }
    void remove_call_handler(const std::string& verb) { takes_.erase(verb); }
    // `done` is told once, from the loop: the answer, or none within `patience`.
    using CallCallback = std::function<void(std::optional<std::string> answer)>;
    void call(const std::string& to, const std::string& verb, std::string body, base::Micros patience,
              CallCallback done);

    const MessageCodec& codec() const { return codec_; }
    const config::Cluster& setup() const { return setup_; }
    // Where this one reaches what tells that address.
    std::string reachable_address(const std::string& told) const;
    void set_software_version(const std::string& version);  // from now on, as it says of itself
    void leave();                                           // tells the others, then is silent
    void go_silent();  // without a word: the process that takes over goes on under this name
    std::string as_json() const;
    const cluster::Membership& membership() const { return membership_; }
    // Of a member as it is known here, this one too; empty where it is not.
    cluster::MemberRecord record_of(const std::string& name) const;
    int port() const;

  private:
    struct Exchange;
    struct Asking;

    bool listen();
    void listen_later();
    void close();
    void came(std::string_view bytes);
    void pump();
    void arm();
    void send(const cluster::OutgoingDatagram& out);
    void join();
    void exchange(const std::string& address, const std::string& name);
    void ended(Exchange& exchange, bool done);
    template <typename Owner>
    void let_go(std::vector<std::unique_ptr<Owner>>& all, Owner& one);
    void raise_start(std::uint64_t at_least);
    void tell_changes();
    base::Micros steady() const;
    bool on() const { return udp_ != nullptr; }

    net::Loop& loop_;
    net::SocketBudget& sockets_;
    const config::Cluster setup_;
    const MessageCodec codec_;
    StartNumber number_;
    net::BackgroundTask raising_;  // the start number on disk
    std::mt19937_64 rng_;
    cluster::Membership membership_;
    ReplayFilter seen_;
    ClusterSizeCallback counted_;
    std::map<std::string, int> told_;
    RateLimiter datagrams_, exchanges_cap_;
    std::uint64_t sequence_ = 0;
    Metrics figures_;
    uv_udp_t* udp_ = nullptr;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<Exchange>> exchanges_;
    std::vector<std::unique_ptr<Asking>> askings_;
    std::map<std::string, CallHandler> takes_;  // by verb
    ReplayFilter calls_seen_;
    std::uint64_t calls_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for answers that come later
    std::optional<base::TimerQueue::Key> timer_, bind_timer_;
    std::vector<std::string> to_call_;  // seeds of the round under way
    base::Micros next_join_ = 0, began_ = 0;
    bool first_round_ = true, joined_ = false, said_displaced_ = false, gone_ = false;
};

}  // namespace sumackeel::cluster_transport
