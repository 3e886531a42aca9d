// The connections of one server: accepts them, enforces the timeouts of their states, and evicts some to make
// room.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "admin/drain_schedule.h"
#include "net/client_connection.h"
#include "net/connection_state.h"
#include "net/eviction_policy.h"
#include "net/listener.h"
#include "net/stream.h"

namespace sumackeel::net {

class ConnectionManager {
  public:
    struct Timeouts {
        Micros request;  // from connecting, or from a later request's first byte, until it is complete
        Micros idle;     // between two requests
        Micros write;    // until the client has read one more response
        // All connections in the accept queue are accepted within this time: the longer the queue, the sooner
        // a silent connection is evicted. 0: no bound, and no connection younger than 100 ms is evicted.
        Micros accept_queue = 0;
        // A drain closes a connection with overlapping requests once it has been idle for this long, since
        // its client may still send requests in reaction to earlier responses.
        Micros settle = 0;
    };

    // `make`: makes the server's connection object for an accepted socket. Throws where the address can't be
    // listened on.
    ConnectionManager(Loop& loop, const ListenAddress& address, int max_connections, Timeouts timeouts,
                      std::function<std::unique_ptr<ClientConnection>()> make);
    ~ConnectionManager();
    ConnectionManager(const ConnectionManager&) = delete;
    ConnectionManager& operator=(const ConnectionManager&) = delete;

    // Called by the server after each change of state. The state's time starts anew with each change, each
    // idle spell, each response that the client has read and, unless connections are drained, each request.
    void set_state(ClientConnection& connection, ConnectionState state, Progress progress = Progress::none);
    // When responses take too much memory: closes the connection whose client has not read for longest, but
    // not `keep`.
    void evict_slowest_reader(const ClientConnection& keep);
    // Whether the connection may be read while it has a partial request. If not, its on_room() is called once
    // it may; until then the server pauses reading. Makes room first, by closing connections whose partial
    // requests have not grown for a while.
    bool may_read_partial_request(ClientConnection& connection);
    base::MemoryAccount& memory() { return loop_.memory(); }
    // Null: closed, or half-closed.
    ClientConnection* find(std::uint64_t id) const;
    // That responses hold until they are sent, over all connections.
    std::size_t write_memory() const { return budget_.write_memory(); }
    void set_max_connections(int limit) { budget_.set_limit(limit); }
    // Connections in the accept queue are accepted first, unless another process accepts from the same
    // socket. The listener stays open while there is no room, or no descriptor, for some of them: call again.
    void stop_listening(bool others_listen);
    // On: idle connections close now, others once their last response is sent; the listener continues.
    // Off: normal operation.
    void set_draining(bool on);
    // The drain in progress, or none: how long states may last while connections are drained.
    void set_drain(const admin::DrainSchedule& drain) { drain_ = drain; }
    const admin::DrainSchedule& drain() const { return drain_; }
    // By this time all open requests have a response; from then on closes do not wait for Timeouts::settle.
    void set_shutdown_deadline(Micros at) { shutdown_deadline_ = at; }
    // When the process exits, which closes all connections.
    void set_exit_deadline(Micros at) { exit_deadline_ = at; }
    // Writes a response after which no request is open, to a client that sends nothing before it has received
    // it. During a drain the connection is half-closed together with it, unless bytes wait to be read.
    void write_last_response(ClientConnection& connection, std::string bytes);
    // Half-closes a connection after the bytes written to it. Requests that cross the close are not read.
    void close(ClientConnection& connection, CloseReason reason = CloseReason::protocol);
    // Closes all connections without an open, partial or unread request, and those that never sent one.
    void close_all_idle();
    // A request is partially received or unread, or a connection waits in the accept queue.
    bool has_pending_input() const;
    std::size_t connection_count() const { return connections_.size(); }  // half-closed ones too
    std::size_t count(ConnectionState state) const { return in_state(state).size(); }
    std::uint64_t closed_count(CloseReason reason) const {
        return closed_counts_[static_cast<std::size_t>(reason)];
    }
    // Reads of bytes that arrived on connections closed by this side.
    struct DiscardMetrics {
        std::uint64_t at_half_close = 0;     // some arrived before the half-close: a request may be lost
        std::uint64_t after_half_close = 0;  // all arrived after it: they crossed the close
        // Half-closes despite data that was dropped during them, as there was no time left: its sender has to
        // send it elsewhere.
        std::uint64_t dropped_at_half_close = 0;
    };
    const DiscardMetrics& discard_metrics() const { return discard_metrics_; }
    // Closes that were interrupted because bytes arrived during them; these bytes, or those right after them,
    // are delayed by a retransmission.
    std::uint64_t interrupted_closes() const { return interrupted_closes_; }
    int port() const { return listener_.port(); }

