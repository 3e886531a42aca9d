#include "discovery/discovery_watch.h"

#include <json/json.h>

#include <stdexcept>

#include "base/log.h"

namespace sumackeel::discovery {

namespace {

constexpr std::size_t kLongestEvent = 4 << 20;
constexpr base::Micros kWatch = 250'000;

}  // namespace

void EventStreamReader::append(std::string_view bytes) {
    for (const char c : bytes) {
        if (c == '\n' && std::exchange(ended_by_cr_, false)) continue;
        ended_by_cr_ = c == '\r';
        if (c != '\n' && c != '\r') {
            if (line_.size() >= kLongestEvent)
                throw StreamError(StreamError::Code::line_too_long,
                                  "the change log sends a line without end");
            line_ += c;
            continue;
        }
        line(line_);
        line_.clear();
    }
}

void EventStreamReader::line(std::string_view text) {
    constexpr std::string_view kMark = "\xEF\xBB\xBF";
    if (std::exchange(first_, false) && text.starts_with(kMark)) text.remove_prefix(kMark.size());
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
    if (data_.size() + value.size() > kLongestEvent)
        throw StreamError(StreamError::Code::event_too_long, "the change log sends too long an event");
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
}

// One connection to one change log.
struct DiscoveryWatch::Line : net::Stream::Handler {
    DiscoveryWatch& feed;
    const std::size_t source;
    const std::int64_t behind;
    net::Stream* stream = nullptr;
    http_parser parser{};
    http_parser_settings calls{};
    EventStreamReader reader;
    bool answered = false;  // with 200: what comes now is its stream of events

    Line(DiscoveryWatch& owner, std::size_t place, std::int64_t from)
        : feed(owner),
          source(place),
          behind(from),
          reader([this](const std::string& data) { feed.event(source, data); }) {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_settings_init(&calls);
        calls.on_headers_complete = [](http_parser* p) {
            static_cast<Line*>(p->data)->answered = p->status_code == 200;
            return p->status_code == 200 ? 0 : -1;  // any other answer ends the connection
        };
        // A stream of events that is over on a connection that stays open would be waited on as if it were
        // silent.
        calls.on_message_complete = [](http_parser*) { return -1; };
        calls.on_body = [](http_parser* p, const char* at, std::size_t length) {
            try {
                static_cast<Line*>(p->data)->reader.append({at, length});
            } catch (const std::exception& wrong) {
                log::warn("change log: {}", wrong.what());
                return -1;
            }
            return 0;
        };
    }
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line() override {
        if (stream) stream->close();
    }

    void on_open(net::Stream& s) override {
        feed.sources_.on_connected(source, feed.loop_.clock().now());
        s.write("GET /changes HTTP/1.1\r\nHost: " + feed.addresses_[source] +
                "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(behind) + "\r\n\r\n");
    }

    void on_data(net::Stream&, std::string_view bytes) override {
        const std::size_t read = http_parser_execute(&parser, &calls, bytes.data(), bytes.size());
        if (read != bytes.size() || HTTP_PARSER_ERRNO(&parser) != HPE_OK)
            throw StreamError(StreamError::Code::bad_response, "the change log's answer can't be read");
        const bool sure = answered && feed.sources_.on_data(source, feed.loop_.clock().now());
        if (sure && feed.on_sure_) feed.on_sure_();
    }

    void on_close(net::Stream&, net::DisconnectCause how) override {
        stream = nullptr;
        feed.lost(source, how == net::DisconnectCause::connect_failed   ? "refused"
                          : how == net::DisconnectCause::closed_by_peer ? "closed"
                                                                        : "broken");
    }
};

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, net::SocketBudget& budget, std::vector<std::string> addresses,
                               const config::Site& site, std::int64_t last_seq,
                               endpoints::WatchOptions options, std::uint64_t seed, OnChange on_change,
                               OnConfirmed on_sure)
    : loop_(loop),
      budget_(budget),
      site_(site),
      last_seq_(last_seq),
      on_change_(std::move(on_change)),
      on_sure_(std::move(on_sure)),
      sources_(addresses.size(), options, seed),
      lines_(addresses.size()),
      addresses_(std::move(addresses)) {
    loop_.on_each_iteration([this] { dead_.clear(); });
    drive();
}

DiscoveryWatch::~DiscoveryWatch() = default;

// Carries out what the decisions say, and comes back when time alone may change them.
void DiscoveryWatch::drive() {
    if (std::exchange(driving_, true)) return;
    const base::Micros now = loop_.clock().now();
    for (const auto& step : sources_.next_steps(now, last_seq_)) {
        if (step.kind == endpoints::WatchSources::Step::Kind::call) {
            call(step.source, step.behind);
            continue;
        }
        const std::string& why = sources_.health()[step.source].last_fault;
        if (why == "fell silent") log::warn("change log {} silent, connecting anew", addresses_[step.source]);
        if (lines_[step.source]) dead_.push_back(std::move(lines_[step.source]));
    }
    driving_ = false;
    if (next_look_) loop_.timers().cancel(*next_look_);
    const base::Micros due = sources_.next_deadline().value_or(now + kWatch);
    next_look_ = loop_.timers().schedule(due > now ? std::min(due, now + kWatch) : now + kWatch, [this] {
        next_look_.reset();
        drive();
    });
}

void DiscoveryWatch::call(std::size_t source, std::int64_t behind) {
    if (lines_[source]) dead_.push_back(std::move(lines_[source]));
    sockaddr_in to{};
    auto line = std::make_unique<Line>(*this, source, behind);
    if (net::parse_address(addresses_[source], to))
        line->stream = net::Stream::connect(loop_, budget_, to, *line);
    if (line->stream)
        lines_[source] = std::move(line);
    else
        sources_.on_disconnected(source, loop_.clock().now(), "no connection can be made");
}

void DiscoveryWatch::lost(std::size_t source, const char* why) {
    if (lines_[source]) dead_.push_back(std::move(lines_[source]));
    sources_.on_disconnected(source, loop_.clock().now(), why);
    drive();
}

// The old places tell nothing more, and what the new ones have to tell counts as told soon: asked at once.
void DiscoveryWatch::set_addresses(std::vector<std::string> addresses) {
    if (addresses == addresses_) return;
    addresses_ = std::move(addresses);
    for (auto& line : lines_)
        if (line) dead_.push_back(std::move(line));
    lines_.clear();
    lines_.resize(addresses_.size());
    sources_.replace(addresses_.size());
    for (const std::string& address : addresses_)
        log::info("change log moved to {}, taken up behind {}", address, last_seq_);
    drive();
}

// Danger: a broken event that ended the connection would come again with each new one, and nothing behind it
// would ever be heard.
void DiscoveryWatch::event(std::size_t source, const std::string& data) {
    config::WatchEvent change;
    try {
        change = config::parse_watch_event(config::parse(data, "change log"), site_);
    } catch (const config::ConfigError& wrong) {
        return log::error("an event passed over: {}", wrong.what());
    }
    using Took = endpoints::WatchSources::EventResult;
    const Took took = sources_.on_event(source, change.sequence, last_seq_, loop_.clock().now());
    if (took == Took::regressed)
        log::warn("discovery: sequence regressed log={} sequence={} newest={}", addresses_[source],
                  change.sequence, sources_.health()[source].highest_on_connection);
    if (took == Took::apply) apply(change, static_cast<int>(source));
}

void DiscoveryWatch::apply(const config::WatchEvent& change, int log) {
    if (change.sequence <= last_seq_) return;
    last_seq_ = change.sequence;
    on_change_(change, log);
}

}  // namespace sumackeel::discovery
