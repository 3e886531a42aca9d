#include "admin_server/admin_server.h"

#include <fmt/format.h>
#include <http_parser.h>

namespace sumackeel::admin_server {

namespace {

// Each answer is due within 1 s; a caller that has not sent its call whole by then never will.
constexpr base::Micros kRequestTimeout = 1'000'000;
// Silent callers in front of one do not hold it up for longer than this, which leaves time for its answer.
constexpr base::Micros kQueue = 400'000;
constexpr int kBacklog = 4096;

net::ListenAddress place_of(const std::string& listen) {
    net::ListenAddress place(listen);
    place.backlog = kBacklog;
    return place;
}

const char* title(int status) {
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

std::string written(const admin::ApiReply& reply) {
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
        reply.status, title(reply.status), reply.body.size(), reply.body);
}

}  // namespace

struct AdminServer::Caller : net::ClientConnection {
    AdminServer& front;
    http_parser parser{};
    std::string url, body;
    std::size_t read = 0;
    bool whole = false, answered = false;

    explicit Caller(AdminServer& owner) : front(owner) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    static const http_parser_settings& calls() {
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
                static_cast<Caller*>(p->data)->whole = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    void on_data(net::Stream& stream, std::string_view bytes) override {
        if (answered) return;  // one call a connection: what follows it is not read
        if ((read += bytes.size()) > front.longest_call_)
            return answer(stream, {431, "the call is too long\n"});
        http_parser_execute(&parser, &calls(), bytes.data(), bytes.size());
        const auto fault = HTTP_PARSER_ERRNO(&parser);
        if (fault != HPE_OK && fault != HPE_PAUSED) return answer(stream, {400, "the call can't be read\n"});
        if (!whole) return front.connection_manager_.set_state(*this, net::ConnectionState::receiving);
        const admin::ApiCall call{http_method_str(static_cast<http_method>(parser.method)), url, body};
        answered = true;
        front.connection_manager_.set_state(
            *this, net::ConnectionState::processing);  // no longer one to let go for room
        const auto reply = front.taker_(call, [owner = &front, me = id()](const admin::ApiReply& late) {
            auto* caller = static_cast<Caller*>(owner->connection_manager_.find(me));
            if (caller && caller->stream()) caller->answer(*caller->stream(), late);
        });
        if (reply) answer(stream, *reply);
    }

    void answer(net::Stream& stream, const admin::ApiReply& reply) {
        answered = true;
        stream.write(written(reply));
        front.connection_manager_.close(*this);
    }

    void on_closed() override {}
};

AdminServer::AdminServer(net::Loop& loop, const std::string& listen, CallHandler taker,
                         std::size_t longest_call)
    : taker_(std::move(taker)),
      longest_call_(longest_call),
      connection_manager_(loop, place_of(listen), kMaxConnections,
                          {.request = kRequestTimeout,
                           .idle = kRequestTimeout,
                           .write = kRequestTimeout,
                           .accept_queue = kQueue},
                          [this] { return std::make_unique<Caller>(*this); }) {}

}  // namespace sumackeel::admin_server
