// The HTTP/1.1 server of the admin API: one call per connection, handled on the event loop, then closed.
// A connection without a complete call lasts for at most 1 s, and the one idle for longest is evicted when a
// new one needs its place. So idle callers use a bounded number of descriptors and do not delay clients. A
// call that is read later than its caller waits, since the process was stopped or busy, changes nothing.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "admin/api.h"
#include "net/connection_manager.h"

namespace sumackeel::admin_server {

// Handles a call on the event loop's thread. Returns the reply, or nothing and calls `deferred` once with it
// later.
using DeferredReply = std::function<void(const admin::ApiReply&)>;
using CallHandler =
    std::function<std::optional<admin::ApiReply>(const admin::ApiCall& call, DeferredReply deferred)>;

class AdminServer {
  public:
    // More callers wait in the accept queue, or evict the connection idle for longest. The limit is a third
    // of the 24 descriptors that the daemon reserves.
    static constexpr int kMaxConnections = 8;

    // A call consists of a request line and a few headers, and with releases enabled also of a plan. Larger
    // calls are rejected.
    static constexpr std::size_t kMaxCallBytes = 8 * 1024, kMaxPlanBytes = 64 * 1024;

    AdminServer(net::Loop& loop, const std::string& listen, CallHandler handler,
                std::size_t max_call_bytes = kMaxCallBytes);
    int port() const { return connection_manager_.port(); }
    void stop_listening() { connection_manager_.stop_listening(false); }
    std::size_t connection_count() const { return connection_manager_.connection_count(); }

  private:
    struct Caller;
    net::Loop& loop_;
    CallHandler handler_;
    std::size_t max_call_bytes_;
    net::ConnectionManager connection_manager_;
};

}  // namespace sumackeel::admin_server
