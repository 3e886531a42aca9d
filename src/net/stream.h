// One TCP connection.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace sumackeel::net {

enum class DisconnectCause {
    connect_failed,  // it never came up
    closed_by_peer,
    error  // reset, or failed
};

// Bytes that arrived on a stream that this side ended, and that nobody handles.
struct DiscardedBytes {
    std::size_t at_half_close = 0;     // had arrived by the half-close: their sender could not know of it
    std::size_t after_half_close = 0;  // arrived behind it
    Micros since_half_close = 0;       // until they were read
};

// What became of an act that loses nothing only while no bytes wait to be read.
enum class QuietResult {
    done,
    not_quiet,    // bytes wait to be read or to be sent; nothing has changed
    interrupted,  // bytes arrived as it was tried, and are unread or were dropped; nothing else has changed
};

// What becomes of such an act where data has been dropped by its ReceiveBlock. The other side sends dropped
// data again.
enum class DroppedData {
    interrupts,  // the act is not done, and the data is read when it comes again
    is_left      // the act is done; the other side meets the end, and has to send elsewhere
};

// Owns itself: it is deleted once its socket is closed. After close(), or once on_close() was called, its
// handler hears nothing more and must not use the pointer again.
//
// A close over unread bytes resets the connection, and the other side may lose what it has not read yet. So
// connections are ended by shutdown() where there is time; close() is for what is broken, and for where the
// descriptor is needed now.
class Stream {
  public:
    // Linux sends again what is not acknowledged after 0.2 s and the round trip.
    static constexpr Micros kRetransmission = 250'000;  // us

    class Handler {
      public:
        virtual ~Handler() = default;
        virtual void on_open(Stream&) {}
        virtual void on_data(Stream& stream, std::string_view bytes) = 0;
        virtual void on_write_drained(Stream&) {}
        virtual void on_discarded(Stream&, const DiscardedBytes&) {}
        virtual void on_close(Stream& stream, DisconnectCause cause) = 0;
    };

    // Null: nothing was started, for want of room in the budget (`error` is 0) or by libuv's error, which
    // `error` then holds. A failure to connect is reported from the loop, never from within the call.
    static Stream* connect(Loop& loop, SocketBudget& budget, const sockaddr_in& to, Handler& handler,
                           int* error = nullptr);
    // Of a connection that a listener accepted; `fd` is owned from now on. Null: there is no room in the
    // budget.
    static Stream* adopt(Loop& loop, SocketBudget& budget, int fd, Handler& handler);

    void write(std::string bytes);
    // The same with a system call now, for content that is true for a moment only. What the system does not
    // accept at once follows by write(); on_write_drained() is called for that alone.
    void write_immediately(std::string_view bytes);
    std::size_t unsent_bytes() const { return uv_stream_get_write_queue_size(as_stream()); }
    void pause(bool on);
    bool has_unread_data() const { return unread_bytes() > 0; }
    std::size_t unread_bytes() const;  // in the system's receive buffer; 0 where it can't tell
    // The system holds bytes back for want of room at the other side, which reads slowly. False where the
    // system can't tell.
    bool congested() const;
    // Written bytes that the other side's system has not acknowledged. What arrives on a closed socket resets
    // the connection, and these are lost with it. False where the system can't tell.
    bool has_undelivered_data() const;
    Micros time_since_last_byte() const;  // in the system's ticks; 0 where it can't tell
    bool peer_has_closed() const;         // all was read, and the other side has closed
    void close();                         // at once; what is unsent is dropped
    QuietResult close_if_quiet();         // the same, unless bytes wait to be read or were dropped
    // Data was dropped by the current ReceiveBlock, or the last one. False where the system can't tell.
    bool has_dropped_data() const;
    // This side half-closed by one of the calls below over data that had been dropped (DroppedData::is_left).
    bool left_dropped_data() const { return left_dropped_data_; }
    // Data was dropped by a ReceiveBlock that is over, or the system can't tell, and is still to be sent
    // again. Until there was the time for that the stream counts as not quiet.
    bool awaits_retransmission() const;
    // Half-closes once all that was written is sent. What the other side still sends is discarded, with
    // on_discarded(); on_close() is called when it has closed too. The handler bounds the wait for that.
    void shutdown();
    // Half-closes in this call, unless bytes wait to be read or to be sent.
    QuietResult shutdown_if_quiet(DroppedData dropped_data);
    // Writes `bytes` and half-closes, both in this call and so that the other side meets the end no later
    // than the last byte. Not done: they are written alone, since bytes wait to be read or to be sent, or the
    // other side has no room for them now.
    QuietResult write_and_shutdown_if_quiet(std::string bytes, DroppedData dropped_data);
    // Hands what has arrived by now to the handler, in this call. Not from within on_data() of any stream:
    // the loop has one read buffer.
    void read_available();
    bool is_open() const { return state_ == State::open; }

    // While one lives no data that arrives on the stream is taken in: the system neither queues nor
    // acknowledges it, and its sender sends it again later. For decisions that hold only while nothing is
    // unread; has_dropped_data() tells whether some arrived. They may be nested. No effect where the system
    // refuses.
    class ReceiveBlock {
      public:
        explicit ReceiveBlock(Stream& stream) : stream_(stream) { stream_.block_receive(); }
        ~ReceiveBlock() { stream_.unblock_receive(); }
        ReceiveBlock(const ReceiveBlock&) = delete;
        ReceiveBlock& operator=(const ReceiveBlock&) = delete;

      private:
        Stream& stream_;
    };

    // While one lives what is written is gathered in the system, full segments excepted: it goes out behind
    // it, or with a half-close, and the other side then meets the end with the last of it.
    class WriteBatch {
      public:
        explicit WriteBatch(Stream& stream) : stream_(stream) { stream_.set_gathering(true); }
        ~WriteBatch() { stream_.set_gathering(false); }
        WriteBatch(const WriteBatch&) = delete;
        WriteBatch& operator=(const WriteBatch&) = delete;

      private:
        Stream& stream_;
    };

  private:
    Stream(Loop& loop, SocketBudget& budget, Handler& handler);
    const uv_stream_t* as_stream() const { return reinterpret_cast<const uv_stream_t*>(&tcp_); }
    uv_stream_t* as_stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }
    enum class State {
        connecting,
        open,
        shutting_down,  // half-closed, or to be once all is sent: nothing more is written, input is discarded
        closed          // the socket is closed in this iteration of the loop
    };
    void start();
    QuietResult if_quiet(DroppedData dropped_data, const std::function<bool()>& act);
    bool has_dropped_data_by_now() const;
    void acknowledge_now();
    bool half_close();
    void on_half_closed();
    std::size_t peer_room() const;
    void deliver(std::string_view bytes);
    void discard(std::size_t count);
    void block_receive();
    void unblock_receive();
    void set_gathering(bool on);
    int descriptor() const;  // -1: closed
    void disconnect(DisconnectCause cause);

    uv_tcp_t tcp_;
    uv_connect_t connect_request_;
    uv_shutdown_t shutdown_request_;
    SocketBudget budget_;
    Handler* handler_;
    State state_ = State::connecting;
    bool reading_ = false;
    int receive_blocks_ = 0;
    std::optional<std::uint32_t> dropped_before_block_;  // segments; none: the system can't tell
    std::optional<Micros> unblocked_at_;                 // the last block that ended with the stream open
    std::optional<Micros> half_closed_at_;
    bool left_dropped_data_ = false;
    std::size_t unread_at_half_close_ = 0;  // bytes, of which none has been read since
};

}  // namespace sumackeel::net
