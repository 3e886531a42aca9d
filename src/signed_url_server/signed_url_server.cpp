#include "signed_url_server/signed_url_server.h"

#include <http_parser.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/log.h"

namespace sumackeel::signed_url_server {

using base::Handle;
using base::Micros;
using core::ResponseStatus;

namespace {

constexpr std::size_t kLongestHead = 24 * 1024;
constexpr std::size_t kLongestBody = 48'000;
constexpr std::size_t kMostAhead = 64 * 1024;   // of requests sent before the last was answered
constexpr Micros kRequestTimeout = 15'000'000;  // for a whole request to come

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

const char* title(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 304:
            return "Not Modified";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 431:
            return "Request Header Fields Too Large";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Bad Gateway";
    }
}

// The bare tag of an If-None-Match with one entity tag; empty for any other.
std::string bare_tag(std::string_view value) {
    if (value.starts_with("W/")) value.remove_prefix(2);
    if (value.size() < 3 || value.size() > 66 || value.front() != '"' || value.back() != '"') return {};
    value = value.substr(1, value.size() - 2);
    const bool plain =
        std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isalnum(c); });
    return plain ? std::string(value) : std::string{};
}

// Prefer: wait=SECONDS (RFC 7240).
Micros wanted_wait(std::string_view value, Micros otherwise) {
    const auto at = value.find("wait=");
    double seconds = 0;
    if (at == std::string_view::npos) return otherwise;
    const auto read = std::from_chars(value.data() + at + 5, value.data() + value.size(), seconds);
    if (read.ec != std::errc{} || !(seconds > 0)) return otherwise;
    return std::min(otherwise, static_cast<Micros>(std::min(seconds, 3600.0) * 1e6));
}

}  // namespace

struct SignedUrlServer::Client : net::ClientConnection {
    SignedUrlServer& front;
    http_parser parser{};
    std::string ahead;  // bytes behind the request that is being answered
    std::string url, name, value, body;
    std::map<std::string, std::string> headers;
    std::size_t head = 0;
    base::Micros came = 0;  // when the last bytes arrived
    int too_much = 0;       // the status for a request that is over a limit
    bool busy = false, whole = false, keep = true, has_received_request = false;
    Handle ours, cores;

    explicit Client(SignedUrlServer& owner) : front(owner) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    static const http_parser_settings& calls() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) { return self(p).begin(); };
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                return self(p).add(self(p).url, at, n);
            };
            s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
                if (!self(p).value.empty()) self(p).header();
                return self(p).add(self(p).name, at, n);
            };
            s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
                return self(p).add(self(p).value, at, n);
            };
            s.on_headers_complete = [](http_parser* p) { return self(p).header(), 0; };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) { return self(p).add_body(at, n); };
            s.on_message_complete = [](http_parser* p) {
                self(p).whole = true;
                self(p).keep = http_should_keep_alive(p) != 0;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }
    static Client& self(http_parser* parser) { return *static_cast<Client*>(parser->data); }

    int begin() {
        url.clear(), name.clear(), value.clear(), body.clear(), headers.clear();
        head = 0, too_much = 0;
        return 0;
    }
    int add(std::string& into, const char* at, std::size_t length) {
        if ((head += length) > kLongestHead) return too_much = 431, -1;
        into.append(at, length);
        return 0;
    }
    // A header that comes twice counts once, as what it said first: no second Host or token slips in.
    void header() {
        if (!name.empty()) headers.emplace(lower(name), value);
        name.clear(), value.clear();
    }
    int add_body(const char* at, std::size_t length) {
        if (body.size() + length > kLongestBody) return too_much = 413, -1;
        body.append(at, length);
        return 0;
    }

    void on_data(net::Stream&, std::string_view bytes) override {
        came = received_at();
        if (peer_has_left()) return front.connection_manager_.close(*this);
        ahead += bytes;
        work();
        if (front.connection_manager_.drain().rejects_new_requests(front.loop_.clock().now()))
            front.hurry(*this);
        update_state();
    }
    void on_request_timeout() override {
        if (!busy && parser.nread > 0)
            front.write(*this, front.problem_of(408, "the request did not come whole in time"), true);
    }
    bool too_far_ahead() const { return ahead.size() > kMostAhead; }
    void on_write_drained(net::Stream&) override { update_state(true); }

    // Parses up to the end of one request; the rest waits until that is answered.
    void work() {
        while (stream() && !busy && !ahead.empty()) {
            const std::size_t read = http_parser_execute(&parser, &calls(), ahead.data(), ahead.size());
            const auto fault = HTTP_PARSER_ERRNO(&parser);
            if (fault != HPE_OK && fault != HPE_PAUSED) {
                keep = false;
                return front.problem(*this, too_much ? too_much : 400, "the request can't be read");
            }
            ahead.erase(0, read);
            if (!whole) return;
            whole = false;
            http_parser_pause(&parser, 0);
            busy = has_received_request = true;
            front.asked(*this);
        }
    }

    void update_state(bool has_read = false) {
        if (!stream()) return;
        stream()->pause(too_far_ahead());
        const net::ConnectionState doing = busy                           ? net::ConnectionState::processing
                                           : stream()->unsent_bytes() > 0 ? net::ConnectionState::flushing
                                           : !has_received_request ? net::ConnectionState::awaiting_request
                                           : parser.nread > 0 || !ahead.empty()
                                               ? net::ConnectionState::receiving
                                               : net::ConnectionState::idle;
        front.connection_manager_.set_state(*this, doing, has_read);
    }
    void on_closed() override {
        front.open_.remove(ours);
        front.core_.cancel(cores);
    }
};

