// The states of a client's connection and the reasons for which one is closed, with the names that metrics
// and logs use.
#pragma once

#include <cstddef>

namespace sumackeel::net {

// All but `processing` may be evicted.
enum class ConnectionState : std::size_t {
    awaiting_request,  // since it was accepted no request has been read in full
    receiving,         // a part of a further request has been read
    idle,              // between two requests
    flushing,          // responses wait to be read by the client, and no request is open
    processing,        // a request is open
    half_closed        // closed by this side, waiting for the client to close too
};
constexpr std::size_t kConnectionStateCount = 6;

// What has happened on a connection that stays in its state; its time in that state starts anew then.
enum class Progress {
    none,
    response_read,    // the client has read a response, and more are waiting
    request_complete  // a request has been read in full, and a part of the next one
};

enum class CloseReason : std::size_t {
    client_closed,     // the client closed it
    connection_error,  // reset, failed, or undecodable input
    drain,             // nothing was open on it during a drain
    shutdown,          // nothing was open on it during the process's shutdown
    request_timeout,   // no complete request in time
    idle_timeout,      // nothing between two requests
    write_timeout,     // its responses were not read
    evicted,           // its place was needed for another
    memory_pressure,   // its unread responses took memory that others needed
    protocol           // the server's protocol closes it
};
constexpr std::size_t kCloseReasonCount = 10;

// Names in metrics and log lines; they are part of the operators' interface.
const char* name_of(CloseReason reason);
const char* name_of(ConnectionState state);

}  // namespace sumackeel::net
