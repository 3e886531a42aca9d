#include "signed_url_server/signed_url_server.h"

#include <http_parser.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/log.h"
#include "base/resident_memory.h"

namespace sumackeel::signed_url_server {

using base::Handle;
using base::Micros;
using core::ResponseStatus;

namespace {

constexpr std::size_t kMaxHeadBytes = 24 * 1024;
constexpr int kMaxHeadFields = 100;            // each takes more memory than its bytes
constexpr std::size_t kHeadFieldMemory = 128;  // bytes, beside those of its name and value
constexpr std::size_t kMaxBodyBytes = 48'000;
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;  // of requests sent before earlier ones are answered
constexpr Micros kRequestTimeout = 15'000'000;         // to receive a complete request

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

const char* reason_phrase(int status) {
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

// The tag of a header value with a single entity tag, without quotes; empty for any other value.
std::string parse_entity_tag(std::string_view value) {
    if (value.starts_with("W/")) value.remove_prefix(2);
    if (value.size() < 3 || value.size() > 66 || value.front() != '"' || value.back() != '"') return {};
    value = value.substr(1, value.size() - 2);
    const bool alphanumeric =
        std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isalnum(c); });
    return alphanumeric ? std::string(value) : std::string{};
}

// Prefer: wait=SECONDS (RFC 7240).
Micros parse_preferred_wait(std::string_view value, Micros default_wait) {
    const auto at = value.find("wait=");
    double seconds = 0;
    if (at == std::string_view::npos) return default_wait;
    const auto read = std::from_chars(value.data() + at + 5, value.data() + value.size(), seconds);
    if (read.ec != std::errc{} || !(seconds > 0)) return default_wait;
    return std::min(default_wait, static_cast<Micros>(std::min(seconds, 3600.0) * 1e6));
}

}  // namespace

struct SignedUrlServer::Client : net::ClientConnection {
    SignedUrlServer& server;
    http_parser parser{};
    std::string unparsed;  // unparsed bytes, after the request in progress
    std::string url, name, value, body;
    std::map<std::string, std::string> headers;
    std::size_t head_bytes = 0;
    int head_fields = 0;
    bool reading_value = false;     // of a header field, which may be empty
    base::Micros last_byte_at = 0;  // when bytes last arrived
    int limit_status = 0;           // the status if the request exceeds a limit
    bool busy = false, request_complete = false, keep_alive = true, has_received_request = false;
    Handle entry, core_request;
    base::MemoryCharge partial_memory;

