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

// Bytes that arrived on a stream that this side has closed, and that are not handled.
struct DiscardedBytes {
    std::size_t at_half_close = 0;     // arrived before the half-close: their sender could not know of it
    std::size_t after_half_close = 0;  // arrived after it
    Micros since_half_close = 0;       // until they were read
};

// The result of an action that loses nothing only while no bytes wait to be read.
enum class QuietResult {
    done,
    not_quiet,    // bytes wait to be read or to be sent; nothing has changed
    interrupted,  // bytes arrived during it, and are unread or were dropped; nothing else has changed
};

// How such an action handles data that its ReceiveBlock has dropped. The other side retransmits dropped data.
enum class DroppedData {
    interrupts,  // the action is not done, and the data is read when it is retransmitted
    is_left      // the action is done; the other side sees the close, and has to send elsewhere
};

// Owns itself: it is deleted once its socket is closed. After close(), or once on_close() was called, its
// handler is not called any more and must not use the pointer again.
//
// Closing with unread bytes resets the connection, and the other side may lose bytes that it has not read
// yet. So connections are closed by shutdown() if there is time; close() is for broken connections, and for
// when the descriptor is needed now.
class Stream {
  public:
    // Linux retransmits unacknowledged data after 0.2 s and the round trip.
    static constexpr Micros kRetransmission = 250'000;       // us
    static constexpr std::size_t kMaxAvailable = 96 * 1024;  // bytes; more than any client's request

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
    // For an accepted connection; takes ownership of `fd`. Null: there is no room in the budget.
    static Stream* adopt(Loop& loop, SocketBudget& budget, int fd, Handler& handler);

    void write(std::string bytes);
    // Writes with a system call in this call, for content that is valid for a moment only. Bytes that the
    // system does not accept at once are passed to write(); on_write_drained() is called for these only.
    void write_immediately(std::string_view bytes);
    std::size_t unsent_bytes() const { return uv_stream_get_write_queue_size(as_stream()); }
    // The memory that writes hold until they are done: for small ones several times their bytes.
    std::size_t write_memory() const { return write_memory_; }
    void pause(bool on);
    bool has_unread_data() const { return unread_bytes() > 0; }
    std::size_t unread_bytes() const;  // in the system's receive buffer; 0 where it can't tell
    // The system holds bytes back since the other side reads slowly and has no room. False where the system
    // can't tell.
    bool congested() const;
    // Whether the other side's system has not acknowledged all written bytes. Input on a closed socket resets
    // the connection, and such bytes are lost with it. False where the system can't tell.
    bool has_undelivered_data() const { return undelivered_bytes() > 0; }
    std::size_t undelivered_bytes() const;  // unsent ones, and those that are not acknowledged
    Micros time_since_last_byte() const;    // in the system's ticks; 0 where it can't tell
    // The bytes that are read in this call of on_data() arrived after this time.
    Micros arrived_after() const;
    bool peer_has_closed() const;  // all was read, and the other side has closed
    void close();                  // at once; unsent bytes are dropped
    QuietResult close_if_quiet();  // the same, unless bytes wait to be read or were dropped
    // Data was dropped by the current ReceiveBlock, or the last one. False where the system can't tell.
    bool has_dropped_data() const;
    // This side half-closed by one of the calls below over data that had been dropped (DroppedData::is_left).
    bool left_dropped_data() const { return left_dropped_data_; }
    // A past ReceiveBlock dropped data, or the system can't tell, and there was no time for its
    // retransmission so far. Until then the stream counts as not quiet.
    bool awaits_retransmission() const;
    // Half-closes once all written bytes are sent. Later input is discarded, with on_discarded(); on_close()
    // is called when the other side has closed too. The handler bounds the wait for that.
    void shutdown();
    // Half-closes in this call, unless bytes wait to be read or to be sent.
    QuietResult shutdown_if_quiet(DroppedData dropped_data);
    // Writes `bytes` and half-closes, both in this call, so that the other side sees the close no later than
    // the last byte. Not done: they are written without the close, since bytes wait to be read or to be sent,
    // or the other side has no room for them now.
    QuietResult write_and_shutdown_if_quiet(std::string bytes, DroppedData dropped_data);
    // Passes the bytes that have arrived by now to the handler, in this call, kMaxAvailable of them at the
    // most. Not from within on_data() of any stream, as the loop has one read buffer.
    void read_available();
    bool is_open() const { return state_ == State::open; }

