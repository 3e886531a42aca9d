#include "cli/admin_client.h"

#include <fmt/format.h>
#include <http_parser.h>

#include "config/config.h"
#include "net/stream.h"

namespace sumackeel::cli {

namespace {

constexpr base::Micros kTimeout = 5'000'000;
constexpr std::size_t kMaxResponseBytes = 16 << 20;

struct AdminClient : net::Stream::Handler {
    net::Loop& loop;
    std::string request;
    http_parser parser{};
    http_parser_settings settings{};
    AdminResponse response;
    bool complete = false;

    AdminClient(net::Loop& l, std::string r) : loop(l), request(std::move(r)) {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_settings_init(&settings);
        settings.on_body = [](http_parser* p, const char* at, std::size_t length) {
            auto* self = static_cast<AdminClient*>(p->data);
            self->response.body.append(at, length);
            return self->response.body.size() > kMaxResponseBytes ? 1 : 0;
        };
        settings.on_message_complete = [](http_parser* p) {
            auto* self = static_cast<AdminClient*>(p->data);
            self->response.status = static_cast<int>(p->status_code);
            self->complete = true;
            return 0;
        };
    }
    void on_open(net::Stream& stream) override { stream.write(request); }
    void on_data(net::Stream& stream, std::string_view bytes) override {
        http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
        if (!complete && HTTP_PARSER_ERRNO(&parser) == HPE_OK) return;
        stream.close();
        loop.stop();
    }
    void on_close(net::Stream&, net::DisconnectCause) override {
        http_parser_execute(&parser, &settings, nullptr, 0);
        loop.stop();
    }
};

}  // namespace

AdminResponse call_admin_api(const std::string& address, const std::string& method, const std::string& path,
                             const std::string& body) {
    sockaddr_in to{};
    if (!net::parse_address(address, to)) throw config::ConfigError("no address of a proxy: " + address);
    net::Loop loop;
    net::SocketBudget budget(4);
    AdminClient client(loop, fmt::format("{} {} HTTP/1.1\r\nHost: ops\r\nContent-Length: {}\r\n\r\n{}",
                                         method, path, body.size(), body));
    if (!net::Stream::connect(loop, budget, to, client))
        throw config::ConfigError("no connection to " + address);
    loop.timers().schedule(loop.clock().now() + kTimeout, [&loop] { loop.stop(); });
    loop.run();
    if (!client.complete) throw config::ConfigError(address + " does not answer");
    return std::move(client.response);
}

void throw_agreed_log_disabled(const std::string& address) {
    throw config::ConfigError(address + " agrees on nothing: [agreed] is off there");
}

}  // namespace sumackeel::cli