SignedUrlServer::SignedUrlServer(net::Loop& loop, core::Core& core, const config::Site& site,
                                 const config::SignedUrlServer& setup, core::OneTimeTokens* one_time,
                                 std::uint64_t seed, LiveSettings live)
    : loop_(loop),
      core_(core),
      site_(site),
      setup_(setup),
      live_(std::move(live)),
      gate_(std::make_unique<LinkVerifier>(setup_, live_)),
      one_time_(one_time),
      ids_(seed ^ 0x5eed5eed5eed5eedULL),
      connection_manager_(loop, setup.listen, setup.connections,
                          {.request = kRequestTimeout, .idle = kRequestTimeout, .write = kRequestTimeout},
                          [this] { return std::make_unique<Client>(*this); }) {}

void SignedUrlServer::update_config(const config::SignedUrlServer& setup) {
    setup_ = setup;
    gate_ = std::make_unique<LinkVerifier>(setup_, live_);
    connection_manager_.set_max_connections(setup.connections);
}

double SignedUrlServer::now_s() const {
    return static_cast<double>(loop_.clock().unix_now().micros) / 1e6;
}

int SignedUrlServer::retry_after() const {
    const auto live = live_ ? live_("setting/retry_after_s") : std::nullopt;
    int seconds = 0;
    if (live) std::from_chars(live->data(), live->data() + live->size(), seconds);
    return seconds >= 1 && seconds <= 3600 ? seconds : setup_.retry_after_s;
}

// Empty: the request is sound; else what is wrong, with the status.
std::string SignedUrlServer::read_ask(const Client& client, const Target& target, core::Request& ask,
                                      int& status) const {
    const auto place = std::find(site_.classes.begin(), site_.classes.end(), target.service);
    if (place == site_.classes.end()) return status = 404, "no such class";
    ask.class_index = static_cast<int>(place - site_.classes.begin());
    const routing::ClassSettings& service = site_.settings.classes[ask.class_index];
    const auto method = static_cast<http_method>(client.parser.method);
    if (method != (service.uncacheable ? HTTP_POST : HTTP_GET)) return status = 405, "not by this method";
    if (!service.uncacheable && !client.body.empty()) return status = 400, "a read has no body";
    // Danger: without its group a copy could not be known for purged.
    if (!service.uncacheable && target.group < 0) return status = 400, "set is missing";
    const auto header = [&](const char* name) {
        const auto found = client.headers.find(name);
        return found == client.headers.end() ? std::string{} : found->second;
    };
    ask.class_name = target.service;
    ask.object = target.object;
    ask.part = target.part;
    ask.purge_group = std::max(0, target.group);
    ask.size_kb = target.size_kb;
    ask.received_at = client.came;
    ask.time_left = wanted_wait(header("prefer"), service.deadline);
    if (!service.uncacheable) ask.client_etag = bare_tag(header("if-none-match"));
    if (service.retry_safety == routing::RetrySafety::with_idempotency_key) {
        ask.idempotency_key = bare_tag(header("idempotency-key"));
        if (ask.idempotency_key.empty()) return status = 400, "Idempotency-Key is missing or can't be used";
    }
    ask.body = client.body;
    return {};
}

