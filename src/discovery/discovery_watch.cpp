#include "discovery/discovery_watch.h"

#include <json/json.h>

#include <stdexcept>

#include "base/log.h"

namespace sumackeel::discovery {

namespace {

constexpr std::size_t kMaxEventSize = 4 << 20;
constexpr base::Micros kMaxUpdateInterval = 250'000;
// Numberings that began anew are added up.
constexpr std::int64_t kMaxSequence = std::int64_t{1} << 48;

}  // namespace

void EventStreamReader::append(std::string_view bytes) {
    for (const char c : bytes) {
        if (c == '\n' && std::exchange(ended_by_cr_, false)) continue;
        ended_by_cr_ = c == '\r';
        if (c != '\n' && c != '\r') {
            if (line_.size() >= kMaxEventSize)
                throw StreamError(StreamError::Code::line_too_long,
                                  "the change log sends a line without end");
            line_ += c;
            continue;
        }
        on_line(line_);
        line_.clear();
    }
}

void EventStreamReader::on_line(std::string_view text) {
    constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
    if (std::exchange(first_line_, false) && text.starts_with(kByteOrderMark))
        text.remove_prefix(kByteOrderMark.size());
    if (text.empty()) {
        std::string data;
        data.swap(data_);
        if (std::exchange(has_data_, false)) on_data_(data);
        return;
    }
    if (text.front() == ':') return;
    const auto colon = std::min(text.find(':'), text.size());
    std::string_view value = text.substr(std::min(colon + 1, text.size()));
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (text.substr(0, colon) != "data") return;
    if (data_.size() + value.size() > kMaxEventSize)
        throw StreamError(StreamError::Code::event_too_long, "the change log sends too long an event");
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
}

// One connection to one change log.
struct DiscoveryWatch::Connection : net::Stream::Handler {
    DiscoveryWatch& watch;
    const std::size_t source;
    const std::int64_t after_seq;
    net::Stream* stream = nullptr;
    http_parser parser{};
    http_parser_settings parser_settings{};
    EventStreamReader reader;
    bool streaming = false;  // the response has status 200, and its body is the event stream