    explicit Client(SignedUrlServer& owner)
        : server(owner), partial_memory(owner.loop_.memory(), base::MemoryHolder::partial_requests) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    static const http_parser_settings& parser_settings() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) { return self(p).reset_request(); };
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                return self(p).append_head(self(p).url, at, n);
            };
            s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
                if (self(p).reading_value) self(p).finish_header();
                if (self(p).name.empty() && ++self(p).head_fields > kMaxHeadFields)
                    return self(p).limit_status = 431, -1;
                return self(p).append_head(self(p).name, at, n);
            };
            s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
                self(p).reading_value = true;
                return self(p).append_head(self(p).value, at, n);
            };
            s.on_headers_complete = [](http_parser* p) { return self(p).finish_head(); };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                return self(p).append_body(at, n);
            };
            s.on_message_complete = [](http_parser* p) {
                self(p).request_complete = true;
                self(p).keep_alive = http_should_keep_alive(p) != 0;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }
    static Client& self(http_parser* parser) { return *static_cast<Client*>(parser->data); }

    int reset_request() {
        url.clear(), name.clear(), value.clear(), body.clear(), headers.clear();
        head_bytes = 0, head_fields = 0, limit_status = 0;
        reading_value = false;
        return 0;
    }
    int append_head(std::string& into, const char* at, std::size_t length) {
        if ((head_bytes += length) > kMaxHeadBytes) return limit_status = 431, -1;
        into.append(at, length);
        return 0;
    }
    // Of a repeated header only the first value counts, so that a second Host or token is never used.
    void finish_header() {
        if (!name.empty()) headers.emplace(to_lower(name), value);
        name.clear(), value.clear();
        reading_value = false;
    }
    // A body of known length is stored without growing step by step, which leaves gaps in the heap.
    int finish_head() {
        finish_header();
        if (parser.content_length <= kMaxBodyBytes) body.reserve(parser.content_length);
        return 0;
    }
    int append_body(const char* at, std::size_t length) {
        if (body.size() + length > kMaxBodyBytes) return limit_status = 413, -1;
        body.append(at, length);
        return 0;
    }

    void on_data(net::Stream&, std::string_view bytes) override {
        last_byte_at = received_at();
        if (peer_has_left()) return server.connection_manager_.close(*this);
        unparsed += bytes;
        const net::Progress progress = process_input();
        if (server.connection_manager_.drain().rejects_new_requests(server.loop_.clock().now()))
            server.set_drain_deadline(*this);
        update_state(progress);
    }
    void on_request_timeout() override {
        if (!busy && parser.nread > 0)
            server.write(*this, server.make_problem(408, "the request did not come whole in time"), true);
    }
    bool exceeds_pipeline_limit() const { return unparsed.size() > kMaxPipelinedBytes; }
    void on_write_drained(net::Stream&) override { update_state(net::Progress::response_read); }

    // Parses one request; further bytes are parsed once its response is written.
    net::Progress process_input() {
        auto progress = net::Progress::none;
        while (stream() && !busy && !unparsed.empty()) {
            const std::size_t read =
                http_parser_execute(&parser, &parser_settings(), unparsed.data(), unparsed.size());
            const auto error = HTTP_PARSER_ERRNO(&parser);
            if (error != HPE_OK && error != HPE_PAUSED) {
                keep_alive = false;
                server.send_problem(*this, limit_status ? limit_status : 400, "the request can't be read");
                return progress;
            }
            unparsed.erase(0, read);
            if (unparsed.empty()) base::release(unparsed);
            if (!request_complete) return progress;
            request_complete = false;
            progress = net::Progress::request_complete;
            http_parser_pause(&parser, 0);
            busy = has_received_request = true;
            server.handle_request(*this);
        }
        return progress;
    }

    void update_state(net::Progress progress = net::Progress::none) {
        if (!stream()) return;
        partial_memory.set(unparsed.capacity() + url.capacity() + base::memory_of(body) + 2 * head_bytes +
                           static_cast<std::size_t>(head_fields) * kHeadFieldMemory);
        const bool partial = parser.nread > 0 || !unparsed.empty();
        const bool has_room = !partial || server.connection_manager_.may_read_partial_request(*this);
        stream()->pause(exceeds_pipeline_limit() || !has_room);
        const net::ConnectionState state = busy                           ? net::ConnectionState::processing
                                           : stream()->unsent_bytes() > 0 ? net::ConnectionState::flushing
                                           : !has_received_request ? net::ConnectionState::awaiting_request
                                           : parser.nread > 0 || !unparsed.empty()
                                               ? net::ConnectionState::receiving
                                               : net::ConnectionState::idle;
        server.connection_manager_.set_state(*this, state, progress);
    }
    void on_room() override { update_state(); }
    std::size_t partial_request_bytes() const override { return partial_memory.bytes(); }
    void on_closed() override {
        server.open_requests_.remove(entry);
        server.core_.cancel(core_request);
        base::release(unparsed);
        base::release(body);
        headers.clear();
        partial_memory.set(0);
    }
};

SignedUrlServer::SignedUrlServer(net::Loop& loop, core::Core& core, const config::Site& site,
                                 const config::SignedUrlServer& server_config, core::OneTimeTokens* one_time,
                                 std::uint64_t seed, LiveSettings live)
    : loop_(loop),
      core_(core),
      site_(site),
      config_(server_config),
      live_(std::move(live)),
      verifier_(std::make_unique<LinkVerifier>(config_, live_)),
      one_time_(one_time),
      ids_(seed ^ 0x5eed5eed5eed5eedULL),
      connection_manager_(loop, server_config.listen, server_config.connections,
                          {.request = kRequestTimeout, .idle = kRequestTimeout, .write = kRequestTimeout},
                          [this] { return std::make_unique<Client>(*this); }) {}