void SignedUrlServer::asked(Client& client) {
    if (connection_manager_.drain().rejects_new_requests(loop_.clock().now()))
        return problem(client, 503, "this proxy sends its clients away, nothing ran");
    const auto host = client.headers.find("host");
    Target target;
    if (host == client.headers.end() || lower(host->second) != lower(setup_.host) ||
        !parse_target(client.url, target))
        return problem(client, 404, "nothing is served here under this name");
    core::Request ask;
    int status = 0;
    if (const std::string fault = read_ask(client, target, ask, status); !fault.empty())
        return problem(client, status, fault);
    std::string bearer;
    if (const auto found = client.headers.find("authorization"); found != client.headers.end())
        if (lower(found->second.substr(0, 7)) == "bearer ") bearer = found->second.substr(7);
    const bool effect = site_.settings.classes[ask.class_index].uncacheable;
    const LinkCheck verdict = gate_->check(target, bearer, effect, now_s());
    if (verdict.status != 0) return problem(client, verdict.status, verdict.reason);
    ask.id = fmt::format("{:016x}", ids_());
    client.ours = open_.add({client.id(), {}});
    if (verdict.one_time_id.empty()) return enter(client.ours, std::move(ask));
    if (!one_time_) return once_known(client.ours, std::move(ask), core::TokenUse::unknown);
    open_.find(client.ours)->once = verdict.one_time_id;
    one_time_->redeem(verdict.one_time_id, now_s(), verdict.one_time_expires_at,
                      [this, ours = client.ours, ask = std::move(ask),
                       alive = std::weak_ptr<bool>(alive_)](core::TokenUse use) mutable {
                          if (alive.expired()) return;
                          once_known(ours, std::move(ask), use);
                      });
}

void SignedUrlServer::once_known(Handle ours, core::Request ask, core::TokenUse use) {
    const Open* open = open_.find(ours);
    if (!open) return;  // the client has left; the link counts as used
    if (use == core::TokenUse::first) return enter(ours, std::move(ask));
    Client& client = static_cast<Client&>(*connection_manager_.find(open->client));
    open_.remove(ours);
    client.ours = {};
    if (use == core::TokenUse::reused)
        return problem(client, 403, "the link was for one use and has been used");
    problem(client, 503, "whether the link has been used can't be told now");
}

void SignedUrlServer::enter(Handle ours, core::Request ask) {
    Client& client = static_cast<Client&>(*connection_manager_.find(open_.find(ours)->client));
    if (core_.open_requests() >= static_cast<std::size_t>(std::max(1, site_.settings.max_in_flight)) ||
        ask.received_at + ask.time_left <= loop_.clock().now())
        return on_response(ours.number(), {.status = ResponseStatus::rejected});
    client.cores = core_.submit(std::move(ask), *this, ours.number());
    if (client.too_far_ahead() || connection_manager_.drain().rejects_new_requests(loop_.clock().now()))
        hurry(client);
}

// During a drain what is open may not keep its connection beyond the drain's own time where further requests
// were sent behind it.
void SignedUrlServer::hurry(Client& client) {
    if (!connection_manager_.drain().is_active() || !client.busy || client.ahead.empty()) return;
    core_.set_response_deadline(client.cores,
                                connection_manager_.drain().response_deadline(loop_.clock().now()));
}

void SignedUrlServer::set_draining(bool on, const admin::DrainSchedule& drain) {
    const bool changed = connection_manager_.drain().is_active() != drain.is_active();
    connection_manager_.set_drain(drain);
    connection_manager_.set_draining(on);
    if (!changed) return;
    open_.for_each([&](Handle, const Open& open) {
        auto* client = static_cast<Client*>(connection_manager_.find(open.client));
        if (!client) return;
        if (drain.is_active() && client->too_far_ahead()) hurry(*client);
        if (!drain.is_active()) core_.set_response_deadline(client->cores, std::nullopt);
    });
}

