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
#include "net/guarded_call.h"

namespace sumackeel::net {

namespace {

constexpr Micros kAcceptBackoff = 10'000;  // us, where descriptors or memory are short
constexpr int kMaxAborted = 64;            // connections in a row that had ended in the queue, in one call

// Whether accept failed for that one connection alone, or was interrupted by a signal: the next one may be
// accepted.
bool is_connection_error(int error) {
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
int open_listening_socket(const sockaddr_in& address, int backlog) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -errno;
    const int on = 1;
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    if (::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        ::bind(fd, raw, sizeof address) == 0 && ::listen(fd, backlog) == 0)
        return fd;
    const int error = errno;
    ::close(fd);
    return -error;
}

ListenError listen_error(const ListenAddress& address, int error) {
    return {ListenError::Code::system_error,
            "can't listen on " + address.address + ": " + base::describe_error(error)};
}

int bind_at_startup(const ListenAddress& address) {
    sockaddr_in raw{};
    if (!parse_address(address.address, raw))
        throw ListenError(ListenError::Code::invalid_address,
                          "can't listen on " + address.address + ": no address");
    int fd = -1;
    const int failed = base::retry_at_startup([&] {
        fd = open_listening_socket(raw, address.backlog);
        return fd < 0 ? fd : 0;
    });
    if (failed != 0) throw listen_error(address, failed);
    return fd;
}

}  // namespace

void check_listening(int fd) {
    struct stat status {};
    int type = 0;
    int domain = 0;
    int listening = 0;
    socklen_t length = sizeof type;
    const auto read_option = [&](int name, int& value) {
        length = sizeof value;
        return getsockopt(fd, SOL_SOCKET, name, &value, &length) == 0;
    };
    const auto fail = [fd](const char* reason) {
        throw ListenError(ListenError::Code::invalid_descriptor,
                          "descriptor " + std::to_string(fd) + " handed in " + reason);
    };
    if (fd < 0 || fstat(fd, &status) != 0) fail("is not open");
    if (!S_ISSOCK(status.st_mode)) fail("is no socket");
    if (!read_option(SO_TYPE, type) || !read_option(SO_DOMAIN, domain) || type != SOCK_STREAM ||
        domain != AF_INET)
        fail("is no TCP socket over IPv4");
    if (!read_option(SO_ACCEPTCONN, listening) || listening != 1) fail("does not listen");
}

Listener::Listener(Loop& loop, const ListenAddress& address, std::function<void()> on_ready)
    : loop_(loop), on_ready_(std::move(on_ready)) {
    if (address.inherited >= 0) {
        check_listening(address.inherited);
        fd_ = address.inherited;
        ::listen(fd_, address.backlog);  // it listens already: this sets the queue's length alone
    } else {
        fd_ = bind_at_startup(address);
    }
    poll_ = new uv_poll_t;
    const int failed = uv_poll_init(loop.raw(), poll_, fd_);
    if (failed != 0) {
        delete std::exchange(poll_, nullptr);
        ::close(std::exchange(fd_, -1));
        throw listen_error(address, failed);
    }
    poll_->data = this;
    start_polling();
}

Listener::~Listener() {
    close();
}

int Listener::port() const {
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    if (fd_ < 0 || getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &length) != 0) return -1;
    return ntohs(bound.sin_port);
}

int Listener::accept() {
    if (fd_ < 0 || lacks_resources_) return -1;
    for (int aborted = 0; aborted < kMaxAborted; ++aborted) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) return fd;
        const int error = errno;
        if (error == EAGAIN) return -1;
        if (!is_connection_error(error)) {
            back_off(error);
            return -1;
        }
        thread_local log::RateLimitedLogger logger;
        if (error != EINTR)
            logger.warn("listener: connection not accepted error={}", base::describe_error(error));
    }
    return -1;
}

void Listener::back_off(int error) {
    thread_local log::RateLimitedLogger logger;
    logger.warn("listener: accept backs off error={}", base::describe_error(error));
    lacks_resources_ = true;
    uv_poll_stop(poll_);
    loop_.timers().schedule(loop_.clock().now() + kAcceptBackoff,
                            [this, alive = std::weak_ptr<bool>(alive_)] {
                                if (alive.expired() || fd_ < 0) return;
                                lacks_resources_ = false;
                                if (!paused_) start_polling();
                            });
}

bool Listener::has_waiting() const {
    pollfd listening{.fd = fd_, .events = POLLIN, .revents = 0};
    return fd_ >= 0 && ::poll(&listening, 1, 0) == 1 && (listening.revents & POLLIN) != 0;
}

int Listener::waiting() const {
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool known = fd_ >= 0 && getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return known ? static_cast<int>(info.tcpi_unacked) : 0;  // for a listener: the length of its queue
}

void Listener::pause() {
    if (fd_ < 0 || paused_) return;
    paused_ = true;
    uv_poll_stop(poll_);
}

void Listener::resume() {
    if (fd_ < 0 || !paused_) return;
    paused_ = false;
    if (!lacks_resources_) start_polling();
}

void Listener::start_polling() {
    uv_poll_start(poll_, UV_READABLE, [](uv_poll_t* handle, int, int) {
        auto* self = static_cast<Listener*>(handle->data);
        if (!self) return;
        guarded_call("listener", self->on_ready_);
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
