#include "net/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

#include "base/log.h"
#include "base/system_error.h"

namespace sumackeel::net {

namespace {

// accept() failed for want of a descriptor or memory: it is called again this much later.
constexpr Micros kAcceptAgain = 10'000;
// Connections that ended in the queue, one after another, before others get their turn of the loop.
constexpr int kMostAborted = 64;

// Whether accept failed for that one connection alone, or was broken off by a signal: the next one may be
// taken.
bool ended_in_queue(int error) {
    switch (error) {
        case EINTR:
        case ECONNABORTED:
        case EPROTO:
        case EPERM:
        case ENETDOWN:
        case ENETUNREACH:
        case EHOSTDOWN:
        case EHOSTUNREACH:
        case ENONET:
        case ENOPROTOOPT:
        case EOPNOTSUPP:
        case ETIMEDOUT:
            return true;
        default:
            return false;
    }
}

// A socket that listens at `address`, or the negative errno.
int listening_socket(const sockaddr_in& address, int backlog) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -errno;
    const int on = 1;
    const auto* at = reinterpret_cast<const sockaddr*>(&address);
    if (::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        ::bind(fd, at, sizeof address) == 0 && ::listen(fd, backlog) == 0)
        return fd;
    const int error = errno;
    ::close(fd);
    return -error;
}

int bind_at_start(const ListenAddress& place) {
    sockaddr_in address{};
    if (!parse_address(place.address, address))
        throw std::runtime_error("can't listen on " + place.address + ": no address");
    int fd = -1;
    const int failed = base::retry_at_startup([&] {
        fd = listening_socket(address, place.backlog);
        return fd < 0 ? fd : 0;
    });
    if (failed != 0)
        throw std::runtime_error("can't listen on " + place.address + ": " + base::describe_error(failed));
    return fd;
}

}  // namespace

void check_listening(int fd) {
    struct stat about {};
    int type = 0, domain = 0, listening = 0;
    socklen_t length = sizeof type;
    const auto option = [&](int name, int& into) {
        length = sizeof into;
        return getsockopt(fd, SOL_SOCKET, name, &into, &length) == 0;
    };
    const std::string what = "descriptor " + std::to_string(fd) + " handed in ";
    if (fd < 0 || fstat(fd, &about) != 0) throw std::runtime_error(what + "is not open");
    if (!S_ISSOCK(about.st_mode)) throw std::runtime_error(what + "is no socket");
    if (!option(SO_TYPE, type) || !option(SO_DOMAIN, domain) || type != SOCK_STREAM || domain != AF_INET)
        throw std::runtime_error(what + "is no TCP socket over IPv4");
    if (!option(SO_ACCEPTCONN, listening) || listening != 1)
        throw std::runtime_error(what + "does not listen");
}

Listener::Listener(Loop& loop, const ListenAddress& place, std::function<void()> on_ready)
    : loop_(loop), on_ready_(std::move(on_ready)) {
    if (place.inherited >= 0)
        check_listening(place.inherited);
    else
        fd_ = bind_at_start(place);
    if (place.inherited >= 0) {
        fd_ = place.inherited;
        ::listen(fd_, place.backlog);  // it listens already: this sets the queue's length alone
    }
    poll_ = new uv_poll_t;
    const int failed = uv_poll_init(loop.raw(), poll_, fd_);
    if (failed != 0) {
        delete std::exchange(poll_, nullptr);
        ::close(std::exchange(fd_, -1));
        throw std::runtime_error("can't listen on " + place.address + ": " + base::describe_error(failed));
    }
    poll_->data = this;
    start_polling();
}

Listener::~Listener() {
    close();
}

int Listener::port() const {
    sockaddr_in at{};
    socklen_t length = sizeof at;
    if (fd_ < 0 || getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length) != 0) return -1;
    return ntohs(at.sin_port);
}

int Listener::accept() {
    if (fd_ < 0 || short_) return -1;
    for (int aborted = 0; aborted < kMostAborted; ++aborted) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) return fd;
        const int error = errno;
        if (error == EAGAIN) return -1;
        if (!ended_in_queue(error)) {
            back_off(error);
            return -1;
        }
        thread_local log::RateLimitedLogger line;
        if (error != EINTR) line.warn("a connection could not be taken: {}", base::describe_error(error));
    }
    return -1;
}

void Listener::back_off(int error) {
    thread_local log::RateLimitedLogger line;
    line.warn("no connection can be taken for now: {}", base::describe_error(error));
    short_ = true;
    uv_poll_stop(poll_);
    loop_.timers().schedule(loop_.clock().now() + kAcceptAgain, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired() || fd_ < 0) return;
        short_ = false;
        if (!paused_) start_polling();
    });
}

bool Listener::has_waiting() const {
    pollfd one{.fd = fd_, .events = POLLIN, .revents = 0};
    return fd_ >= 0 && ::poll(&one, 1, 0) == 1 && (one.revents & POLLIN);
}

int Listener::waiting() const {
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool told = fd_ >= 0 && getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return told ? static_cast<int>(info.tcpi_unacked) : 0;  // of a listener: the length of its queue
}

void Listener::pause() {
    if (fd_ < 0 || paused_) return;
    paused_ = true;
    uv_poll_stop(poll_);
}

void Listener::resume() {
    if (fd_ < 0 || !paused_) return;
    paused_ = false;
    if (!short_) start_polling();
}

void Listener::start_polling() {
    uv_poll_start(poll_, UV_READABLE, [](uv_poll_t* handle, int, int) {
        auto* self = static_cast<Listener*>(handle->data);
        if (!self) return;
        self->on_ready_();
    });
}

void Listener::close() {
    if (fd_ < 0) return;
    poll_->data = nullptr;
    uv_poll_stop(poll_);
    uv_close(reinterpret_cast<uv_handle_t*>(poll_),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_poll_t*>(handle); });
    poll_ = nullptr;
    ::close(std::exchange(fd_, -1));
}

}  // namespace sumackeel::net