    Connection(DiscoveryWatch& owner, std::size_t source_index, std::int64_t from)
        : watch(owner),
          source(source_index),
          after_seq(from),
          reader([this](const std::string& data) { watch.on_event(*this, data); }) {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_settings_init(&parser_settings);
        parser_settings.on_headers_complete = [](http_parser* p) {
            static_cast<Connection*>(p->data)->streaming = p->status_code == 200;
            return p->status_code == 200 ? 0 : -1;  // any other response ends the connection
        };
        // If the event stream has ended but the connection stays open, it would otherwise count as silent
        // until its timeout.
        parser_settings.on_message_complete = [](http_parser*) { return -1; };
        parser_settings.on_body = [](http_parser* p, const char* at, std::size_t length) {
            try {
                static_cast<Connection*>(p->data)->reader.append({at, length});
            } catch (const std::exception& error) {
                log::warn("discovery: event stream failed error={}", error.what());
                return -1;
            }
            return 0;
        };
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() override {
        if (stream) stream->close();
    }

    void on_open(net::Stream& s) override {
        log::debug("discovery: call sent log={} after={}", watch.addresses_[source], after_seq);
        watch.sources_.on_connected(source, watch.loop_.clock().now());
        s.write("GET /changes HTTP/1.1\r\nHost: " + watch.addresses_[source] +
                "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(after_seq) + "\r\n\r\n");
    }

    void on_data(net::Stream&, std::string_view bytes) override {
        const std::size_t read = http_parser_execute(&parser, &parser_settings, bytes.data(), bytes.size());
        if (read != bytes.size() || HTTP_PARSER_ERRNO(&parser) != HPE_OK)
            throw StreamError(StreamError::Code::bad_response, "the change log's answer can't be read");
        if (!watch.is_current(*this)) return;  // an event has ended this connection
        const bool confirmed = streaming && watch.sources_.on_data(source, watch.loop_.clock().now());
        if (confirmed && watch.callbacks_.on_confirmed) watch.callbacks_.on_confirmed();
    }

    void on_close(net::Stream&, net::DisconnectCause cause) override {
        stream = nullptr;
        watch.on_disconnected(source, cause == net::DisconnectCause::connect_failed   ? "refused"
                                      : cause == net::DisconnectCause::closed_by_peer ? "closed"
                                                                                      : "broken");
    }
};

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, net::SocketBudget& budget, std::vector<std::string> addresses,
                               const config::Site& site, std::int64_t last_seq,
                               endpoints::WatchOptions options, std::uint64_t seed, Callbacks callbacks)
    : loop_(loop),
      budget_(budget),
      site_(site),
      last_seq_(last_seq),
      callbacks_(std::move(callbacks)),
      sources_(addresses.size(), options, seed),
      connections_(addresses.size()),
      addresses_(std::move(addresses)) {
    loop_.on_each_iteration([this] { closed_.clear(); });
    update();
}

DiscoveryWatch::~DiscoveryWatch() = default;

// Carries out the steps that WatchSources decides, and schedules the next call for when time alone may change
// them.
void DiscoveryWatch::update() {
    if (std::exchange(updating_, true)) return;
    const base::Micros now = loop_.clock().now();
    for (const auto& step : sources_.next_steps(now, last_seq_)) {
        if (step.kind == endpoints::WatchSources::Step::Kind::call) {
            connect(step.source, step.behind);
            continue;
        }
        if (step.kind == endpoints::WatchSources::Step::Kind::restart_numbering) {
            loop_.timers().schedule(now, [this] {
                if (callbacks_.on_short_answer) callbacks_.on_short_answer();
            });
            continue;
        }
        const std::string& reason = sources_.health()[step.source].last_fault;
        if (reason == "fell silent")
            log::warn("discovery: change log silent, reconnecting log={}", addresses_[step.source]);
        else if (reason == "response timeout")
            log::debug("discovery: call ended unanswered log={} failures={}", addresses_[step.source],
                       sources_.health()[step.source].failures);
        if (connections_[step.source]) closed_.push_back(std::move(connections_[step.source]));
    }
    updating_ = false;
    if (update_timer_) loop_.timers().cancel(*update_timer_);
    const base::Micros due = sources_.next_deadline().value_or(now + kMaxUpdateInterval);
    update_timer_ = loop_.timers().schedule(
        due > now ? std::min(due, now + kMaxUpdateInterval) : now + kMaxUpdateInterval, [this] {
            update_timer_.reset();
            update();
        });
}

void DiscoveryWatch::connect(std::size_t source, std::int64_t after_seq) {
    if (connections_[source]) closed_.push_back(std::move(connections_[source]));
    sockaddr_in to{};
    auto connection = std::make_unique<Connection>(*this, source, after_seq);
    if (net::parse_address(addresses_[source], to))
        connection->stream = net::Stream::connect(loop_, budget_, to, *connection);
    if (connection->stream)
        connections_[source] = std::move(connection);
    else
        sources_.on_disconnected(source, loop_.clock().now(), "no connection can be made");
}

void DiscoveryWatch::on_disconnected(std::size_t source, const char* reason) {
    if (connections_[source]) closed_.push_back(std::move(connections_[source]));
    sources_.on_disconnected(source, loop_.clock().now(), reason);
    update();
}

// Connections to the old addresses are dropped, and the new ones are connected to at once, since their events
// count as known soon.
void DiscoveryWatch::set_addresses(std::vector<std::string> addresses) {
    if (addresses == addresses_) return;
    addresses_ = std::move(addresses);
    reconnect_all();
    for (const std::string& address : addresses_)
        log::info("discovery: change log moved log={} sequence={}", address, last_seq_);
    update();
}

void DiscoveryWatch::reconnect_all() {
    for (auto& connection : connections_)
        if (connection) closed_.push_back(std::move(connection));
    connections_.clear();
    connections_.resize(addresses_.size());
    sources_.replace(addresses_.size());
}

void DiscoveryWatch::begin_numbering() {
    last_seq_ = 0;
    reconnect_all();
    sources_.restart_numbering();
    update();
}

// What a change log has sent so far may have been another numbering's.
void DiscoveryWatch::skip_through(std::int64_t seq) {
    if (seq <= last_seq_) return;
    last_seq_ = seq;
    reconnect_all();
    update();
}

// An invalid event is skipped: if it ended the connection it would be sent again on each new one, and no
// later event would ever be received.
void DiscoveryWatch::on_event(const Connection& connection, const std::string& data) {
    if (!is_current(connection)) return;
    const std::size_t source = connection.source;
    config::WatchEvent change;
    try {
        change = config::parse_watch_event(config::parse(data, "change log"), site_);
    } catch (const config::ConfigError& error) {
        return log::error("discovery: event skipped error={}", error.what());
    }
    if (change.sequence > kMaxSequence)
        return log::error("discovery: event skipped error=number too high sequence={}", change.sequence);
    using EventResult = endpoints::WatchSources::EventResult;
    const EventResult result = sources_.on_event(source, change.sequence, last_seq_, loop_.clock().now());
    if (result == EventResult::regressed)
        log::warn("discovery: sequence regressed log={} sequence={} newest={}", addresses_[source],
                  change.sequence, sources_.health()[source].highest_on_connection);
    if (result == EventResult::apply) return apply(change, static_cast<int>(source));
    if (callbacks_.on_known_number) callbacks_.on_known_number(change, sources_.is_other_proven(source));
}

bool DiscoveryWatch::is_current(const Connection& connection) const {
    return connection.source < connections_.size() && connections_[connection.source].get() == &connection;
}

void DiscoveryWatch::apply(const config::WatchEvent& change, int log) {
    if (change.sequence <= last_seq_) return;
    last_seq_ = change.sequence;
    callbacks_.on_change(change, log);
}

}  // namespace sumackeel::discovery
