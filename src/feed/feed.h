// The change log: server-sent events over HTTP, followed for as long as the program runs.
#pragma once

#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "net/stream.h"

namespace sumackeel::feed {

// Takes the bytes of an event stream and gives each event's data.
class EventReader {
  public:
    explicit EventReader(std::function<void(const std::string&)> on_data) : on_data_(std::move(on_data)) {}
    void add(std::string_view bytes);  // throws std::runtime_error on a line without end

  private:
    void line(std::string_view text);

    std::function<void(const std::string&)> on_data_;
    std::string line_, data_;
    bool has_data_ = false;
};

class Feed : net::Stream::Owner {
  public:
    using OnChange = std::function<void(const config::Change&)>;

    Feed(net::Loop& loop, net::Budget& budget, std::string address, const config::Site& site,
         std::int64_t last_seq, OnChange on_change);
    ~Feed() override;

    base::Micros heard_at() const { return heard_; }
    // From now on the change log is at this address; its numbers carry on.
    void move_to(std::string address);
    void heard(const config::Change& change);  // passed on unless it was heard before

  private:
    void opened(net::Stream& stream) override;
    void received(net::Stream& stream, std::string_view bytes) override;
    void gone(net::Stream& stream, net::Gone how) override;
    void connect();
    void drop();
    void again();
    void event(const std::string& data);
    void watch();

    net::Loop& loop_;
    net::Budget& budget_;
    std::string address_;
    const config::Site& site_;
    std::int64_t last_seq_;
    OnChange on_change_;
    net::Stream* stream_ = nullptr;
    http_parser parser_{};
    http_parser_settings calls_{};
    EventReader reader_;
    base::Micros heard_ = 0;    // the last byte
    base::Micros started_ = 0;  // of the present connection
    std::optional<base::Deadlines::Key> next_try_;
};

}  // namespace sumackeel::feed