void SignedUrlServer::update_config(const config::SignedUrlServer& server_config) {
    config_ = server_config;
    verifier_ = std::make_unique<LinkVerifier>(config_, live_);
    connection_manager_.set_max_connections(server_config.connections);
}

double SignedUrlServer::now_s() const {
    return static_cast<double>(loop_.clock().unix_now().micros) / 1e6;
}

int SignedUrlServer::retry_after() const {
    const auto live = live_ ? live_("setting/retry_after_s") : std::nullopt;
    int seconds = 0;
    if (live) std::from_chars(live->data(), live->data() + live->size(), seconds);
    return seconds >= 1 && seconds <= 3600 ? seconds : config_.retry_after_s;
}

// Empty: the request is valid. Otherwise the error's detail, with `status` set.
std::string SignedUrlServer::decode_request(const Client& client, const Target& target,
                                            core::Request& request, int& status) const {
    const auto found_class = std::find(site_.classes.begin(), site_.classes.end(), target.service);
    if (found_class == site_.classes.end()) return status = 404, "no such class";
    request.class_index = static_cast<int>(found_class - site_.classes.begin());
    const routing::ClassSettings& service = site_.settings.classes[request.class_index];
    const auto method = static_cast<http_method>(client.parser.method);
    if (method != (service.uncacheable ? HTTP_POST : HTTP_GET)) return status = 405, "not by this method";
    if (!service.uncacheable && !client.body.empty()) return status = 400, "a read has no body";
    // Danger: without a purge group, a purge would miss the cached copy.
    if (!service.uncacheable && target.group < 0) return status = 400, "set is missing";
    const auto header = [&](const char* name) {
        const auto found = client.headers.find(name);
        return found == client.headers.end() ? std::string{} : found->second;
    };
    request.class_name = target.service;
    request.object = target.object;
    request.part = target.part;
    request.purge_group = std::max(0, target.group);
    request.size_kb = target.size_kb;
    request.received_at = client.last_byte_at;
    request.time_left = parse_preferred_wait(header("prefer"), service.deadline);
    if (!service.uncacheable) request.client_etag = parse_entity_tag(header("if-none-match"));
    if (service.retry_safety == routing::RetrySafety::with_idempotency_key) {
        request.idempotency_key = parse_entity_tag(header("idempotency-key"));
        if (request.idempotency_key.empty())
            return status = 400, "Idempotency-Key is missing or can't be used";
    }
    return {};
}

void SignedUrlServer::handle_request(Client& client) {
    if (connection_manager_.drain().rejects_new_requests(loop_.clock().now()))
        return send_problem(client, 503, "this proxy sends its clients away, nothing ran");
    const auto host = client.headers.find("host");
    Target target;
    if (host == client.headers.end() || to_lower(host->second) != to_lower(config_.host) ||
        !parse_target(client.url, target))
        return send_problem(client, 404, "nothing is served here under this name");
    core::Request request;
    int status = 0;
    if (const std::string error = decode_request(client, target, request, status); !error.empty())
        return send_problem(client, status, error);
    request.body = std::move(client.body);
    std::string bearer;
    if (const auto found = client.headers.find("authorization"); found != client.headers.end())
        if (to_lower(found->second.substr(0, 7)) == "bearer ") bearer = found->second.substr(7);
    const bool has_side_effects = site_.settings.classes[request.class_index].uncacheable;
    const LinkCheck check = verifier_->check(target, bearer, has_side_effects, now_s());
    if (check.status != 0) return send_problem(client, check.status, check.reason);
    request.id = fmt::format("{:016x}", ids_());
    client.entry = open_requests_.add({client.id(), {}});
    if (check.one_time_id.empty()) return submit(client.entry, std::move(request));
    if (!one_time_) return on_token_use(client.entry, std::move(request), core::TokenUse::unknown);
    open_requests_.find(client.entry)->one_time_id = check.one_time_id;
    one_time_->redeem(check.one_time_id, now_s(), check.one_time_expires_at,
                      [this, entry = client.entry, request = std::move(request),
                       alive = std::weak_ptr<bool>(alive_)](core::TokenUse use) mutable {
                          if (alive.expired()) return;
                          on_token_use(entry, std::move(request), use);
                      });
}

