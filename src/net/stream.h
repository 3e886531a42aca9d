// One TCP connection.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace sumackeel::net {

enum class DisconnectCause {
    connect_failed,
    closed_by_peer,
    error
};  // never came up; closed by the other side; reset or failed

// Lives until its socket is closed. After close(), or once gone() was told, nothing more is heard of it and
// the pointer is not to be used again.
//
// Danger: a close over bytes that were not read yet resets the connection, and the other side may lose with
// it what it had not read so far. So whoever has time ends a connection by finish(); close() is for what is
// broken, and for where the descriptor is needed now.
class Stream {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        virtual void on_open(Stream&) {}
        virtual void on_data(Stream& stream, std::string_view bytes) = 0;
        virtual void on_write_drained(Stream&) {}
        virtual void on_close(Stream& stream, DisconnectCause how) = 0;
    };

    // Null: nothing was begun, for want of a place in the budget or by the error that `why` then holds
    // (libuv's; 0: the budget). A failure to connect is told from the loop, never from within the call.
    static Stream* connect(Loop& loop, SocketBudget& budget, const sockaddr_in& to, Handler& owner,
                           int* why = nullptr);
    // Of a connection that a listener took; `fd` is closed in any case. Null: no descriptor is left.
    static Stream* adopt(Loop& loop, SocketBudget& budget, int fd, Handler& owner);

    void write(std::string bytes);
    // The same by the shortest way to the system, for what is true for a moment. What the system does not
    // take at once follows by write(); Owner::drained() is told of that alone.
    void write_immediately(std::string_view bytes);
    std::size_t unsent_bytes() const { return uv_stream_get_write_queue_size(as_stream()); }
    void pause(bool on);
    bool has_unread_data() const;  // bytes have arrived that were not read yet
    // The system still holds bytes back for want of room at the other side, which reads slowly: an end would
    // reach it only behind them. False where the system can't tell.
    bool congested() const;
    Micros time_since_last_byte() const;  // by the system's account, in its ticks; 0 where it can't tell
    bool peer_has_closed() const;         // all was read, and the other side has ended the connection
    void close();                         // at once; what is unsent is dropped
    // Half-closes once all that was written is sent. What the other side still sends is thrown away, unseen
    // by the owner; gone() is told when the other side has ended too. The owner bounds the wait for that.
    void shutdown();
    bool is_open() const { return state_ == State::open; }

  private:
    Stream(Loop& loop, SocketBudget& budget, Handler& owner);
    const uv_stream_t* as_stream() const { return reinterpret_cast<const uv_stream_t*>(&tcp_); }
    uv_stream_t* as_stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }
    enum class State {
        connecting,
        open,
        finishing,  // half-closed, or to be once all is sent: nothing more is written, what comes is
                    // discarded
        closed      // told to close; the socket goes in this turn of the loop
    };
    void start();
    bool half_close();
    void lose(DisconnectCause how);

    uv_tcp_t tcp_;
    uv_connect_t connecting_;
    uv_shutdown_t finishing_;
    SocketBudget budget_;
    Handler* handler_;
    State state_ = State::connecting;
    bool reading_ = false;
};

}  // namespace sumackeel::net
