#include "net/stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <exception>

#include "base/log.h"
#include "net/guarded_call.h"
#include "net/receive_filter.h"
#include "net/tcp_window.h"

namespace sumackeel::net {

namespace {

// If a check for dropped data takes longer, the process was preempted and the result is out of date.
constexpr std::uint64_t kMaxCheckTime = 20'000;  // ns
constexpr int kMaxChecks = 4;
constexpr std::size_t kAllocatorOverhead = 16;  // bytes, of one allocation
constexpr std::size_t kSocketMemory = 2'048;    // bytes, with its owner's state, tables and timers

struct Write {
    uv_write_t request;
    std::string bytes;

    std::ptrdiff_t memory() const {
        return static_cast<std::ptrdiff_t>(sizeof(Write) + kAllocatorOverhead + bytes.capacity());
    }
};

Loop& loop_of(const uv_tcp_t& handle) {
    return *static_cast<Loop*>(handle.loop->data);
}

}  // namespace

Stream::Stream(Loop& loop, SocketBudget& budget, Handler& handler, ReadPriority priority)
    : budget_(budget),
      own_memory_(loop.memory(), base::MemoryHolder::connections, kSocketMemory),
      handler_(&handler),
      is_client_(priority == ReadPriority::fair),
      reader_(priority) {
    uv_tcp_init(loop.raw(), &tcp_);
    tcp_.data = this;
    connect_request_.data = this;
    shutdown_request_.data = this;
}

// For callbacks of libuv, which no exception may leave: it ends this connection.
template <typename Call>
void Stream::guarded(const Call& call) {
    if (guarded_call("stream", call) || state_ == State::closed) return;
    guarded_call("stream", [this] { disconnect(DisconnectCause::error); });
}

Stream* Stream::connect(Loop& loop, SocketBudget& budget, const sockaddr_in& to, Handler& handler,
                        int* error) {
    if (error) *error = 0;
    if (!budget.acquire()) return nullptr;
    auto* stream = new Stream(loop, budget, handler, ReadPriority::immediate);
    const int failed = uv_tcp_connect(
        &stream->connect_request_, &stream->tcp_, reinterpret_cast<const sockaddr*>(&to),
        [](uv_connect_t* request, int status) {
            auto* self = static_cast<Stream*>(request->data);
            if (self->state_ == State::closed) return;
            if (status != 0) return self->guarded([&] { self->disconnect(DisconnectCause::connect_failed); });
            self->guarded([&] {
                self->start();
                self->handler_->on_open(*self);
            });
        });
    if (failed == 0) return stream;
    if (error) *error = failed;
    stream->close();
    return nullptr;
}

Stream* Stream::adopt(Loop& loop, SocketBudget& budget, int fd, Handler& handler) {
    if (!budget.acquire()) {
        ::close(fd);
        return nullptr;
    }
    auto* stream = new Stream(loop, budget, handler, ReadPriority::fair);
    if (uv_tcp_open(&stream->tcp_, fd) != 0) {
        ::close(fd);
        stream->close();
        return nullptr;
    }
    stream->start();
    return stream;
}

void Stream::start() {
    state_ = State::open;
    uv_tcp_nodelay(&tcp_, 1);
    pause(false);
}

void Stream::pause(bool on) {
    const bool can_read = state_ == State::open || state_ == State::shutting_down;
    if (!can_read || reading_ == !on) return;
    reading_ = !on;
    if (on) {
        uv_read_stop(as_stream());
        return;
    }
    uv_read_start(
        as_stream(),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            auto* self = static_cast<Stream*>(handle->data);
            auto& bytes = loop_of(self->tcp_).read_buffer();
            *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(self->may_read_bytes()));
        },
        [](uv_stream_t* handle, ssize_t count, const uv_buf_t* buffer) {
            auto* self = static_cast<Stream*>(handle->data);
            self->guarded([&] { self->on_read(count, *buffer); });
        });
}

// A deferred read stays pending: the next poll reports the stream as readable again.
std::size_t Stream::may_read_bytes() {
    Loop& loop = loop_of(tcp_);
    if (loop.may_read(reader_)) return is_client_ ? loop.client_read_bytes() : loop.server_read_bytes();
    if (!deferred_since_) deferred_since_ = loop.last_poll_at();
    return 0;
}

void Stream::on_read(ssize_t count, const uv_buf_t& buffer) {
    const bool deferred = count == UV_ENOBUFS && buffer.len == 0;
    if (state_ == State::closed || count == 0 || deferred) return;
    if (count < 0)
        return disconnect(count == UV_EOF ? DisconnectCause::closed_by_peer : DisconnectCause::error);
    const auto size = static_cast<std::size_t>(count);
    if (state_ == State::shutting_down)
        discard(size);
    else
        deliver({buffer.base, size});
    if (size < buffer.len) deferred_since_.reset();  // all that had arrived was read
}