void SignedUrlServer::on_token_use(Handle entry, core::Request request, core::TokenUse use) {
    const OpenRequest* open = open_requests_.find(entry);
    if (!open) return;  // the client has disconnected; the link stays used
    if (use == core::TokenUse::first) return submit(entry, std::move(request));
    Client& client = static_cast<Client&>(*connection_manager_.find(open->client));
    open_requests_.remove(entry);
    client.entry = {};
    if (use == core::TokenUse::reused)
        return send_problem(client, 403, "the link was for one use and has been used");
    send_problem(client, 503, "whether the link has been used can't be told now");
}

void SignedUrlServer::submit(Handle entry, core::Request request) {
    Client& client = static_cast<Client&>(*connection_manager_.find(open_requests_.find(entry)->client));
    if (core_.open_requests() >= static_cast<std::size_t>(std::max(1, site_.settings.max_in_flight)) ||
        request.received_at + request.time_left <= loop_.clock().now())
        return on_response(entry.number(), {.status = ResponseStatus::rejected});
    if (!loop_.memory().admits(core_.memory_needed(request), client.stream()->write_memory()))
        return on_response(entry.number(), {.status = ResponseStatus::rejected});
    client.core_request = core_.submit(std::move(request), *this, entry.number());
    if (client.exceeds_pipeline_limit() ||
        connection_manager_.drain().rejects_new_requests(loop_.clock().now()))
        set_drain_deadline(client);
}

// During a drain, gives a request that has others pipelined after it the drain's response deadline, so that
// it does not keep its connection open for longer.
void SignedUrlServer::set_drain_deadline(Client& client) {
    if (!connection_manager_.drain().is_active() || !client.busy || client.unparsed.empty()) return;
    core_.set_response_deadline(client.core_request,
                                connection_manager_.drain().response_deadline(loop_.clock().now()));
}

void SignedUrlServer::set_draining(bool on, const admin::DrainSchedule& drain) {
    const bool changed = connection_manager_.drain().is_active() != drain.is_active();
    connection_manager_.set_drain(drain);
    connection_manager_.set_draining(on);
    if (!changed) return;
    for_each_busy_client([&](Client& client) {
        if (drain.is_active() && client.exceeds_pipeline_limit()) set_drain_deadline(client);
        if (!drain.is_active()) core_.set_response_deadline(client.core_request, std::nullopt);
    });
    if (drain.is_active()) schedule_drain_deadlines();
}

// Requests that were pipelined before new ones are rejected may be followed by no further bytes.
void SignedUrlServer::schedule_drain_deadlines() {
    const Micros rejects_at = *connection_manager_.drain().rejects_at();
    loop_.timers().schedule(rejects_at, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired() || !connection_manager_.drain().rejects_new_requests(loop_.clock().now())) return;
        for_each_busy_client([this](Client& client) { set_drain_deadline(client); });
    });
}

void SignedUrlServer::for_each_busy_client(const std::function<void(Client&)>& handle) {
    open_requests_.for_each([&](Handle, const OpenRequest& open) {
        if (auto* client = static_cast<Client*>(connection_manager_.find(open.client))) handle(*client);
    });
}

