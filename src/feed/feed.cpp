#include "feed/feed.h"

#include <json/json.h>

#include <stdexcept>

#include "base/log.h"

namespace sumackeel::feed {

namespace {

constexpr std::size_t kLongestEvent = 4 << 20;
constexpr base::Micros kAgainAfter = 100'000;
constexpr base::Micros kSilence = 2'500'000;    // a comment comes each second
constexpr base::Micros kConnectIn = 1'000'000;  // until the first byte of an answer
constexpr base::Micros kWatch = 250'000;

}  // namespace

void EventReader::add(std::string_view bytes) {
    for (const char c : bytes) {
        if (c == '\r') continue;
        if (c != '\n') {
            if (line_.size() >= kLongestEvent)
                throw std::runtime_error("the change log sends a line without end");
            line_ += c;
            continue;
        }
        line(line_);
        line_.clear();
    }
}

void EventReader::line(std::string_view text) {
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
        throw std::runtime_error("the change log sends too long an event");
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
}

Feed::Feed(net::Loop& loop, net::Budget& budget, std::string address, const config::Site& site,
           std::int64_t last_seq, OnChange on_change)
    : loop_(loop),
      budget_(budget),
      address_(std::move(address)),
      site_(site),
      last_seq_(last_seq),
      on_change_(std::move(on_change)),
      reader_([this](const std::string& data) { event(data); }) {
    http_parser_settings_init(&calls_);
    calls_.on_headers_complete = [](http_parser* parser) {
        return parser->status_code == 200 ? 0 : -1;  // any other answer ends the connection
    };
    calls_.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        try {
            static_cast<Feed*>(parser->data)->reader_.add({at, length});
        } catch (const std::exception& wrong) {
            log::warn("change log: {}", wrong.what());
            return -1;
        }
        return 0;
    };
    connect();
    watch();
}

Feed::~Feed() {
    drop();
}

void Feed::connect() {
    next_try_.reset();
    sockaddr_in to{};
    started_ = loop_.clock().now();
    heard_ = 0;
    if (net::read_address(address_, to)) stream_ = net::Stream::connect(loop_, budget_, to, *this);
    if (!stream_) again();
}

void Feed::again() {
    if (!next_try_)
        next_try_ = loop_.deadlines().set(loop_.clock().now() + kAgainAfter, [this] { connect(); });
}

void Feed::drop() {
    if (stream_) stream_->close();
    stream_ = nullptr;
}

// The old place tells nothing more, and what the new one has to tell counts as told soon: asked at once.
void Feed::move_to(std::string address) {
    if (address == address_) return;
    address_ = std::move(address);
    log::info("change log moved to {}, taken up behind {}", address_, last_seq_);
    drop();
    if (next_try_) loop_.deadlines().drop(*next_try_);
    connect();
}

void Feed::opened(net::Stream& stream) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    reader_ = EventReader([this](const std::string& data) { event(data); });
    stream.write("GET /changes HTTP/1.1\r\nHost: " + address_ +
                 "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last_seq_) + "\r\n\r\n");
}

void Feed::received(net::Stream&, std::string_view bytes) {
    heard_ = loop_.clock().now();
    const std::size_t read = http_parser_execute(&parser_, &calls_, bytes.data(), bytes.size());
    if (read != bytes.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
        throw std::runtime_error("the change log's answer can't be read");
}

void Feed::gone(net::Stream&, net::Gone) {
    stream_ = nullptr;
    again();
}

// A connection that says nothing is as good as none: a missed change counts as told all the same.
void Feed::watch() {
    const base::Micros now = loop_.clock().now();
    const base::Micros limit = heard_ > 0 ? heard_ + kSilence : started_ + kConnectIn;
    if (stream_ && now > limit) {
        log::warn("change log silent, connecting anew");
        drop();
        again();
    }
    loop_.deadlines().set(now + kWatch, [this] { watch(); });
}

// Danger: a broken event that ended the connection would come again with each new one, and nothing behind it
// would ever be heard.
void Feed::event(const std::string& data) {
    config::Change change;
    try {
        change = config::read_change(config::parse(data, "change log"), site_);
    } catch (const config::ConfigError& wrong) {
        return log::error("an event passed over: {}", wrong.what());
    }
    heard(change);
}

void Feed::heard(const config::Change& change) {
    if (change.seq <= last_seq_) return;
    on_change_(change);
    last_seq_ = change.seq;
}

}  // namespace sumackeel::feed