Micros Stream::arrived_after() const {
    return deferred_since_.value_or(loop_of(tcp_).last_poll_at());
}

void Stream::deliver(std::string_view bytes) {
    try {
        handler_->on_data(*this, bytes);
    } catch (const std::exception& error) {
        thread_local log::RateLimitedLogger logger;
        logger.warn("stream: connection dropped error={}", error.what());
        if (state_ != State::closed) disconnect(DisconnectCause::error);
    }
}

void Stream::read_available() {
    auto& buffer = loop_of(tcp_).read_buffer();
    for (std::size_t unread = std::min(unread_bytes(), kMaxAvailable); unread > 0 && is_open();) {
        const ssize_t count =
            recv(descriptor(), buffer.data(), std::min(unread, buffer.size()), MSG_DONTWAIT);
        if (count <= 0) return;  // the end of the stream or an error is reported from the loop
        unread -= static_cast<std::size_t>(count);
        deliver({buffer.data(), static_cast<std::size_t>(count)});
    }
}

void Stream::write(std::string bytes) {
    if (state_ != State::open) return;
    auto* write = new Write{{}, std::move(bytes)};
    write->request.data = this;
    const uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    account_write(write->memory());
    const int failed =
        uv_write(&write->request, as_stream(), &buffer, 1, [](uv_write_t* request, int status) {
            auto* self = static_cast<Stream*>(request->data);
            auto* done = reinterpret_cast<Write*>(request);
            self->account_write(-done->memory());
            delete done;
            if (self->state_ == State::closed) return;
            self->guarded([&] {
                if (status != 0) return self->disconnect(DisconnectCause::error);
                if (self->state_ == State::open) self->handler_->on_write_drained(*self);
            });
        });
    if (failed != 0) {
        account_write(-write->memory());
        delete write;
        // The read side reports the broken connection; reporting it here would call the handler from within
        // its own call.
    }
}

void Stream::account_write(std::ptrdiff_t change) {
    write_memory_ += static_cast<std::size_t>(change);
    loop_of(tcp_).memory().add(budget_.unsent_holder(), change);
    budget_.write_memory(change);
}

void Stream::write_immediately(std::string_view bytes) {
    if (state_ != State::open) return;
    // libuv does not modify what it writes.
    const uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    const int written = uv_try_write(as_stream(), &buffer, 1);
    bytes.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
    if (!bytes.empty()) write(std::string(bytes));
}

void Stream::disconnect(DisconnectCause cause) {
    Handler* handler = handler_;
    close();
    handler->on_close(*this, cause);
}

void Stream::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_), [](uv_handle_t* handle) {
        auto* self = static_cast<Stream*>(handle->data);
        delete self;
    });
    budget_.release();  // libuv closes the descriptor within uv_close
}

int Stream::descriptor() const {
    uv_os_fd_t fd = -1;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) == 0 ? fd : -1;
}

std::size_t Stream::unread_bytes() const {
    int count = 0;
    const bool known = ioctl(descriptor(), FIONREAD, &count) == 0 && count > 0;
    return known ? static_cast<std::size_t>(count) : 0;
}

bool Stream::congested() const {
    int count = 0;
    return ioctl(descriptor(), SIOCOUTQNSD, &count) == 0 && count > 0;
}

