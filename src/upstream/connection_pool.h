// Connections to pop caches, parents and the origin, and the attempts that they carry.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "net/stream.h"
#include "upstream/cache_protocol.h"

namespace sumackeel::upstream {

using base::Handle;
using base::Micros;

struct Limits {
    int streams_per_conn = 100;
    double handshake_price = 0;  // relative to the value of one request; 0: connections are free
    Micros connect_timeout = 400'000;
    Micros idle_close = 15'000'000;
};

class ConnectionPool : public core::Upstream {
  public:
    ConnectionPool(net::Loop& loop, net::SocketBudget& budget, core::Core& core, Limits limits);
    ~ConnectionPool() override;
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    // The address of a target from now on. A changed address means another machine.
    void set_address(const std::string& target, const std::string& address);
    // No new attempt is sent to the target; its connections close once nothing is open on them.
    void retire(const std::string& target);
    void retain_only(const std::vector<std::string>& targets);

    std::uint64_t start(const core::AttemptRequest& attempt_request) override;
    bool cancel(Handle attempt) override;
    bool not_started(Handle attempt) const override;
    bool lacks_socket(Handle attempt) const override;
    void close_idle_connections(const std::string& target) override;

  private:
    struct OpenAttempt {
        Handle attempt;
        Micros sent_at = 0;
        bool written = false;
    };
    struct Connection;
    struct Target {
        std::string address;
        std::vector<std::unique_ptr<Connection>> connections;
        Micros backoff_until = 0;  // no new connection until then: it refused one while others were up
        bool retired = false;
    };

    Connection* select(Target& target, const core::AttemptRequest& attempt_request);
    Connection* open_connection(const std::string& name, Target& target);
    void finish(Handle attempt, routing::AttemptStatus status);
    void close(Connection& connection, bool was_connected);
    void fail_open_attempts(Connection& connection, routing::AttemptStatus unwritten_status);
    void on_connect_timeout(Connection& connection);
    void limit_overdue(const Target& target);
    void finish_unwritten(Handle attempt, routing::AttemptStatus status);
    bool is_unresponsive(const Connection& connection) const;
    bool is_expired(const Connection& connection, Micros now) const;
    bool make_room(const Connection* keep);
    void sweep();
    void start_opened();
    void retry_connect(std::uint64_t number);
    void resume_awaiting_room();

    net::Loop& loop_;
    net::SocketBudget& budget_;
    core::Core& core_;
    Limits limits_;
    std::map<std::string, Target> targets_;
    std::unordered_map<std::uint64_t, Connection*> connections_;  // by number
    std::uint64_t next_number_ = 1;
    struct Location {
        std::uint64_t connection;
        std::string id;
    };
    std::unordered_map<std::uint64_t, Location> locations_;  // by attempt
    std::vector<std::uint64_t> awaiting_room_;               // numbers; each has a response without room
    std::vector<std::uint64_t> opened_;                      // connected in this iteration of the loop
    std::vector<std::unique_ptr<Connection>> closed_;        // destroyed at the end of the iteration
};

}  // namespace sumackeel::upstream