    // While one exists the system neither queues nor acknowledges data that arrives on the stream; its sender
    // retransmits it later. For decisions that are valid only while nothing is unread; has_dropped_data()
    // returns whether data arrived. Blocks may be nested. No effect where the system refuses.
    class ReceiveBlock {
      public:
        explicit ReceiveBlock(Stream& stream) : stream_(stream) { stream_.block_receive(); }
        ~ReceiveBlock() { stream_.unblock_receive(); }
        ReceiveBlock(const ReceiveBlock&) = delete;
        ReceiveBlock& operator=(const ReceiveBlock&) = delete;

      private:
        Stream& stream_;
    };

    // While one exists the system holds written bytes back, except full segments. They are sent when it ends,
    // or together with a half-close, which the other side then sees with the last byte.
    class WriteBatch {
      public:
        explicit WriteBatch(Stream& stream) : stream_(stream) { stream_.set_cork(true); }
        ~WriteBatch() { stream_.set_cork(false); }
        WriteBatch(const WriteBatch&) = delete;
        WriteBatch& operator=(const WriteBatch&) = delete;

      private:
        Stream& stream_;
    };

  private:
    Stream(Loop& loop, SocketBudget& budget, Handler& handler, ReadPriority priority);
    const uv_stream_t* as_stream() const { return reinterpret_cast<const uv_stream_t*>(&tcp_); }
    uv_stream_t* as_stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }
    enum class State {
        connecting,
        open,
        shutting_down,  // half-closed, or will be once all is sent: nothing more is written, input is
                        // discarded
        closed          // the socket is closed in this iteration of the loop
    };
    void start();
    QuietResult if_quiet(DroppedData dropped_data, const std::function<bool()>& act);
    bool has_dropped_data_by_now() const;
    void acknowledge_now();
    bool half_close();
    void on_half_closed();
    std::size_t peer_room() const;
    std::size_t may_read_bytes();  // 0: not now
    void on_read(ssize_t count, const uv_buf_t& buffer);
    void deliver(std::string_view bytes);
    void discard(std::size_t count);
    void block_receive();
    void unblock_receive();
    void set_cork(bool on);
    int descriptor() const;  // -1: closed
    void account_write(std::ptrdiff_t change);
    template <typename Call>
    void guarded(const Call& call);
    void disconnect(DisconnectCause cause);

    uv_tcp_t tcp_;
    uv_connect_t connect_request_;
    uv_shutdown_t shutdown_request_;
    SocketBudget budget_;
    std::size_t write_memory_ = 0;
    base::MemoryCharge own_memory_;  // of the socket's state here, and its owner's
    Handler* handler_;
    State state_ = State::connecting;
    bool reading_ = false;
    const bool is_client_;  // this side accepted the connection
    ReadScheduler::Reader reader_;
    std::optional<Micros> deferred_since_;  // unread bytes arrived after this; none: no read was deferred
    int receive_blocks_ = 0;
    std::optional<std::uint32_t> dropped_before_block_;  // segments; none: the system can't tell
    std::optional<Micros> unblocked_at_;                 // the last block that ended with the stream open
    std::optional<Micros> half_closed_at_;
    bool left_dropped_data_ = false;
    std::size_t unread_at_half_close_ = 0;  // bytes, of which none has been read since
};

}  // namespace sumackeel::net
