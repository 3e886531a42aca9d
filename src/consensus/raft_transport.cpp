#include "consensus/raft_transport.h"

#include <openssl/rand.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>

#include "base/log.h"

namespace sumackeel::consensus {

namespace {

constexpr std::size_t kNonce = 16, kCode = 16, kAddress = 64, kNumber = 8;
constexpr std::size_t kFirst = kNonce + kNumber + kCode;  // nonce, history, code over both
// id, address, history, code over the nonce and all three
constexpr std::size_t kHello = kNumber + kAddress + kNumber + kCode;
constexpr std::size_t kMostHands = 12;  // those that are coming up; beyond it the oldest goes
constexpr base::Micros kHandPatience = 1'000'000;

std::string number(std::uint64_t value) {
    std::string text;
    for (unsigned shift = 0; shift < 64; shift += 8) text += static_cast<char>(value >> shift);
    return text;
}
std::uint64_t number_in(std::string_view bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = kNumber; i-- > 0;) value = value << 8 | static_cast<unsigned char>(bytes[i]);
    return value;
}

}  // namespace

// Who listens sends a nonce and the history of its log; who connects answers with its id, its address and its
// history, each with a code. Exactly as many bytes as that are read, so that the first of the log stay in the
// socket.
struct RaftTransport::Hand {
    RaftTransport& owner;
    uv_tcp_t* tcp = static_cast<uv_tcp_t*>(raft_malloc(sizeof(uv_tcp_t)));  // the library frees it
    uv_connect_t connecting{};
    uv_write_t writing{};
    raft_uv_connect* request = nullptr;  // ours; null: it came in
    raft_uv_connect_cb cb = nullptr;
    std::array<char, kFirst> first{};
    std::array<char, kHello> hello{};
    std::size_t have = 0;
    base::TimerQueue::Key by;

    explicit Hand(RaftTransport& o) : owner(o) {
        uv_tcp_init(owner.loop_.raw(), tcp);
        tcp->data = this;
        connecting.data = writing.data = this;
        by = owner.loop_.timers().schedule(owner.loop_.clock().now() + kHandPatience,
                                           [this] { drop(RAFT_NOCONNECTION); });
        owner.hands_.push_back(this);
    }

    std::string_view nonce() const { return {first.data(), kNonce}; }
    std::string_view part(std::size_t at, std::size_t size) const { return {hello.data() + at, size}; }
    std::string said() const {  // what the code of the hello is over
        return std::string(nonce()).append(part(0, kHello - kCode));
    }

    void read(char* into, std::size_t most) {
        reading_into = into, reading_most = most;
        have = 0;
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(tcp),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto* self = static_cast<Hand*>(handle->data);
                *buffer = uv_buf_init(self->reading_into + self->have,
                                      static_cast<unsigned>(self->reading_most - self->have));
            },
            [](uv_stream_t* stream, ssize_t count, const uv_buf_t*) {
                auto* self = static_cast<Hand*>(stream->data);
                if (count < 0) return self->drop(RAFT_NOCONNECTION);
                self->have += static_cast<std::size_t>(count);
                if (self->have < self->reading_most) return;
                uv_read_stop(stream);
                self->request ? self->answer() : self->judge();
            });
    }

    void write(const char* bytes, std::size_t size, uv_write_cb done) {
        const uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes), static_cast<unsigned>(size));
        if (uv_write(&writing, reinterpret_cast<uv_stream_t*>(tcp), &buffer, 1, done) != 0)
            drop(RAFT_NOCONNECTION);
    }

    // Whether the other's log is of our history; one that is later is told.
    bool same(std::uint64_t history) {
        if (history > owner.history_) owner.newer_(history);
        return history == owner.history_;
    }

    void greet() {  // it came in
        if (RAND_bytes(reinterpret_cast<unsigned char*>(first.data()), kNonce) != 1)
            return drop(RAFT_NOCONNECTION);
        const std::string bytes = std::string(nonce()) + number(owner.history_);
        std::memcpy(first.data(), bytes.data(), bytes.size());
        std::memcpy(first.data() + bytes.size(), owner.codec_.mac_of(bytes).data(), kCode);
        write(first.data(), kFirst, [](uv_write_t* request, int written) {
            auto* self = static_cast<Hand*>(request->data);
            if (self->dropped) return;
            written == 0 ? self->read(self->hello.data(), kHello) : self->drop(RAFT_NOCONNECTION);
        });
    }

    void answer() {  // ours: the nonce has come
        const std::string_view bytes(first.data(), kFirst - kCode);
        if (!owner.codec_.verify_mac(bytes, {first.data() + bytes.size(), kCode})) {
            ++owner.refused_;
            return drop(RAFT_NOCONNECTION);
        }
        // Also told to one of an older history, which so learns of ours; then it ends.
        const bool ours = same(number_in(bytes.substr(kNonce)));
        std::string address = owner.address_.substr(0, kAddress - 1);
        address.resize(kAddress, 0);
        const std::string told = number(owner.id_) + address + number(owner.history_);
        std::memcpy(hello.data(), told.data(), told.size());
        std::memcpy(hello.data() + told.size(), owner.codec_.mac_of(said()).data(), kCode);
        if (ours)
            return write(hello.data(), hello.size(), [](uv_write_t* request, int status) {
                auto* self = static_cast<Hand*>(request->data);
                if (self->dropped) return;
                status == 0 ? self->give() : self->drop(RAFT_NOCONNECTION);
            });
        write(hello.data(), hello.size(),
              [](uv_write_t* request, int) { static_cast<Hand*>(request->data)->drop(RAFT_NOCONNECTION); });
    }

    void judge() {  // it came in: the hello is there
        const raft_id id = number_in(part(0, kNumber));
        if (id == 0 || !owner.codec_.verify_mac(said(), part(kHello - kCode, kCode))) {
            ++owner.refused_;
            return drop(RAFT_NOCONNECTION);
        }
        if (!same(number_in(part(kNumber + kAddress, kNumber)))) return drop(RAFT_NOCONNECTION);
        hello[kNumber + kAddress - 1] = 0;
        const std::string address(hello.data() + kNumber);
        uv_tcp_t* stream = release();
        owner.accepted_(&owner.transport_, id, address.c_str(), reinterpret_cast<uv_stream_t*>(stream));
        owner.closed(this);
    }

    uv_tcp_t* release() {
        owner.loop_.timers().cancel(by);
        return std::exchange(tcp, nullptr);
    }

    void give() {
        const auto told = cb;
        auto* what = request;
        uv_tcp_t* stream = release();
        owner.closed(this);
        told(what, reinterpret_cast<uv_stream_t*>(stream), 0);
    }

    void drop(int status) {
        if (std::exchange(dropped, true)) return;
        owner.loop_.timers().cancel(by);
        result = status;
        uv_close(reinterpret_cast<uv_handle_t*>(tcp), [](uv_handle_t* handle) {
            auto* self = static_cast<Hand*>(handle->data);
            raft_free(handle);
            const auto told = self->cb;
            auto* what = self->request;
            const int status = self->result;
            RaftTransport& transport = self->owner;
            transport.closed(self);
            if (told) told(what, nullptr, status);
        });
    }

    char* reading_into = nullptr;
    std::size_t reading_most = 0;
    bool dropped = false;
    int result = 0;
};

