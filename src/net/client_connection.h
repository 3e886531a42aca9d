// One client's connection, as a server sees it. Servers derive from it; its ConnectionManager owns it.
#pragma once

#include <cstdint>
#include <list>

#include "net/connection_state.h"
#include "net/stream.h"

namespace sumackeel::net {

class ConnectionManager;

// Destroyed by its manager in the loop's iteration after it was closed.
class ClientConnection : public Stream::Handler {
  public:
    std::uint64_t id() const { return id_; }
    // Null once it is closed or half-closed: nothing more may be written.
    Stream* stream() const { return state_ == ConnectionState::half_closed ? nullptr : stream_; }
    void on_close(Stream& stream, DisconnectCause cause) final;
    void on_discarded(Stream& stream, const DiscardedBytes& discarded) final;

    // The client sends requests while others are open. It may be sending one though nothing is open now, for
    // it had an earlier response than the last one just before.
    virtual bool overlaps_requests() const { return false; }

  protected:
    // Called once, when the connection is closed or half-closed.
    virtual void on_closed() = 0;
    // Called before it is closed half-way through a request that took too long; a last response may be
    // written.
    virtual void on_request_timeout() {}
    // For on_data(), once in each call: when the last of its bytes arrived. That is long ago where the
    // connection waited at the listener, or the process stood still.
    Micros received_at();
    // The bytes of received_at() were read late and the client has left meanwhile: its requests are not
    // wanted any more.
    bool peer_has_left() const;

  private:
    friend class ConnectionManager;
    ConnectionManager* manager_ = nullptr;
    std::uint64_t id_ = 0;
    Stream* stream_ = nullptr;
    ConnectionState state_ = ConnectionState::awaiting_request;
    Micros since_ = 0;                 // in this state, or since the last response was read
    Micros unread_arrived_after_ = 0;  // unread bytes arrived after this; 0: after the loop's last poll
    bool read_late_ = false;
    std::list<ClientConnection*>::iterator position_;  // in its state's list
};

}  // namespace sumackeel::net
