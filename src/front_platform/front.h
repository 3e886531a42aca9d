// The front for the platform's clients: Thrift calls to requests of the core, replies to answers.
#pragma once

#include <memory>
#include <string>

#include "base/slots.h"
#include "config/config.h"
#include "core/core.h"
#include "front_platform/thrift.h"
#include "net/door.h"

namespace sumackeel::front_platform {

// What one front may hold; beyond it refuses.
struct Limits {
    int connections = 340;
    std::size_t unsent_bytes = 64 << 20;  // answers that clients have not read yet, in all
};

class Front : core::Asker {
  public:
    Front(net::Loop& loop, core::Core& core, const config::Site& site, const net::Place& listen,
          Limits limits);

    int port() const { return door_.port(); }
    void stop_listening(bool others_listen) { door_.stop_listening(others_listen); }
    // On a drain or at the end; `drain`: the one that is on, or none.
    void send_away(bool on, const ops::Drain& drain);
    void part_with_all() { door_.part_with_all(); }
    bool coming() const { return door_.coming(); }
    std::size_t connections() const { return door_.connections(); }
    // What `alive` says: whether this proxy takes work (not while it drains or ends).
    void set_ready(bool ready) { ready_ = ready; }
    void set_limits(const Limits& limits) { limits_ = limits, door_.set_connections(limits.connections); }
    bool unsent() const { return door_.unsent() > 0; }
    const net::Door& door() const { return door_; }  // for figures

    // Requests that drains turned away, since the start.
    struct DrainFigures {
        std::uint64_t refused = 0;  // at once, or once nothing else was open on their connection
        std::uint64_t held = 0;     // of those, held back first
        std::uint64_t hurried = 0;  // open beside refused ones, and so to be answered before their deadline
    };
    const DrainFigures& drain_figures() const { return drain_figures_; }

  private:
    struct Client;

    void answer(std::uint64_t cookie, core::Reply reply) override;
    void call(Client& client, Call call);
    void hurry(Client& client, base::Micros now);
    void turn_away(Client& client, std::int32_t seqid, base::Micros left, base::Micros now);
    void refuse_held(Client& client);
    void end_drain();
    bool read_ask(Call& call, core::Ask& ask) const;

    core::Core& core_;
    const config::Site& site_;
    Limits limits_;
    struct Open {
        std::uint64_t client = 0;
        std::int32_t seqid = 0;
    };
    base::Slots<Open> open_;
    bool ready_ = false;  // what `alive` says: not before the daemon has said so
    DrainFigures drain_figures_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is set in the loop
    net::Loop& loop_;
    net::Door door_;
};

}  // namespace sumackeel::front_platform
