#include "consensus/raft_transport.h"

#include <openssl/rand.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "consensus/raft_handshake.h"

namespace sumackeel::consensus {

namespace {

// Room for all handshakes of six other voters; beyond this the oldest incoming one is closed.
constexpr std::size_t kMaxIncomingHandshakes = 6 * base::PendingCalls::kMaxPending;
constexpr base::Micros kHandshakeInterval = 1'000'000;  // without a result another one is begun beside it
constexpr base::Micros kHandshakeTimeout = 10'000'000;

RaftTransport& transport_of(raft_uv_transport* raw) {
    return *static_cast<RaftTransport*>(raw->impl);
}

}  // namespace

// A connection that the library has asked for. A handshake may be late, and its connection may be dead:
// others are begun beside it, and the first that succeeds is used.
struct RaftTransport::ConnectRequest {
    raft_uv_connect* library_request;
    raft_uv_connect_cb on_done;
    sockaddr_in target;
    base::PendingCalls handshakes;
    base::TimerQueue::Key next_handshake;
};

// Reads exactly the bytes of the handshake, so that the Raft messages after it stay in the socket.
struct RaftTransport::Handshake {
    RaftTransport& owner;
    const Direction direction;
    const base::CallId id;
    ConnectRequest* request = nullptr;  // that it serves; null: it is incoming, or the request is finished
    uv_tcp_t* tcp = static_cast<uv_tcp_t*>(raft_malloc(sizeof(uv_tcp_t)));  // the library frees it
    uv_connect_t connecting{};
    uv_write_t writing{};
    Greeting greeting{};
    HelloBytes hello{};
    char* read_buffer = nullptr;
    std::size_t read_size = 0;
    std::size_t bytes_read = 0;
    base::TimerQueue::Key timeout;
    bool dropped = false;
    int drop_status = 0;

    Handshake(RaftTransport& transport, Direction towards)
        : owner(transport), direction(towards), id(++transport.last_handshake_) {
        uv_tcp_init(owner.loop_.raw(), tcp);
        tcp->data = this;
        connecting.data = this;
        writing.data = this;
        timeout = owner.loop_.timers().schedule(owner.loop_.clock().now() + kHandshakeTimeout,
                                                [this] { drop(RAFT_NOCONNECTION); });
        owner.handshakes_.push_back(this);
    }

    template <typename Handle>
    static Handshake& of(const Handle* handle) {
        return *static_cast<Handshake*>(handle->data);
    }

