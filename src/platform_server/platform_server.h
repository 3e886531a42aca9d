// The server for the platform's clients: passes Thrift calls to the core as requests, and its responses back.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "base/slot_map.h"
#include "config/config.h"
#include "core/core.h"
#include "net/connection_manager.h"
#include "platform_server/thrift_codec.h"

namespace sumackeel::platform_server {

// Resource limits of the server; requests beyond them are rejected.
struct Limits {
    int connections = 340;
    std::size_t write_memory = 64 << 20;  // of responses that are not sent, over all connections
};

class PlatformServer : core::ResponseSink {
  public:
    PlatformServer(net::Loop& loop, core::Core& core, const config::Site& site,
                   const net::ListenAddress& listen, Limits limits);

    int port() const { return connection_manager_.port(); }
    void stop_listening(bool others_listen) { connection_manager_.stop_listening(others_listen); }
    // Called when a drain starts or ends and at shutdown. `drain`: the drain in progress, or none.
    void set_draining(bool on, const admin::DrainSchedule& drain);
    // By this time during a shutdown, all open requests have a response.
    void set_shutdown_deadline(base::Micros at) { connection_manager_.set_shutdown_deadline(at); }
    // When the process exits.
    void set_exit_deadline(base::Micros at) { connection_manager_.set_exit_deadline(at); }
    void close_all_idle() { connection_manager_.close_all_idle(); }
    bool has_pending_input() const { return connection_manager_.has_pending_input(); }
    std::size_t connection_count() const { return connection_manager_.connection_count(); }
    // The reply to `alive`: whether this proxy accepts requests (false during a drain or shutdown).
    void set_ready(bool ready) { ready_ = ready; }
    void set_limits(const Limits& limits) {
        limits_ = limits, connection_manager_.set_max_connections(limits.connections);
    }
    bool has_unsent_responses() const { return connection_manager_.write_memory() > 0; }
    const net::ConnectionManager& connection_manager() const { return connection_manager_; }  // for metrics

    // Requests affected by drains, since the process started.
    struct DrainMetrics {
        std::uint64_t rejected = 0;  // immediately or after a delay
        std::uint64_t held = 0;      // of the rejected: with a delay, as others were open on the connection
        std::uint64_t hurried = 0;   // open beside a rejected request, so given the drain's response deadline
    };
    const DrainMetrics& drain_metrics() const { return drain_metrics_; }

    // What a request lacks that is rejected before the core sees it.
    enum class Shortage {
        none,
        memory,
        open_requests,     // as many as there may be are open, here or on the connection
        unsent_responses,  // responses that were not read take too much memory
        time               // it was read after the client's time-out
    };
    static constexpr std::size_t kShortageCount = 5;
    std::uint64_t rejected_count(Shortage shortage) const {
        return rejected_counts_[static_cast<std::size_t>(shortage)];
    }

  private:
    struct Client;

    void on_response(std::uint64_t cookie, core::Response reply) override;
    void handle_call(Client& client, ThriftCall call);
    void set_drain_deadlines(Client& client, base::Micros now);
    void reject_for_drain(Client& client, std::int32_t seqid, base::Micros time_left, base::Micros now);
    void send_delayed_rejections(Client& client);
    void end_drain();
    bool decode_request(ThriftCall& call, core::Request& request) const;
    std::size_t max_open_requests(bool client_has_none) const;
    Shortage find_shortage(Client& client, const core::Request& request, std::size_t memory);
    bool is_over_budget() const { return connection_manager_.write_memory() > limits_.write_memory; }

    core::Core& core_;
    const config::Site& site_;
    Limits limits_;
    struct OpenRequest {
        std::uint64_t client = 0;
        std::int32_t seqid = 0;
    };
    base::SlotMap<OpenRequest> open_requests_;
    bool ready_ = false;  // the reply to `alive`; false until set_ready()
    DrainMetrics drain_metrics_;
    std::array<std::uint64_t, kShortageCount> rejected_counts_{};  // by Shortage
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);   // checked by timers
    net::Loop& loop_;
    net::ConnectionManager connection_manager_;
};

}  // namespace sumackeel::platform_server
