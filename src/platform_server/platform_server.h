// The front for the platform's clients: Thrift calls to requests of the core, replies to answers.
#pragma once

#include <memory>
#include <string>

#include "base/slot_map.h"
#include "config/config.h"
#include "core/core.h"
#include "net/connection_manager.h"
#include "platform_server/thrift_codec.h"

namespace sumackeel::platform_server {

// What one front may hold; beyond it refuses.
struct Limits {
    int connections = 340;
    std::size_t unsent_bytes = 64 << 20;  // answers that clients have not read yet, in all
};

class PlatformServer : core::ResponseSink {
  public:
    PlatformServer(net::Loop& loop, core::Core& core, const config::Site& site,
                   const net::ListenAddress& listen, Limits limits);

    int port() const { return connection_manager_.port(); }
    void stop_listening(bool others_listen) { connection_manager_.stop_listening(others_listen); }
    // On a drain or at the end; `drain`: the one that is on, or none.
    void set_draining(bool on, const admin::DrainSchedule& drain);
    // When the process, being shut down, has all that is open answered.
    void set_shutdown_deadline(base::Micros at) { connection_manager_.set_shutdown_deadline(at); }
    // When the process ends.
    void set_exit_deadline(base::Micros at) { connection_manager_.set_exit_deadline(at); }
    void close_all_idle() { connection_manager_.close_all_idle(); }
    bool has_pending_input() const { return connection_manager_.has_pending_input(); }
    std::size_t connection_count() const { return connection_manager_.connection_count(); }
    // What `alive` says: whether this proxy takes work (not while it drains or ends).
    void set_ready(bool ready) { ready_ = ready; }
    void set_limits(const Limits& limits) {
        limits_ = limits, connection_manager_.set_max_connections(limits.connections);
    }
    bool has_unsent_responses() const { return connection_manager_.unsent_bytes() > 0; }
    const net::ConnectionManager& connection_manager() const { return connection_manager_; }  // for figures

    // Requests that drains turned away, since the start.
    struct DrainMetrics {
        std::uint64_t rejected = 0;  // at once, or once nothing else was open on their connection
        std::uint64_t held = 0;      // of those, held back first
        std::uint64_t hurried = 0;   // open beside refused ones, and so to be answered before their deadline
    };
    const DrainMetrics& drain_metrics() const { return drain_metrics_; }

  private:
    struct Client;

    void on_response(std::uint64_t cookie, core::Response reply) override;
    void call(Client& client, ThriftCall call);
    void hurry(Client& client, base::Micros now);
    void turn_away(Client& client, std::int32_t seqid, base::Micros left, base::Micros now);
    void refuse_held(Client& client);
    void end_drain();
    bool read_ask(ThriftCall& call, core::Request& ask) const;

    core::Core& core_;
    const config::Site& site_;
    Limits limits_;
    struct Open {
        std::uint64_t client = 0;
        std::int32_t seqid = 0;
    };
    base::SlotMap<Open> open_;
    bool ready_ = false;  // what `alive` says: not before the daemon has said so
    DrainMetrics drain_metrics_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is set in the loop
    net::Loop& loop_;
    net::ConnectionManager connection_manager_;
};

}  // namespace sumackeel::platform_server
