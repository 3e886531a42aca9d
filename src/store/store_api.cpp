#include "store/store_api.h"

#include <algorithm>
#include <utility>

#include "base/json_line.h"
#include "base/log.h"
#include "base/resident_memory.h"
#include "config/config.h"

namespace sumackeel::store {

namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxLineBytes = 256 * 1024;  // fits a key and a value of maximum size with JSON escapes
constexpr base::Micros kIdleTimeout = 30'000'000;  // a connection without requests is closed after this
constexpr base::Micros kHandlingBudget = 10'000;   // us in an iteration of the loop, for all connections
constexpr std::size_t kMaxOpenRequests = 64;       // per connection, without a response
constexpr std::size_t kMaxUnsentMemory = 1 << 20;  // per connection; one more response may exceed it

}  // namespace

struct StoreApi::Connection : net::Stream::Handler, std::enable_shared_from_this<Connection> {
    StoreApi& api;
    net::Stream* stream = nullptr;
    std::string buffer;            // received bytes
    std::size_t handled = 0;       // of them, at the front
    bool awaits_room = false;      // to read more
    bool kept_waiting = false;     // bytes may be unread since reading was paused
    base::Micros received_at = 0;  // when the last of the bytes in `buffer` arrived
    std::size_t open_requests = 0;
    bool queued = false;
    base::Micros last_active_at = 0;
    base::MemoryCharge memory;

    explicit Connection(StoreApi& owner)
        : api(owner),
          last_active_at(owner.loop_.clock().now()),
          memory(owner.loop_.memory(), base::MemoryHolder::other) {}
    void on_data(net::Stream&, std::string_view bytes) override {
        drop_handled();
        buffer += bytes;
        last_active_at = api.loop_.clock().now();
        received_at = last_active_at - (kept_waiting ? 0 : stream->time_since_last_byte());
        kept_waiting = kept_waiting && stream->has_unread_data();
        update();
    }
    void on_write_drained(net::Stream&) override { update(); }
    // Queues the connection if it has a request that may be handled now, and pauses reading if it has many.
    void update() {
        memory.set(buffer.capacity());
        const bool full = buffer.size() - handled > kMaxLineBytes;
        if (stream && full && !has_line()) return close();
        awaits_room = unhandled() && !api.loop_.memory().has_room_for_partial_requests();
        kept_waiting = kept_waiting || full || awaits_room;
        if (stream) stream->pause(full || awaits_room);
        if (may_handle_request()) api.enqueue(*this);
    }
    bool unhandled() const { return handled < buffer.size(); }
    bool has_line() const { return buffer.find('\n', handled) != std::string::npos; }
    // Once for many lines, as all that is behind them moves.
    void drop_handled() {
        if (handled < buffer.size() / 2) return;
        buffer.erase(0, std::exchange(handled, 0));
        if (buffer.empty()) base::release(buffer);
    }
    // The requests of a client that has closed the connection are handled too.
    bool may_handle_request() const {
        const bool responses_unread = stream && stream->write_memory() > kMaxUnsentMemory;
        return !responses_unread && open_requests < kMaxOpenRequests && has_line();
    }
    void handle_request() {
        const std::size_t end = buffer.find('\n', handled);
        const std::string line = buffer.substr(handled, end - handled);
        handled = end + 1;
        drop_handled();
        ++open_requests;
        on_line(line);
    }
    void on_line(const std::string& line) {
        const auto respond = [connection =
                                  std::weak_ptr<Connection>(shared_from_this())](const Json::Value& value) {
            if (const auto open_connection = connection.lock()) open_connection->respond(value);
        };
        try {
            const Json::Value value = config::parse(line, "store");
            if (!value.isObject()) throw config::ConfigError("no object");
            api.handle_request_(value, received_at, respond);
        } catch (const std::exception& error) {
            Json::Value rejection;
            rejection["refused"] = error.what();
            respond(rejection);
        }
    }
    void respond(const Json::Value& value) {
        if (open_requests > 0) --open_requests;
        if (stream) stream->write(base::to_json_line(value));
        update();
    }
    void on_close(net::Stream&, net::DisconnectCause) override {
        stream = nullptr;
        update();
        api.remove(*this);
    }
    // Its requests that were not handled yet are dropped: nothing of them ran, and nobody hears their
    // responses.
    void close() {
        base::release(buffer);
        handled = 0;
        memory.set(0);
        if (auto* open = std::exchange(stream, nullptr)) open->close();
        api.remove(*this);
    }
};

StoreApi::StoreApi(net::Loop& loop, net::SocketBudget& budget, const std::string& listen,
                   RequestHandler handle_request)
    : loop_(loop),
      budget_(budget),
      handle_request_(std::move(handle_request)),
      listener_(loop, listen, [this] {
          const int fd = listener_.accept();
          if (fd < 0) return;
          // If the maximum is reached, the connection that has been idle longest is closed.
          if (connections_.size() >= kMaxConnections)
              (*std::min_element(connections_.begin(), connections_.end(), [](const auto& a, const auto& b) {
                  return a->last_active_at < b->last_active_at;
              }))->close();
          auto connection = std::make_shared<Connection>(*this);
          connection->stream = net::Stream::adopt(loop_, budget_, fd, *connection);
          if (!connection->stream) return;
          connections_.push_back(connection);
          loop_.timers().schedule(
              loop_.clock().now() + kIdleTimeout, [connection = std::weak_ptr<Connection>(connection), this,
                                                   alive = std::weak_ptr<bool>(alive_)] {
                  const auto open_connection = connection.lock();
                  if (alive.expired() || !open_connection || !open_connection->stream) return;
                  if (loop_.clock().now() - open_connection->last_active_at >= kIdleTimeout)
                      open_connection->close();
              });
      }) {
    loop_.on_each_iteration([this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) resume_awaiting_room();
    });
}

StoreApi::~StoreApi() {
    alive_.reset();
    for (const auto& connection : connections_)
        if (auto* open = std::exchange(connection->stream, nullptr)) open->close();
}

void StoreApi::resume_awaiting_room() {
    const auto connections = connections_;  // one that is closed leaves the list
    for (const std::shared_ptr<Connection>& connection : connections)
        if (connection->awaits_room) connection->update();
}

void StoreApi::enqueue(Connection& connection) {
    if (std::exchange(connection.queued, true)) return;
    queue_.push_back(connection.shared_from_this());
    schedule_handling();
}

void StoreApi::schedule_handling() {
    if (std::exchange(handling_scheduled_, true)) return;
    loop_.timers().schedule(loop_.clock().now(), [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) handle_queued();
    });
}

// A connection stays at the front of the queue during its request, so that a response in that call does not
// queue it a second time.
void StoreApi::handle_queued() {
    const base::Micros end = loop_.clock().now() + kHandlingBudget;
    while (!queue_.empty() && loop_.clock().now() < end) {
        const std::shared_ptr<Connection> connection = queue_.front();
        if (connection->may_handle_request()) connection->handle_request();
        queue_.pop_front();
        connection->queued = false;
        connection->update();
    }
    handling_scheduled_ = false;
    if (!queue_.empty()) schedule_handling();
}

// The connection is destroyed from the loop, not from its own call: the stream may still be using it.
void StoreApi::remove(Connection& connection) {
    const auto found = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& one) { return one.get() == &connection; });
    if (found == connections_.end()) return;
    loop_.timers().schedule(loop_.clock().now(), [removed = std::move(*found)] {});
    connections_.erase(found);
}

}  // namespace sumackeel::store