// Whether the connection closes after this response, which then carries Connection: close. During a drain,
// pipelined requests are answered first, until the drain's closing stage.
bool SignedUrlServer::is_last(const Client& client) const {
    if (!client.keep_alive || shutting_down_) return true;
    if (!connection_manager_.drain().is_active()) return false;
    if (connection_manager_.drain().stage(loop_.clock().now()) >= admin::DrainStage::closing) return true;
    return client.unparsed.empty() && !client.stream()->has_unread_data();
}

void SignedUrlServer::on_response(std::uint64_t cookie, core::Response response) {
    const Handle entry = Handle::of(cookie);
    const OpenRequest* open = open_requests_.find(entry);
    if (!open) return;
    auto* found = static_cast<Client*>(connection_manager_.find(open->client));
    if (response.status == ResponseStatus::rejected && !open->one_time_id.empty())
        one_time_->release(open->one_time_id);
    open_requests_.remove(entry);
    if (!found) return;
    Client& client = *found;
    client.entry = client.core_request = {};
    const std::string etag = response.etag.empty() ? "" : "ETag: \"" + response.etag + "\"\r\n";
    switch (response.status) {
        case ResponseStatus::served:
            return send_response(
                client, {200, "Content-Type: application/octet-stream\r\n" + etag, std::move(response.body)});
        case ResponseStatus::not_modified:
            return send_response(client, {304, etag, {}});
        case ResponseStatus::rejected: {
            const auto advised_s = static_cast<int>((response.retry_after + 999'999) / 1'000'000);
            const int retry_after_s = response.retry_after > 0 ? advised_s : retry_after();
            return send_response(
                client,
                {503,
                 fmt::format("Retry-After: {}\r\nContent-Type: application/problem+json\r\n", retry_after_s),
                 R"({"status":503,"title":"Service Unavailable","detail":"refused, nothing ran"})"});
        }
        case ResponseStatus::deadline_exceeded:
            return send_problem(client, 504, "no answer came in time");
        case ResponseStatus::failed:
            return send_problem(client, 502, "the request failed");
    }
}

// Details are texts of this program, so they need no JSON escapes.
void SignedUrlServer::send_problem(Client& client, int status, const std::string& detail) {
    send_response(client, make_problem(status, detail));
}

SignedUrlServer::HttpResponse SignedUrlServer::make_problem(int status, const std::string& detail) const {
    std::string headers = "Content-Type: application/problem+json\r\n";
    if (status == 401) headers += "WWW-Authenticate: Bearer error=\"invalid_token\"\r\n";
    if (status == 405) headers += "Allow: GET, POST\r\n";
    if (status == 503) headers += fmt::format("Retry-After: {}\r\n", retry_after());
    return {
        status, headers,
        fmt::format(R"({{"status":{},"title":"{}","detail":"{}"}})", status, reason_phrase(status), detail)};
}

void SignedUrlServer::write(Client& client, HttpResponse response, bool last) {
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n{}", response.status, reason_phrase(response.status),
                                   response.headers);
    if (response.status != 304) text += fmt::format("Content-Length: {}\r\n", response.body.size());
    text += "Cache-Control: private\r\n";
    text += last ? "Connection: close\r\n\r\n" : "\r\n";
    client.stream()->write(std::move(response.body.insert(0, text)));
}

void SignedUrlServer::send_response(Client& client, HttpResponse response) {
    if (!client.stream()) return;
    const bool last = is_last(client);
    write(client, std::move(response), last);
    client.busy = false;
    if (last)
        return connection_manager_.close(client, connection_manager_.drain().is_active()
                                                     ? net::CloseReason::drain
                                                     : net::CloseReason::protocol);
    client.update_state();
    // Pipelined requests are processed from a timer, as responses may arrive while the core is processing.
    if (!client.unparsed.empty())
        loop_.timers().schedule(loop_.clock().now(), [this, client_id = client.id()] {
            auto* found = static_cast<Client*>(connection_manager_.find(client_id));
            if (!found) return;
            const net::Progress progress = found->process_input();
            found->update_state(progress);
            core_.process_events();
        });
}

}  // namespace sumackeel::signed_url_server
