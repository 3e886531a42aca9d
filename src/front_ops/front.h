// The operators' address: HTTP/1.1, one call a connection, answered at once on the loop and closed.
// Callers that send nothing or half a call hold one of few places for 1 s at most, and the longest silent
// one makes room for a new caller: they cost bounded descriptors and never the clients' loop.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/door.h"
#include "ops/calls.h"

namespace sumackeel::front_ops {

// Each call to the operators' address, answered from the loop's thread: at once, or (none) by `later`, once.
using Later = std::function<void(const ops::Reply&)>;
using Taker = std::function<std::optional<ops::Reply>(const ops::Call& call, Later later)>;

class Front {
  public:
    // Callers at once; more wait in the queue of the listener or push out the longest silent one.
    // A third of the daemon's reserve of 24 descriptors.
    static constexpr int kPlaces = 8;

    // A call is a line and a few headers, and where releases are on at most a plan; anything larger is no
    // operator's.
    static constexpr std::size_t kLongestCall = 8 * 1024, kLongestPlan = 64 * 1024;

    Front(net::Loop& loop, const std::string& listen, Taker taker, std::size_t longest_call = kLongestCall);
    int port() const { return door_.port(); }
    void stop_listening() { door_.stop_listening(false); }
    std::size_t connections() const { return door_.connections(); }

  private:
    struct Caller;
    Taker taker_;
    std::size_t longest_call_;
    net::Door door_;
};

}  // namespace sumackeel::front_ops
