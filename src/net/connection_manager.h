// The door of a front: which clients are let in, how long each is borne with, and who is let go to make room.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admin/drain_schedule.h"
#include "net/listener.h"
#include "net/stream.h"

namespace sumackeel::net {

class ConnectionManager;

// What a connection is doing. All but the busy may be let go.
enum class ConnectionState : std::size_t {
    awaiting_request,  // since it came, no whole request has been read
    receiving,         // a part of a further request has come
    idle,              // between two requests
    flushing,          // its answers wait to be read by it, and no request is open
    processing,        // a request is open
    half_closed        // sent away: half-closed, until it has ended too
};

// Why a connection was ended, or by whom. Names for counters and logs: name_of().
enum class CloseReason : std::size_t {
    client_closed,     // the client ended it
    connection_error,  // reset, failed, or what came could not be read
    drain,             // nothing was open on it during a drain
    shutdown,          // nothing was open on it, and the process is told to end
    request_timeout,   // no whole request in time
    idle_timeout,      // nothing between two requests
    write_timeout,     // its answers were not read
    evicted,           // its place was needed for another
    memory_pressure,   // its unread answers took the memory that others needed
    protocol           // the front's own protocol ends it
};
constexpr std::size_t kCloseReasonCount = 10;
const char* name_of(CloseReason reason);
const char* name_of(ConnectionState doing);

constexpr std::size_t kConnectionStateCount = 6;

// One client's connection. Its door destroys it in the turn after it has gone.
class ClientConnection : public Stream::Handler {
  public:
    std::uint64_t id() const { return id_; }
    Stream* stream() const {
        return state_ == ConnectionState::half_closed ? nullptr : stream_;
    }  // null: gone, sent away
    void on_close(Stream& stream, DisconnectCause how) final;

  protected:
    virtual void on_closed() = 0;  // told once, after the connection has gone or was sent away
    // Told before it is sent away in the middle of a request that took too long to come: a last word may be
    // written.
    virtual void on_request_timeout() {}
    // Asked from received(), once in each call: when the last of these bytes came. It is long ago where the
    // connection waited at the listener, or the process stood still.
    Micros received_at();
    // The bytes that arrived_at() was asked for were read late, and the client has left meanwhile: nothing it
    // asked for is wanted any more.
    bool peer_has_left() const;

  private:
    friend class ConnectionManager;
    ConnectionManager* manager_ = nullptr;
    std::uint64_t id_ = 0;
    Stream* stream_ = nullptr;
    ConnectionState state_ = ConnectionState::awaiting_request;
    Micros since_ = 0;
    Micros came_after_ = 0;  // what is not read yet came after this; 0: after the last look of the loop
    bool read_late_ = false;
    std::list<ClientConnection*>::iterator place_;
};

class ConnectionManager {
  public:
    struct Timeouts {
        Micros request;  // from connecting, or from a later request's first byte, until it has come whole
        Micros idle;     // between two requests
        Micros write;    // until it has read one more answer
        // Within this whoever waits at the listener is taken, however many wait: the more, the sooner one
        // that sent nothing makes room. 0: nobody younger than 100 ms does.
        Micros accept_queue = 0;
    };

    ConnectionManager(Loop& loop, const ListenAddress& place, int connections, Timeouts patience,
                      std::function<std::unique_ptr<ClientConnection>()> make);
    ~ConnectionManager();
    ConnectionManager(const ConnectionManager&) = delete;
    ConnectionManager& operator=(const ConnectionManager&) = delete;

    // To be told after each change; the time starts anew with each change, each idle spell and each answer
    // read.
    void set_state(ClientConnection& guest, ConnectionState doing, bool has_read = false);
    // For when answers take too much memory: the one that has read nothing for longest goes, but not `keep`.
    void evict_slowest_reader(const ClientConnection& keep);
    ClientConnection* find(std::uint64_t number) const;
    std::size_t unsent_bytes() const { return budget_.unsent_bytes(); }  // bytes of answers, over all guests
    void set_max_connections(int most) { budget_.set_limit(most); }
    // Connections that wait in the system's queue are taken first, unless another process takes them from the
    // same socket. While some wait for which there is no room, or no descriptor, the listener stays: call
    // again.
    void stop_listening(bool others_listen);
    // On: clients are sent away as on a drain or at the end. Idle connections end now, the others once
    // their last answer is read; the listener goes on as it was. Off: all as before.
    void set_draining(bool on);
    // The drain that is on, or none: how long clients are borne with while they are sent away.
    void set_drain(const admin::DrainSchedule& drain) { drain_ = drain; }
    const admin::DrainSchedule& drain() const { return drain_; }
    // Ends one connection behind what was written to it. Requests that cross this are not read.
    void close(ClientConnection& guest, CloseReason reason = CloseReason::protocol);
    // Ends all at which nothing is open, half sent or unread, those too that never sent a thing.
    void close_all_idle();
    // A request is half sent, or has come and was not read yet, or a connection waits at the listener.
    bool has_pending_input() const;
    std::size_t connection_count() const { return connections_.size(); }  // those leaving too
    std::size_t count(ConnectionState doing) const { return queue(doing).size(); }
    std::uint64_t closed_count(CloseReason reason) const {
        return closed_counts_[static_cast<std::size_t>(reason)];
    }
    int port() const { return listener_.port(); }

  private:
    friend class ClientConnection;

    void accept_waiting();
    void on_accept_queue_empty();
    void on_accept_queue_waiting();
    bool make_room();
    Micros min_evictable_age();
    void retry_accept_after(Micros wait);
    void sweep();
    void adopt(int fd);
    void evict(ClientConnection& guest, CloseReason reason);
    void close_in_state(ConnectionState doing);
    std::vector<ClientConnection*> overdue(ConnectionState doing, Micros patience) const;
    void close_overdue(ConnectionState doing);
    void record_close(const ClientConnection& guest, CloseReason reason);
    bool can_close(const ClientConnection& guest) const;
    CloseReason drain_close_reason() const {
        return drain_.is_active() ? CloseReason::drain : CloseReason::shutdown;
    }
    void on_disconnect(ClientConnection& guest);
    std::list<ClientConnection*>& queue(ConnectionState doing) {
        return queues_[static_cast<std::size_t>(doing)];
    }
    const std::list<ClientConnection*>& queue(ConnectionState doing) const {
        return queues_[static_cast<std::size_t>(doing)];
    }

    Loop& loop_;
    Timeouts timeouts_;
    std::function<std::unique_ptr<ClientConnection>()> make_;
    SocketBudget budget_;
    std::array<std::list<ClientConnection*>, kConnectionStateCount>
        queues_;  // by what they do, longest at it first
    std::map<std::uint64_t, std::unique_ptr<ClientConnection>> connections_;
    std::vector<std::unique_ptr<ClientConnection>> closed_;
    std::uint64_t next_ = 1;
    bool draining_ = false;
    admin::DrainSchedule drain_;
    std::array<std::uint64_t, kCloseReasonCount> closed_counts_{};
    int longest_queue_ = 0;      // at the listener since it was last empty
    bool admits_later_ = false;  // a deadline for that is set
    bool waiting_ = false;       // connections may wait at the listener
    Micros backlog_since_ = 0;   // who waits there came after this; 0: nobody has waited over a turn
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is set in the loop
    Listener listener_;
};

}  // namespace sumackeel::net