RaftTransport::RaftTransport(net::Loop& loop, const MessageCodec& codec, std::string listen,
                             std::function<std::string(const std::string&)> reach,
                             std::function<void(std::uint64_t)> newer)
    : loop_(loop),
      codec_(codec),
      listen_(std::move(listen)),
      reach_(std::move(reach)),
      newer_(std::move(newer)) {
    transport_.impl = this;  // `data` is the library's
    transport_.init = [](raft_uv_transport* t, raft_id id, const char* address) {
        auto* self = static_cast<RaftTransport*>(t->impl);
        self->id_ = id, self->address_ = address;
        return 0;
    };
    transport_.listen = [](raft_uv_transport* t, raft_uv_accept_cb cb) {
        auto* self = static_cast<RaftTransport*>(t->impl);
        self->accepted_ = cb;
        sockaddr_in at{};
        if (!net::parse_address(self->listen_, at)) return RAFT_INVALID;
        try {
            self->listener_ =
                std::make_unique<net::Listener>(self->loop_, self->listen_, [self] { self->take_next(); });
        } catch (const std::exception& wrong) {
            log::error("agreed: {}", wrong.what());
            return RAFT_IOERR;
        }
        return 0;
    };
    transport_.connect = [](raft_uv_transport* t, raft_uv_connect* request, raft_id, const char* address,
                            raft_uv_connect_cb cb) {
        auto* self = static_cast<RaftTransport*>(t->impl);
        sockaddr_in to{};
        if (self->closing_ || !net::parse_address(self->reach_(address), to)) return RAFT_NOCONNECTION;
        auto* hand = new Hand(*self);
        hand->request = request, hand->cb = cb;
        if (uv_tcp_connect(&hand->connecting, hand->tcp, reinterpret_cast<const sockaddr*>(&to),
                           [](uv_connect_t* connecting, int status) {
                               auto* made = static_cast<Hand*>(connecting->data);
                               if (made->dropped) return;
                               if (status != 0) return made->drop(RAFT_NOCONNECTION);
                               uv_tcp_nodelay(made->tcp, 1);
                               made->read(made->first.data(), kFirst);
                           }) != 0)
            hand->drop(RAFT_NOCONNECTION);
        return 0;
    };
    transport_.close = [](raft_uv_transport* t, raft_uv_transport_close_cb cb) {
        auto* self = static_cast<RaftTransport*>(t->impl);
        self->closing_ = true;
        self->close_cb_ = cb;
        const auto hands = self->hands_;
        for (Hand* hand : hands) hand->drop(RAFT_CANCELED);
        self->listener_.reset();
        // Told from the loop, as the library expects it of whatever closes.
        auto* told_later = new uv_timer_t;
        uv_timer_init(self->loop_.raw(), told_later);
        told_later->data = self;
        uv_close(reinterpret_cast<uv_handle_t*>(told_later), [](uv_handle_t* handle) {
            auto* owner = static_cast<RaftTransport*>(handle->data);
            delete reinterpret_cast<uv_timer_t*>(handle);
            owner->closed_listener_ = true;
            owner->finish_close();
        });
    };
}

void RaftTransport::take_next() {
    const int fd = closing_ ? -1 : listener_->accept();
    if (fd < 0) return;
    if (hands_.size() >= kMostHands) hands_.front()->drop(RAFT_NOCONNECTION);
    auto* hand = new Hand(*this);
    if (uv_tcp_open(hand->tcp, fd) != 0) {
        ::close(fd);
        return hand->drop(RAFT_NOCONNECTION);
    }
    hand->greet();
}

RaftTransport::~RaftTransport() = default;

void RaftTransport::closed(Hand* hand) {
    std::erase(hands_, hand);
    delete hand;
    if (closing_) finish_close();
}

void RaftTransport::finish_close() {
    if (!closed_listener_ || !hands_.empty() || !close_cb_) return;
    std::exchange(close_cb_, nullptr)(&transport_);
}

}  // namespace sumackeel::consensus