    // `into` must stay valid until it has been filled.
    template <std::size_t kSize>
    void read(std::array<char, kSize>& into) {
        read_buffer = into.data();
        read_size = kSize;
        bytes_read = 0;
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(tcp),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                const Handshake& self = of(handle);
                *buffer = uv_buf_init(self.read_buffer + self.bytes_read,
                                      static_cast<unsigned>(self.read_size - self.bytes_read));
            },
            [](uv_stream_t* stream, ssize_t count, const uv_buf_t*) { of(stream).on_read(count); });
    }

    void on_read(ssize_t count) {
        if (count < 0) return drop(RAFT_NOCONNECTION);
        bytes_read += static_cast<std::size_t>(count);
        if (bytes_read < read_size) return;
        uv_read_stop(reinterpret_cast<uv_stream_t*>(tcp));
        direction == Direction::outgoing ? on_greeting() : on_hello();
    }

    template <std::size_t kSize>
    void write(std::array<char, kSize>& bytes, uv_write_cb done) {
        const uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(kSize));
        if (uv_write(&writing, reinterpret_cast<uv_stream_t*>(tcp), &buffer, 1, done) != 0)
            drop(RAFT_NOCONNECTION);
    }

    // Returns whether the peer's log has the same history; reports a later one.
    bool check_history(std::uint64_t history) {
        if (history > owner.history_) owner.newer_history_found_(history);
        return history == owner.history_;
    }

    void send_greeting() {
        if (RAND_bytes(reinterpret_cast<unsigned char*>(greeting.data()), kNonceBytes) != 1)
            return drop(RAFT_NOCONNECTION);
        encode_greeting(owner.codec_, owner.history_, greeting);
        write(greeting, [](uv_write_t* written, int status) {
            Handshake& self = of(written);
            if (self.dropped) return;
            status == 0 ? self.read(self.hello) : self.drop(RAFT_NOCONNECTION);
        });
    }

    void on_greeting() {
        if (!verify_greeting(owner.codec_, greeting)) return reject();
        // A peer with an older history gets the hello too: this is how it learns of the later history.
        const bool same_history = check_history(history_of(greeting));
        hello = encode_hello(owner.codec_, greeting, {owner.own_id_, owner.own_address_, owner.history_});
        if (!same_history)
            return write(hello, [](uv_write_t* written, int) { of(written).drop(RAFT_NOCONNECTION); });
        write(hello, [](uv_write_t* written, int status) {
            Handshake& self = of(written);
            if (self.dropped) return;
            status == 0 ? self.hand_over_outgoing() : self.drop(RAFT_NOCONNECTION);
        });
    }

    void on_hello() {
        const Hello received = decode_hello(hello);
        if (received.id == 0 || !verify_hello(owner.codec_, greeting, hello)) return reject();
        if (!check_history(received.history)) return drop(RAFT_NOCONNECTION);
        uv_tcp_t* stream = release_socket();
        owner.on_accepted_(&owner.transport_, received.id, received.address.c_str(),
                           reinterpret_cast<uv_stream_t*>(stream));
        owner.remove(this);
    }

    void hand_over_outgoing() {
        auto* const stream = reinterpret_cast<uv_stream_t*>(release_socket());
        request->handshakes.take(id);
        owner.finish(*request, stream, 0);
        owner.remove(this);
    }

    uv_tcp_t* release_socket() {
        owner.loop_.timers().cancel(timeout);
        return std::exchange(tcp, nullptr);
    }

    void reject() {
        ++owner.rejected_;
        drop(RAFT_NOCONNECTION);
    }

    void drop(int status) {
        if (std::exchange(dropped, true)) return;
        owner.loop_.timers().cancel(timeout);
        drop_status = status;
        uv_close(reinterpret_cast<uv_handle_t*>(tcp), [](uv_handle_t* handle) {
            Handshake& self = of(handle);
            raft_free(handle);
            ConnectRequest* const served = self.request;
            const bool last = served && served->handshakes.take(self.id) && served->handshakes.empty();
            if (last) self.owner.finish(*served, nullptr, self.drop_status);
            self.owner.remove(&self);
        });
    }
};

RaftTransport::RaftTransport(net::Loop& loop, const MessageCodec& codec, std::string listen_address,
                             std::function<std::string(const std::string&)> reachable_address,
                             std::function<void(std::uint64_t)> newer_history_found)
    : loop_(loop),
      codec_(codec),
      listen_address_(std::move(listen_address)),
      reachable_address_(std::move(reachable_address)),
      newer_history_found_(std::move(newer_history_found)) {
    transport_.impl = this;  // `data` is the library's
    transport_.init = [](raft_uv_transport* raw, raft_id id, const char* address) {
        RaftTransport& self = transport_of(raw);
        self.own_id_ = id;
        self.own_address_ = address;
        return 0;
    };
    transport_.listen = [](raft_uv_transport* raw, raft_uv_accept_cb on_accepted) {
        return transport_of(raw).listen(on_accepted);
    };
    transport_.connect = [](raft_uv_transport* raw, raft_uv_connect* request, raft_id, const char* address,
                            raft_uv_connect_cb on_connected) {
        return transport_of(raw).connect(request, address, on_connected);
    };
    transport_.close = [](raft_uv_transport* raw, raft_uv_transport_close_cb on_closed) {
        transport_of(raw).close(on_closed);
    };
}

RaftTransport::~RaftTransport() = default;

int RaftTransport::listen(raft_uv_accept_cb on_accepted) {
    on_accepted_ = on_accepted;
    sockaddr_in address{};
    if (!net::parse_address(listen_address_, address)) return RAFT_INVALID;
    try {
        listener_ = std::make_unique<net::Listener>(loop_, listen_address_, [this] { on_incoming(); });
    } catch (const std::exception& error) {
        log::error("consensus: listen failed address={} reason={}", listen_address_, error.what());
        return RAFT_IOERR;
    }
    return 0;
}

int RaftTransport::connect(raft_uv_connect* library_request, const char* address,
                           raft_uv_connect_cb on_done) {
    sockaddr_in target{};
    if (closing_ || !net::parse_address(reachable_address_(address), target)) return RAFT_NOCONNECTION;
    requests_.push_back(
        std::make_unique<ConnectRequest>(ConnectRequest{library_request, on_done, target, {}, {}}));
    begin_handshake(*requests_.back());
    return 0;
}

