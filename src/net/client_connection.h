// One client's connection, as a server sees it. Servers derive from it; its ConnectionManager owns it.
#pragma once

#include <cstdint>
#include <list>

#include "net/connection_state.h"
#include "net/stream.h"

namespace sumackeel::net {

class ConnectionManager;

// Destroyed by its manager in the iteration of the loop after its close.
class ClientConnection : public Stream::Handler {
  public:
    std::uint64_t id() const { return id_; }
    // Null once it is closed or half-closed: nothing more may be written.
    Stream* stream() const { return state_ == ConnectionState::half_closed ? nullptr : stream_; }
    void on_close(Stream& stream, DisconnectCause cause) final;
    void on_discarded(Stream& stream, const DiscardedBytes& discarded) final;

    // The client sends requests while others are open. It may be sending one although none is open now, in
    // reaction to an earlier response that it received just before the last one.
    virtual bool overlaps_requests() const { return false; }

    // Memory of the parts of requests that are not complete.
    virtual std::size_t partial_request_bytes() const { return 0; }

  protected:
    // Called when the connection, for whose partial request there was no room, may be read again.
    virtual void on_room() {}
    // Called once, when the connection is closed or half-closed.
    virtual void on_closed() = 0;
    // Called before it is closed because a request was incomplete for too long; a last response may be
    // written.
    virtual void on_request_timeout() {}
    // To be called once in each on_data(): when the last of its bytes arrived. That may be long ago if the
    // connection waited in the accept queue or the process was stalled.
    Micros received_at();
    // The bytes of received_at() were read late and the client has closed meanwhile, so it does not wait for
    // responses any more.
    bool peer_has_left() const;

  private:
    friend class ConnectionManager;
    ConnectionManager* manager_ = nullptr;
    std::uint64_t id_ = 0;
    Stream* stream_ = nullptr;
    ConnectionState state_ = ConnectionState::awaiting_request;
    Micros since_ = 0;                 // in this state, or since the last response was read
    Micros unread_arrived_after_ = 0;  // unread bytes arrived after this; 0: Stream::arrived_after()
    bool read_late_ = false;
    Micros last_read_at_ = 0;                          // when bytes were last read from it
    bool awaits_room_ = false;                         // for its partial request
    std::size_t undelivered_ = 0;                      // bytes of responses, at the last check of its reading
    Micros undelivered_since_ = 0;                     // as many since then
    std::list<ClientConnection*>::iterator position_;  // in its state's list
};

}  // namespace sumackeel::net
