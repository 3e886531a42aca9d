#include "store/store_api.h"

#include <algorithm>

#include "base/json_line.h"
#include "base/log.h"
#include "config/config.h"

namespace sumackeel::store {

namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxLineBytes = 256 * 1024;  // fits a key and a value of maximum size with JSON escapes
constexpr base::Micros kIdleTimeout = 30'000'000;  // a connection without requests is closed after this

}  // namespace

struct StoreApi::Connection : net::Stream::Handler, std::enable_shared_from_this<Connection> {
    StoreApi& api;
    net::Stream* stream = nullptr;
    std::string buffer;
    base::Micros last_active_at = 0;

    explicit Connection(StoreApi& owner) : api(owner), last_active_at(owner.loop_.clock().now()) {}
    void on_data(net::Stream&, std::string_view bytes) override {
        buffer += bytes;
        last_active_at = api.loop_.clock().now();
        const auto self = shared_from_this();
        std::size_t position = 0;
        for (std::size_t end = 0; stream && (end = buffer.find('\n', position)) != std::string::npos;
             position = end + 1)
            on_line(buffer.substr(position, end - position));
        buffer.erase(0, position);
        if (stream && buffer.size() > kMaxLineBytes) close();
    }
    void on_line(const std::string& line) {
        const auto respond = [connection =
                                  std::weak_ptr<Connection>(shared_from_this())](const Json::Value& value) {
            const auto open_connection = connection.lock();
            if (open_connection && open_connection->stream)
                open_connection->stream->write(base::to_json_line(value));
        };
        try {
            const Json::Value value = config::parse(line, "store");
            if (!value.isObject()) throw config::ConfigError("no object");
            api.handle_request_(value, respond);
        } catch (const std::exception& error) {
            Json::Value rejection;
            rejection["refused"] = error.what();
            respond(rejection);
        }
    }
    void on_close(net::Stream&, net::DisconnectCause) override {
        stream = nullptr;
        api.remove(*this);
    }
    void close() {
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
      }) {}

StoreApi::~StoreApi() {
    alive_.reset();
    for (const auto& connection : connections_)
        if (auto* open = std::exchange(connection->stream, nullptr)) open->close();
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