void RaftTransport::begin_handshake(ConnectRequest& request) {
    const base::Micros now = loop_.clock().now();
    request.next_handshake =
        loop_.timers().schedule(now + kHandshakeInterval, [this, &request] { begin_handshake(request); });
    auto* handshake = new Handshake(*this, Direction::outgoing);
    handshake->request = &request;
    for (const base::CallId given_up :
         request.handshakes.add({.id = handshake->id, .begun_at = now}, base::PendingCalls::kMaxPending))
        drop_handshake(given_up);
    const auto connected = [](uv_connect_t* connecting, int status) {
        Handshake& self = Handshake::of(connecting);
        if (self.dropped) return;
        if (status != 0) return self.drop(RAFT_NOCONNECTION);
        uv_tcp_nodelay(self.tcp, 1);
        self.read(self.greeting);
    };
    if (uv_tcp_connect(&handshake->connecting, handshake->tcp,
                       reinterpret_cast<const sockaddr*>(&request.target), connected) != 0)
        handshake->drop(RAFT_NOCONNECTION);
}

void RaftTransport::drop_handshake(base::CallId id) {
    const auto found = std::find_if(handshakes_.begin(), handshakes_.end(),
                                    [id](const Handshake* handshake) { return handshake->id == id; });
    if (found == handshakes_.end()) return;
    (*found)->request = nullptr;
    (*found)->drop(RAFT_NOCONNECTION);
}

void RaftTransport::finish(ConnectRequest& request, uv_stream_t* stream, int status) {
    loop_.timers().cancel(request.next_handshake);
    for (const base::PendingCalls::Call& other : request.handshakes.take_all()) drop_handshake(other.id);
    const auto on_done = request.on_done;
    raft_uv_connect* const library_request = request.library_request;
    std::erase_if(requests_, [&request](const auto& one) { return one.get() == &request; });
    on_done(library_request, stream, status);
}

void RaftTransport::close(raft_uv_transport_close_cb on_closed) {
    closing_ = true;
    on_closed_ = on_closed;
    for (const auto& request : requests_) loop_.timers().cancel(request->next_handshake);
    const auto open = handshakes_;
    for (Handshake* handshake : open) handshake->drop(RAFT_CANCELED);
    listener_.reset();
    // The library expects the callback to come from the loop; closing an unused handle provides one.
    auto* handle = new uv_timer_t;
    uv_timer_init(loop_.raw(), handle);
    handle->data = this;
    uv_close(reinterpret_cast<uv_handle_t*>(handle), [](uv_handle_t* closed) {
        auto* self = static_cast<RaftTransport*>(closed->data);
        delete reinterpret_cast<uv_timer_t*>(closed);
        self->listener_closed_ = true;
        self->finish_close();
    });
}

void RaftTransport::on_incoming() {
    const int fd = closing_ ? -1 : listener_->accept();
    if (fd < 0) return;
    make_room_for_incoming();
    auto* handshake = new Handshake(*this, Direction::incoming);
    if (uv_tcp_open(handshake->tcp, fd) != 0) {
        ::close(fd);
        return handshake->drop(RAFT_NOCONNECTION);
    }
    handshake->send_greeting();
}

void RaftTransport::make_room_for_incoming() {
    const auto is_incoming = [](const Handshake* handshake) {
        return handshake->direction == Direction::incoming && !handshake->dropped;
    };
    const auto incoming = std::count_if(handshakes_.begin(), handshakes_.end(), is_incoming);
    if (incoming < static_cast<std::ptrdiff_t>(kMaxIncomingHandshakes)) return;
    (*std::find_if(handshakes_.begin(), handshakes_.end(), is_incoming))->drop(RAFT_NOCONNECTION);
}

void RaftTransport::remove(Handshake* handshake) {
    std::erase(handshakes_, handshake);
    delete handshake;
    if (closing_) finish_close();
}

void RaftTransport::finish_close() {
    if (!listener_closed_ || !handshakes_.empty() || !on_closed_) return;
    std::exchange(on_closed_, nullptr)(&transport_);
}

}  // namespace sumackeel::consensus
