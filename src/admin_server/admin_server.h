// The operators' address: HTTP/1.1, one call a connection, answered at once on the loop and closed.
// Callers that send nothing or half a call hold one of few places for 1 s at most, and the longest silent
// one makes room for a new caller: they cost bounded descriptors and never the clients' loop.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "admin/api.h"
#include "net/connection_manager.h"

namespace sumackeel::admin_server {

// Each call to the operators' address, answered from the loop's thread: at once, or (none) by `later`, once.
using DeferredReply = std::function<void(const admin::ApiReply&)>;
using CallHandler =
    std::function<std::optional<admin::ApiReply>(const admin::ApiCall& call, DeferredReply later)>;

class AdminServer {
  public:
    // Callers at once; more wait in the queue of the listener or push out the longest silent one.
    // A third of the daemon's reserve of 24 descriptors.
    static constexpr int kMaxConnections = 8;

    // A call is a line and a few headers, and where releases are on at most a plan; anything larger is no
    // operator's.
    static constexpr std::size_t kMaxCallBytes = 8 * 1024, kMaxPlanBytes = 64 * 1024;

    AdminServer(net::Loop& loop, const std::string& listen, CallHandler taker,
                std::size_t longest_call = kMaxCallBytes);
    int port() const { return connection_manager_.port(); }
    void stop_listening() { connection_manager_.stop_listening(false); }
    std::size_t connection_count() const { return connection_manager_.connection_count(); }

  private:
    struct Caller;
    CallHandler taker_;
    std::size_t longest_call_;
    net::ConnectionManager connection_manager_;
};

}  // namespace sumackeel::admin_server