  private:
    friend class ClientConnection;
    using ConnectionList = std::list<ClientConnection*>;  // longest in its state first

    void accept_waiting();
    bool restarts_time(ConnectionState state, Progress progress) const;
    void on_accept_queue_empty();
    void on_accept_queue_waiting();
    bool make_room();
    Micros min_evictable_age();
    void retry_accept_after(Micros wait);
    void adopt(int fd);
    void enforce_timeouts();
    void relieve_memory(Micros now);
    void evict_stalled_readers(ConnectionState state, Micros now);
    void evict_stalled_partial_requests(Micros now);
    void resume_awaiting_room();
    void evict(ClientConnection& connection, CloseReason reason);
    bool evict_if_quiet(ClientConnection& connection, CloseReason reason);
    bool close_if_quiet(ClientConnection& connection, CloseReason reason);
    void close_drained(ClientConnection& connection);
    bool is_settled(const ClientConnection& connection) const;
    void close_once_settled(const ClientConnection& connection);
    DroppedData dropped_data_at_close() const;
    bool is_done(const ClientConnection& connection, QuietResult result);
    std::vector<ClientConnection*> snapshot(ConnectionState state) const;
    void close_in_state(ConnectionState state);
    void close_idle_after_reading(Micros reading_end);
    bool is_at_end_of_drain() const;
    void close_unless_complete(ClientConnection& connection);
    void on_half_closed(ClientConnection& connection, CloseReason reason);
    std::vector<ClientConnection*> overdue(ConnectionState state, Micros timeout) const;
    void close_overdue(ConnectionState state, Micros reading_end);
    void record_close(const ClientConnection& connection, CloseReason reason);
    void record_discarded(const ClientConnection& connection, const DiscardedBytes& discarded);
    CloseReason drain_close_reason() const {
        return drain_.is_active() ? CloseReason::drain : CloseReason::shutdown;
    }
    void on_disconnect(ClientConnection& connection);
    ConnectionList& in_state(ConnectionState state) { return by_state_[static_cast<std::size_t>(state)]; }
    const ConnectionList& in_state(ConnectionState state) const {
        return by_state_[static_cast<std::size_t>(state)];
    }

    Loop& loop_;
    Timeouts timeouts_;
    std::function<std::unique_ptr<ClientConnection>()> make_;
    SocketBudget budget_;
    std::array<ConnectionList, kConnectionStateCount> by_state_;
    std::map<std::uint64_t, std::unique_ptr<ClientConnection>> connections_;
    std::vector<std::unique_ptr<ClientConnection>> closed_;  // destroyed in the next iteration
    std::uint64_t next_id_ = 1;
    bool draining_ = false;
    admin::DrainSchedule drain_;
    std::optional<Micros> shutdown_deadline_;
    std::optional<Micros> exit_deadline_;
    std::array<std::uint64_t, kCloseReasonCount> closed_counts_{};
    DiscardMetrics discard_metrics_;
    std::uint64_t interrupted_closes_ = 0;
    EvictionAge eviction_age_;
    std::deque<std::uint64_t> awaiting_room_;  // ids, longest waiting first
    Micros next_partial_request_check_ = 0;
    bool accept_retry_scheduled_ = false;
    bool accept_queue_waiting_ = false;  // connections may wait in the accept queue
    Micros queued_since_ = 0;  // what waits in it arrived after this; 0: none has waited for an iteration
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for callbacks set in the loop
    Listener listener_;
};

}  // namespace sumackeel::net
