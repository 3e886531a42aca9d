// One TCP connection.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace sumackeel::net {

enum class Gone { refused, ended, broken };  // never came up; closed by the other side; reset or failed

// Lives until its socket is closed. After close(), or once gone() was told, nothing more is heard of it and
// the pointer is not to be used again.
//
// Danger: a close over bytes that were not read yet resets the connection, and the other side may lose with
// it what it had not read so far. So whoever has time ends a connection by finish(); close() is for what is
// broken, and for where the descriptor is needed now.
class Stream {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void opened(Stream&) {}
        virtual void received(Stream& stream, std::string_view bytes) = 0;
        virtual void drained(Stream&) {}
        virtual void gone(Stream& stream, Gone how) = 0;
    };

    // Null: nothing was begun, for want of a place in the budget or by the error that `why` then holds
    // (libuv's; 0: the budget). A failure to connect is told from the loop, never from within the call.
    static Stream* connect(Loop& loop, Budget& budget, const sockaddr_in& to, Owner& owner,
                           int* why = nullptr);
    // Of a connection that a listener took; `fd` is closed in any case. Null: no descriptor is left.
    static Stream* adopt(Loop& loop, Budget& budget, int fd, Owner& owner);

    void write(std::string bytes);
    // The same by the shortest way to the system, for what is true for a moment. What the system does not
    // take at once follows by write(); Owner::drained() is told of that alone.
    void write_at_once(std::string_view bytes);
    std::size_t unsent() const { return uv_stream_get_write_queue_size(as_stream()); }
    void pause(bool on);
    bool unread() const;  // bytes have arrived that were not read yet
    // The system still holds bytes back for want of room at the other side, which reads slowly: an end would
    // reach it only behind them. False where the system can't tell.
    bool congested() const;
    Micros since_last_byte() const;  // by the system's account, in its ticks; 0 where it can't tell
    bool peer_ended() const;         // all was read, and the other side has ended the connection
    void close();                    // at once; what is unsent is dropped
    // Half-closes once all that was written is sent. What the other side still sends is thrown away, unseen
    // by the owner; gone() is told when the other side has ended too. The owner bounds the wait for that.
    void finish();
    bool open() const { return state_ == State::open; }

  private:
    Stream(Loop& loop, Budget& budget, Owner& owner);
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
    void lose(Gone how);

    uv_tcp_t tcp_;
    uv_connect_t connecting_;
    uv_shutdown_t finishing_;
    Budget budget_;
    Owner* owner_;
    State state_ = State::connecting;
    bool reading_ = false;
};

}  // namespace sumackeel::net
