#include "discovery/discovery_watch.h"

#include <json/json.h>

#include <algorithm>
#include <stdexcept>

#include "base/log.h"

namespace sumackeel::discovery {

using Step = endpoints::WatchSources::Step;

namespace {

constexpr std::size_t kMaxEventSize = 4 << 20;
constexpr base::Micros kMaxUpdateInterval = 250'000;
// Numberings that began anew are added up.
constexpr std::int64_t kMaxSequence = std::int64_t{1} << 48;
// With fewer free sockets, fewer calls wait beside one another.
constexpr int kMinFreeSockets = 16;

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

// One call to one change log, on a connection of its own.
struct DiscoveryWatch::Connection : net::Stream::Handler {
    DiscoveryWatch& watch;
    std::size_t source;  // changes when the list of addresses does
    const base::CallId call;
    const std::int64_t after_seq;
    net::Stream* stream = nullptr;
    http_parser parser{};
    http_parser_settings parser_settings{};
    EventStreamReader reader;
    bool streaming = false;     // the response has status 200, and its body is the event stream
    bool stream_begun = false;  // bytes of it were received

    Connection(DiscoveryWatch& owner, const endpoints::WatchSources::Step& step)
        : watch(owner),
          source(step.source),
          call(step.call),
          after_seq(step.behind),
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
            auto& connection = *static_cast<Connection*>(p->data);
            connection.stream_begun = true;
            try {
                connection.reader.append({at, length});
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
        if (!watch.is_current(*this)) return;
        log::debug("discovery: call sent log={} after={}", watch.addresses_[source], after_seq);
        watch.sources_.on_connected(source, call, watch.loop_.clock().now());
        s.write("GET /changes HTTP/1.1\r\nHost: " + watch.addresses_[source] +
                "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(after_seq) + "\r\n\r\n");
    }

    void on_data(net::Stream&, std::string_view bytes) override {
        const bool had_head = streaming;
        const std::size_t read = http_parser_execute(&parser, &parser_settings, bytes.data(), bytes.size());
        if (read != bytes.size() || HTTP_PARSER_ERRNO(&parser) != HPE_OK)
            throw StreamError(StreamError::Code::bad_response, "the change log's answer can't be read");
        if (!watch.is_current(*this)) return;  // an event has ended this connection
        const base::Micros now = watch.loop_.clock().now();
        if (streaming && !had_head && !stream_begun) watch.sources_.on_head(source, call, now);
        const bool confirmed = stream_begun && watch.sources_.on_data(source, call, now);
        if (watch.sources_.has_superseded_calls()) watch.on_answer(*this);
        if (confirmed && watch.callbacks_.on_confirmed) watch.callbacks_.on_confirmed();
    }

    void on_close(net::Stream&, net::DisconnectCause cause) override {
        stream = nullptr;
        watch.on_disconnected(*this, cause == net::DisconnectCause::connect_failed   ? "refused"
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
      response_timeout_(options.response_timeout),
      sources_(addresses.size(), options, seed),
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
    const bool sockets_short = budget_.available() < kMinFreeSockets;
    sources_.limit_pending(sockets_short ? base::PendingCalls::kMinPending : base::PendingCalls::kMaxPending);
    for (const auto& step : sources_.next_steps(now, last_seq_)) carry_out(step);
    updating_ = false;
    if (update_timer_) loop_.timers().cancel(*update_timer_);
    const base::Micros due = sources_.next_deadline().value_or(now + kMaxUpdateInterval);
    update_timer_ = loop_.timers().schedule(
        due > now ? std::min(due, now + kMaxUpdateInterval) : now + kMaxUpdateInterval, [this] {
            update_timer_.reset();
            update();
        });
}

void DiscoveryWatch::carry_out(const Step& step) {
    switch (step.kind) {
        case Step::Kind::call:
            return connect(step);
        case Step::Kind::drop:
            return close(step.call);
        case Step::Kind::restart_numbering:
            loop_.timers().schedule(loop_.clock().now(), [this] {
                if (callbacks_.on_short_answer) callbacks_.on_short_answer();
            });
    }
}

void DiscoveryWatch::connect(const Step& step) {
    log_call(step);
    sockaddr_in to{};
    auto connection = std::make_unique<Connection>(*this, step);
    if (net::parse_address(addresses_[step.source], to))
        connection->stream = net::Stream::connect(loop_, budget_, to, *connection);
    if (connection->stream)
        connections_[step.call] = std::move(connection);
    else
        sources_.on_disconnected(step.source, step.call, loop_.clock().now(), "no connection can be made");
}

void DiscoveryWatch::log_call(const Step& step) {
    const endpoints::WatchSources::Health& health = sources_.health()[step.source];
    const std::string& address = addresses_[step.source];
    const std::size_t pending = sources_.pending_count(step.source);
    const base::Micros waited = sources_.longest_pending(step.source, loop_.clock().now());
    log::debug("discovery: call log={} behind={} calls={} pending={} longest_ms={} given_up={} last_fault={}",
               address, step.behind, health.calls, pending, waited / 1000, health.given_up,
               health.last_fault);
    if (health.state == endpoints::WatchSources::State::silent && pending == 1)
        call_log_.warn("discovery: change log silent, calling again log={}", address);
    if (health.state != endpoints::WatchSources::State::silent && pending == 2)
        call_log_.warn("discovery: change log does not answer, calling again log={} waited_ms={}", address,
                       waited / 1000);
}

void DiscoveryWatch::close(base::CallId call) {
    const auto found = connections_.find(call);
    if (found == connections_.end()) return;
    closed_.push_back(std::move(found->second));
    connections_.erase(found);
}

// Others were open beside this call.
void DiscoveryWatch::on_answer(const Connection& connection) {
    const base::Micros waited = sources_.health()[connection.source].response_time;
    if (waited > response_timeout_)
        answer_log_.warn("discovery: change log answered late log={} after_ms={}",
                         addresses_[connection.source], waited / 1000);
    update();
}

void DiscoveryWatch::on_disconnected(const Connection& connection, const char* reason) {
    if (!is_current(connection)) return;
    const std::size_t source = connection.source;
    const base::CallId call = connection.call;
    close(call);
    sources_.on_disconnected(source, call, loop_.clock().now(), reason);
    update();
}

// The new addresses are called at once, since their events count as known soon.
void DiscoveryWatch::set_addresses(std::vector<std::string> addresses) {
    if (addresses == addresses_) return;
    std::vector<std::optional<std::size_t>> kept(addresses.size());
    std::map<std::size_t, std::size_t> moved;  // from the index in the old list to that in the new one
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto found = std::find(addresses_.begin(), addresses_.end(), addresses[i]);
        const auto old_index = static_cast<std::size_t>(found - addresses_.begin());
        if (found != addresses_.end() && moved.emplace(old_index, i).second)
            kept[i] = old_index;
        else
            log::info("discovery: change log moved log={} sequence={}", addresses[i], last_seq_);
    }
    for (auto at = connections_.begin(); at != connections_.end();) {
        const auto current = at++;
        const auto place = moved.find(current->second->source);
        if (place == moved.end())
            close(current->first);
        else
            current->second->source = place->second;
    }
    addresses_ = std::move(addresses);
    sources_.replace(kept);
    update();
}

void DiscoveryWatch::reconnect_all() {
    while (!connections_.empty()) close(connections_.begin()->first);
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
    const EventResult result =
        sources_.on_event(source, connection.call, change.sequence, last_seq_, loop_.clock().now());
    if (result == EventResult::regressed)
        log::warn("discovery: sequence regressed log={} sequence={} newest={}", addresses_[source],
                  change.sequence, sources_.health()[source].highest_on_connection);
    if (result == EventResult::apply) return apply(change, static_cast<int>(source));
    if (callbacks_.on_known_number) callbacks_.on_known_number(change, sources_.is_other_proven(source));
}

bool DiscoveryWatch::is_current(const Connection& connection) const {
    const auto found = connections_.find(connection.call);
    return found != connections_.end() && found->second.get() == &connection;
}

void DiscoveryWatch::apply(const config::WatchEvent& change, int log) {
    if (change.sequence <= last_seq_) return;
    last_seq_ = change.sequence;
    callbacks_.on_change(change, log);
}

}  // namespace sumackeel::discovery