// Whether the connection ends behind this answer, which then says so. During a drain requests that were sent
// ahead are answered first, for as long as the drain has time.
bool SignedUrlServer::is_last(const Client& client) const {
    if (!client.keep || leaving_) return true;
    if (!connection_manager_.drain().is_active()) return false;
    if (connection_manager_.drain().stage(loop_.clock().now()) >= admin::DrainStage::closing) return true;
    return client.ahead.empty() && !client.stream()->has_unread_data();
}

void SignedUrlServer::on_response(std::uint64_t cookie, core::Response reply_given) {
    const Handle ours = Handle::of(cookie);
    const Open* open = open_.find(ours);
    if (!open) return;
    auto* found = static_cast<Client*>(connection_manager_.find(open->client));
    if (reply_given.status == ResponseStatus::rejected && !open->once.empty()) one_time_->release(open->once);
    open_.remove(ours);
    if (!found) return;
    Client& client = *found;
    client.ours = client.cores = {};
    const std::string etag = reply_given.etag.empty() ? "" : "ETag: \"" + reply_given.etag + "\"\r\n";
    switch (reply_given.status) {
        case ResponseStatus::served:
            return reply(client, {200, "Content-Type: application/octet-stream\r\n" + etag,
                                  std::move(reply_given.body)});
        case ResponseStatus::not_modified:
            return reply(client, {304, etag, {}});
        case ResponseStatus::rejected: {
            const auto advised = static_cast<int>((reply_given.retry_after + 999'999) / 1'000'000);
            const int wait = reply_given.retry_after > 0 ? advised : retry_after();
            return reply(
                client,
                {503, fmt::format("Retry-After: {}\r\nContent-Type: application/problem+json\r\n", wait),
                 R"({"status":503,"title":"Service Unavailable","detail":"refused, nothing ran"})"});
        }
        case ResponseStatus::deadline_exceeded:
            return problem(client, 504, "no answer came in time");
        case ResponseStatus::failed:
            return problem(client, 502, "the request failed");
    }
}

// Details are words of this program's own, so they need no escapes.
void SignedUrlServer::problem(Client& client, int status, const std::string& detail) {
    reply(client, problem_of(status, detail));
}

SignedUrlServer::Answer SignedUrlServer::problem_of(int status, const std::string& detail) const {
    std::string headers = "Content-Type: application/problem+json\r\n";
    if (status == 401) headers += "WWW-Authenticate: Bearer error=\"invalid_token\"\r\n";
    if (status == 405) headers += "Allow: GET, POST\r\n";
    if (status == 503) headers += fmt::format("Retry-After: {}\r\n", retry_after());
    return {status, headers,
            fmt::format(R"({{"status":{},"title":"{}","detail":"{}"}})", status, title(status), detail)};
}

void SignedUrlServer::write(Client& client, const Answer& answer, bool last) {
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n{}", answer.status, title(answer.status), answer.headers);
    if (answer.status != 304) text += fmt::format("Content-Length: {}\r\n", answer.body.size());
    text += "Cache-Control: private\r\n";
    text += last ? "Connection: close\r\n\r\n" : "\r\n";
    client.stream()->write(text + answer.body);
}

void SignedUrlServer::reply(Client& client, const Answer& answer) {
    if (!client.stream()) return;
    const bool last = is_last(client);
    write(client, answer, last);
    client.busy = false;
    if (last)
        return connection_manager_.close(client, connection_manager_.drain().is_active()
                                                     ? net::CloseReason::drain
                                                     : net::CloseReason::protocol);
    client.update_state();
    // What was sent ahead is taken up from the loop: answers may come in the middle of the core's work.
    if (!client.ahead.empty())
        loop_.timers().schedule(loop_.clock().now(), [this, number = client.id()] {
            auto* found = static_cast<Client*>(connection_manager_.find(number));
            if (!found) return;
            found->work();
            found->update_state();
            core_.process_events();
        });
}

}  // namespace sumackeel::signed_url_server
