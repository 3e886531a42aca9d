// Watches the change logs: server-sent events over HTTP, for as long as the process runs.
#pragma once

#include <http_parser.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/log.h"
#include "config/config.h"
#include "endpoints/watch_sources.h"
#include "net/stream.h"

namespace sumackeel::discovery {

// Invalid data from a change log; its connection is closed.
class StreamError : public std::runtime_error {
  public:
    enum class Code {
        line_too_long,
        event_too_long,
        bad_response  // no HTTP response with an event stream
    };
    StreamError(Code code, const char* text) : std::runtime_error(text), code_(code) {}
    Code code() const { return code_; }

  private:
    Code code_;
};

// Parses an event stream and reports each event's data, in all forms of the standard: lines end with CR LF,
// LF or CR, and a byte order mark may come first.
class EventStreamReader {
  public:
    explicit EventStreamReader(std::function<void(const std::string&)> on_data)
        : on_data_(std::move(on_data)) {}
    void append(std::string_view bytes);  // throws StreamError

  private:
    void on_line(std::string_view text);

    std::function<void(const std::string&)> on_data_;
    std::string line_, data_;
    bool has_data_ = false;
    bool ended_by_cr_ = false;  // an LF that follows at once belongs to the same line end
    bool first_line_ = true;    // the next line is the first, which may begin with a byte order mark
};

// Follows one change log, or several with the same events, as endpoints::WatchSources decides.
class DiscoveryWatch {
  public:
    // `log`: the index in the list of addresses; -1: passed in through apply().
    using OnChange = std::function<void(const config::WatchEvent&, int log)>;
    // A proven source has sent data, so the endpoint list is current. Called for each such read.
    using OnConfirmed = std::function<void()>;
    // An event whose number is known already. `is_other_proven`: another source is known to be current.
    using OnKnownNumber = std::function<void(const config::WatchEvent&, bool is_other_proven)>;
    struct Callbacks {
        OnChange on_change;
        OnConfirmed on_confirmed = {};
        OnKnownNumber on_known_number = {};
        // The only change log has less than is known. The callee calls begin_numbering().
        std::function<void()> on_short_answer = {};
    };

    DiscoveryWatch(net::Loop& loop, net::SocketBudget& budget, std::vector<std::string> addresses,
                   const config::Site& site, std::int64_t last_seq, endpoints::WatchOptions options,
                   std::uint64_t seed, Callbacks callbacks);
    ~DiscoveryWatch();
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

    // Replaces the addresses of the change logs; the sequence numbers continue. Calls to one that stays are
    // kept.
    void set_addresses(std::vector<std::string> addresses);
    // The change logs number their events from 1 again: all of them are asked for all that they have.
    void begin_numbering();
    // Passes the event on unless it is already known.
    void apply(const config::WatchEvent& change) { apply(change, -1); }
    // Events up to `seq` are known from elsewhere.
    void skip_through(std::int64_t seq);
    std::int64_t last_seq() const { return last_seq_; }

  private:
    struct Connection;
    void update();
    void carry_out(const endpoints::WatchSources::Step& step);
    void connect(const endpoints::WatchSources::Step& step);
    void log_call(const endpoints::WatchSources::Step& step);
    void close(base::CallId call);
    void on_answer(const Connection& connection);
    void on_disconnected(const Connection& connection, const char* reason);
    void on_event(const Connection& connection, const std::string& data);
    void reconnect_all();
    bool is_current(const Connection& connection) const;
    void apply(const config::WatchEvent& change, int log);

    net::Loop& loop_;
    net::SocketBudget& budget_;
    const config::Site& site_;
    std::int64_t last_seq_;
    Callbacks callbacks_;
    base::Micros response_timeout_;  // of the options
    endpoints::WatchSources sources_;
    std::map<base::CallId, std::unique_ptr<Connection>> connections_;
    std::vector<std::unique_ptr<Connection>>
        closed_;  // destroyed at the end of the iteration: one of them may be running
    std::vector<std::string> addresses_;
    std::optional<base::TimerQueue::Key> update_timer_;
    bool updating_ = false;
    log::RateLimitedLogger call_log_, answer_log_;
};

}  // namespace sumackeel::discovery
