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

#include "config/operator.h"
#include "group/group.h"
#include "net/listener.h"
#include "net/off_loop.h"
#include "net/stream.h"
#include "peers/meter.h"
#include "peers/start_number.h"
#include "peers/wire.h"

namespace sumackeel::peers {

struct Figures {
    std::uint64_t datagrams_out = 0, datagrams_in = 0, bytes_out = 0, bytes_in = 0;
    std::uint64_t exchanges = 0, exchanges_same = 0, exchanges_failed = 0;
    std::uint64_t not_sent = 0;     // by the system
    std::uint64_t capped[4] = {};   // by group::Urgency: dropped, or its news left out, at the cap
    std::uint64_t bad[kBads] = {};  // by Bad
};

class Peers {
  public:
    // How many proxies there are by zone, each time that it changes.
    using Counted = std::function<void(const std::map<std::string, int>& by_zone)>;

    // Throws where the address, the key or the folder can't be used. `counted_at_first`: what the settings
    // say by zone. `wait_for_address`: another process of this proxy may hold the address until it ends.
    Peers(net::Loop& loop, net::Budget& sockets, const config::Peers& setup, const std::string& zone,
          const std::string& version, std::uint64_t seed, std::map<std::string, int> counted_at_first,
          bool wait_for_address, Counted counted);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    // Questions between members, over streams. `take` answers those of a verb that come, at once or later,
    // from the loop.
    using Say = std::function<void(std::string answer)>;
    using Take = std::function<void(const std::string& from, const std::string& verb, const std::string& body,
                                    Say say)>;
    void on_call(const std::string& verb, Take take) { takes_[verb] = std::move(take); }
    void no_calls(const std::string& verb) { takes_.erase(verb); }
    // `done` is told once, from the loop: the answer, or none within `patience`.
    using Done = std::function<void(std::optional<std::string> answer)>;
    void call(const std::string& to, const std::string& verb, std::string body, base::Micros patience,
              Done done);

    const Codec& codec() const { return codec_; }
    const config::Peers& setup() const { return setup_; }
    // Where this one reaches what tells that address.
    std::string reached_at(const std::string& told) const;
    void runs(const std::string& version);  // from now on, as it says of itself
    void leave();                           // tells the others, then is silent
    void silent();  // without a word: the process that takes over goes on under this name
    std::string as_json() const;
    const group::Group& group() const { return group_; }
    // Of a member as it is known here, this one too; empty where it is not.
    group::Word word_of(const std::string& name) const;
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
    void send(const group::Outgoing& out);
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
    net::Budget& sockets_;
    const config::Peers setup_;
    const Codec codec_;
    StartNumber number_;
    net::OffLoop raising_;  // the start number on disk
    std::mt19937_64 rng_;
    group::Group group_;
    Seen seen_;
    Counted counted_;
    std::map<std::string, int> told_;
    Meter datagrams_, exchanges_cap_;
    std::uint64_t sequence_ = 0;
    Figures figures_;
    uv_udp_t* udp_ = nullptr;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<Exchange>> exchanges_;
    std::vector<std::unique_ptr<Asking>> askings_;
    std::map<std::string, Take> takes_;  // by verb
    Seen calls_seen_;
    std::uint64_t calls_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for answers that come later
    std::optional<base::Deadlines::Key> timer_, bind_timer_;
    std::vector<std::string> to_call_;  // seeds of the round under way
    base::Micros next_join_ = 0, began_ = 0;
    bool first_round_ = true, joined_ = false, said_displaced_ = false, gone_ = false;
};

}  // namespace sumackeel::peers
