#include "admin_server/admin_server.h"

#include <fmt/format.h>
#include <http_parser.h>

namespace sumackeel::admin_server {

namespace {

// A call has to be answered within 1 s, so one that is incomplete by then is dropped, and one that was not
// read by then has no effect: its caller has given up.
constexpr base::Micros kRequestTimeout = 1'000'000;
// The time for which idle connections can delay a call that waits in the accept queue. It leaves enough of
// the second for the reply.
constexpr base::Micros kAcceptQueueTimeout = 400'000;
constexpr int kBacklog = 4096;

net::ListenAddress listen_address(const std::string& listen) {
    net::ListenAddress address(listen);
    address.backlog = kBacklog;
    return address;
}

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 431:
            return "Request Header Fields Too Large";
        case 503:
            return "Service Unavailable";
        default:
            return "Error";
    }
}

std::string serialize(const admin::ApiReply& reply) {
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
        reply.status, reason_phrase(reply.status), reply.body.size(), reply.body);
}

}  // namespace

struct AdminServer::Caller : net::ClientConnection {
    AdminServer& server;
    http_parser parser{};
    std::string url, body;
    std::size_t received_bytes = 0;
    base::MemoryCharge partial_memory;
    bool complete = false, answered = false;

    explicit Caller(AdminServer& owner)
        : server(owner),
          partial_memory(owner.connection_manager_.memory(), base::MemoryHolder::partial_requests) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    static const http_parser_settings& parser_settings() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                static_cast<Caller*>(p->data)->url.append(at, n);
                return 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                static_cast<Caller*>(p->data)->body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                static_cast<Caller*>(p->data)->complete = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    void on_data(net::Stream& stream, std::string_view bytes) override {
        if (answered) return;  // one call per connection: later bytes are ignored
        const base::Micros arrived_at = received_at();
        if ((received_bytes += bytes.size()) > server.max_call_bytes_)
            return send_reply(stream, {431, "the call is too long\n"});
        http_parser_execute(&parser, &parser_settings(), bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&parser);
        if (error != HPE_OK && error != HPE_PAUSED)
            return send_reply(stream, {400, "the call can't be read\n"});
        partial_memory.set(url.capacity() + body.capacity());
        if (!complete) return server.connection_manager_.set_state(*this, net::ConnectionState::receiving);
        const admin::ApiCall call{http_method_str(static_cast<http_method>(parser.method)), url, body,
                                  arrived_at};
        if (has_given_up(arrived_at) && parser.method != HTTP_GET)
            return send_reply(stream, {503, "the call was read too late and has no effect, call again\n"});
        answered = true;
        server.connection_manager_.set_state(
            *this, net::ConnectionState::processing);  // so that it is not evicted to make room
        const auto reply = server.handler_(
            call, [owner = &server, connection_id = id()](const admin::ApiReply& deferred_reply) {
                auto* caller = static_cast<Caller*>(owner->connection_manager_.find(connection_id));
                if (caller && caller->stream()) caller->send_reply(*caller->stream(), deferred_reply);
            });
        if (reply) send_reply(stream, *reply);
    }

    bool has_given_up(base::Micros arrived_at) const {
        return peer_has_left() || server.loop_.clock().now() >= arrived_at + kRequestTimeout;
    }

    void send_reply(net::Stream& stream, const admin::ApiReply& reply) {
        answered = true;
        stream.write(serialize(reply));
        server.connection_manager_.close(*this);
    }

    void on_closed() override {}
};

AdminServer::AdminServer(net::Loop& loop, const std::string& listen, CallHandler handler,
                         std::size_t max_call_bytes)
    : loop_(loop),
      handler_(std::move(handler)),
      max_call_bytes_(max_call_bytes),
      connection_manager_(loop, listen_address(listen), kMaxConnections,
                          {.request = kRequestTimeout,
                           .idle = kRequestTimeout,
                           .write = kRequestTimeout,
                           .accept_queue = kAcceptQueueTimeout},
                          [this] { return std::make_unique<Caller>(*this); }) {}

}  // namespace sumackeel::admin_server