std::size_t Stream::undelivered_bytes() const {
    int unacknowledged = 0;
    const bool known = ioctl(descriptor(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
    return unsent_bytes() + (known ? static_cast<std::size_t>(unacknowledged) : 0);
}

Micros Stream::time_since_last_byte() const {
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool known = getsockopt(descriptor(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return known ? Micros{info.tcpi_last_data_recv} * base::kMillisecond : 0;
}

bool Stream::peer_has_closed() const {
    char byte = 0;
    return recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Data that an earlier block dropped stays counted until it has been retransmitted.
void Stream::block_receive() {
    if (receive_blocks_++ > 0) return;
    if (!awaits_retransmission()) dropped_before_block_ = dropped_segments(descriptor());
    drop_arriving_data(descriptor());
}

void Stream::unblock_receive() {
    if (--receive_blocks_ > 0) return;
    accept_arriving_data(descriptor());
    if (is_open()) unblocked_at_ = loop_of(tcp_).clock().now();
}

bool Stream::has_dropped_data() const {
    const std::optional<std::uint32_t> dropped = dropped_segments(descriptor());
    return dropped && dropped_before_block_ && *dropped != *dropped_before_block_;
}

bool Stream::awaits_retransmission() const {
    const bool has_time = unblocked_at_ && loop_of(tcp_).clock().now() < *unblocked_at_ + kRetransmission;
    return has_time && (!dropped_before_block_ || has_dropped_data());
}

bool Stream::half_close() {
    if (::shutdown(descriptor(), SHUT_WR) != 0) return false;
    on_half_closed();
    return true;
}

void Stream::set_cork(bool on) {
    const int value = on ? 1 : 0;
    setsockopt(descriptor(), IPPROTO_TCP, TCP_CORK, &value, sizeof value);
}

// Checks again if the process was preempted on its return from the system call.
bool Stream::has_dropped_data_by_now() const {
    for (int check = 0; check < kMaxChecks; ++check) {
        const std::uint64_t started_at = uv_hrtime();
        if (has_dropped_data()) return true;
        if (uv_hrtime() - started_at <= kMaxCheckTime) return false;
    }
    return false;
}

// `act` returns whether it was done. The first check avoids a retransmission by the other side in the usual
// case. The process may be preempted at any point between the block and `act`, so the check for dropped data
// comes last.
QuietResult Stream::if_quiet(DroppedData dropped_data, const std::function<bool()>& act) {
    if (has_unread_data() || awaits_retransmission()) return QuietResult::not_quiet;
    const ReceiveBlock block(*this);
    if (has_unread_data()) return QuietResult::interrupted;
    const bool has_dropped = has_dropped_data_by_now();
    if (has_dropped && dropped_data == DroppedData::interrupts) return QuietResult::interrupted;
    left_dropped_data_ = has_dropped;
    return act() ? QuietResult::done : QuietResult::not_quiet;
}

QuietResult Stream::close_if_quiet() {
    return if_quiet(DroppedData::interrupts, [this] {
        close();
        return true;
    });
}

QuietResult Stream::shutdown_if_quiet(DroppedData dropped_data) {
    if (state_ != State::open || unsent_bytes() > 0) return QuietResult::not_quiet;
    const QuietResult result = if_quiet(dropped_data, [this] { return half_close(); });
    if (result != QuietResult::done) return result;
    state_ = State::shutting_down;
    pause(false);
    return result;
}

// A client's system may hold back written bytes until its earlier ones are acknowledged (Nagle's algorithm),
// and would otherwise get that acknowledgement together with the close.
void Stream::acknowledge_now() {
    const int on = 1;
    setsockopt(descriptor(), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof on);
}

QuietResult Stream::write_and_shutdown_if_quiet(std::string bytes, DroppedData dropped_data) {
    const bool has_room =
        state_ == State::open && unsent_bytes() == 0 && !congested() && bytes.size() <= peer_room();
    if (!has_room) {
        write(std::move(bytes));
        return QuietResult::not_quiet;
    }
    acknowledge_now();
    const WriteBatch together(*this);
    write(std::move(bytes));
    return shutdown_if_quiet(dropped_data);
}

// The bytes for which the other side's receive window has room now.
std::size_t Stream::peer_room() const {
    int unacknowledged = 0;
    if (ioctl(descriptor(), SIOCOUTQ, &unacknowledged) != 0) return 0;
    const std::size_t window = peer_receive_window(descriptor());
    const auto in_flight = static_cast<std::size_t>(unacknowledged);
    return window > in_flight ? window - in_flight : 0;
}

void Stream::on_half_closed() {
    half_closed_at_ = loop_of(tcp_).clock().now();
    unread_at_half_close_ = unread_bytes();
}

// Bytes that arrive before the half-close are discarded too; they count as at_half_close, since their sender
// can't know of the close yet.
void Stream::discard(std::size_t count) {
    DiscardedBytes discarded;
    discarded.at_half_close = half_closed_at_ ? std::min(count, unread_at_half_close_) : count;
    discarded.after_half_close = count - discarded.at_half_close;
    if (half_closed_at_) {
        unread_at_half_close_ -= discarded.at_half_close;
        discarded.since_half_close = loop_of(tcp_).clock().now() - *half_closed_at_;
    }
    handler_->on_discarded(*this, discarded);
}

void Stream::shutdown() {
    if (state_ == State::closed || state_ == State::shutting_down) return;
    if (state_ == State::connecting) return disconnect(DisconnectCause::closed_by_peer);
    state_ = State::shutting_down;
    // libuv half-closes in a later iteration. Bytes that arrive until then would be discarded, though their
    // sender could not know of the close yet.
    if (unsent_bytes() == 0 && half_close()) return pause(false);
    const int failed = uv_shutdown(&shutdown_request_, as_stream(), [](uv_shutdown_t* request, int status) {
        auto* self = static_cast<Stream*>(request->data);
        if (self->state_ == State::closed) return;
        self->guarded([&] {
            if (status != 0) return self->disconnect(DisconnectCause::error);
            self->on_half_closed();
        });
    });
    if (failed != 0) return disconnect(DisconnectCause::error);
    pause(false);
}

}  // namespace sumackeel::net
