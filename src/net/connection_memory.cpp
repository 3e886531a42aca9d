// What client connections give up when memory is short: first partial requests that do not grow, then
// responses that are not read.
#include <algorithm>

#include "net/connection_manager.h"

namespace sumackeel::net {

namespace {

// A client that is writing a request sends more of it within this.
constexpr Micros kStalledPartialRequest = 100'000;  // us
// A client that reads at all has taken some bytes within this.
constexpr Micros kStalledReader = 400'000;                       // us
constexpr Micros kPartialRequestCheckInterval = 10'000;          // us
constexpr std::size_t kExpectedGrowth = 32 * std::size_t{1024};  // bytes, of one that is read again

}  // namespace

bool ConnectionManager::may_read_partial_request(ClientConnection& connection) {
    if (memory().has_room_for_partial_requests()) return true;
    const Micros now = loop_.clock().now();
    if (now >= next_partial_request_check_) {
        next_partial_request_check_ = now + kPartialRequestCheckInterval;
        evict_stalled_partial_requests(now);
        if (memory().has_room_for_partial_requests()) return true;
    }
    if (!connection.awaits_room_) awaiting_room_.push_back(connection.id_);
    connection.awaits_room_ = true;
    return false;
}

// Those whose last byte is oldest go first. One that waits for room is not read, so its client is not to
// blame.
void ConnectionManager::evict_stalled_partial_requests(Micros now) {
    std::vector<ClientConnection*> stalled;
    for (const ConnectionState state : {ConnectionState::awaiting_request, ConnectionState::receiving})
        for (ClientConnection* connection : in_state(state))
            if (!connection->awaits_room_ && connection->partial_request_bytes() > 0 &&
                now - connection->last_read_at_ >= kStalledPartialRequest)
                stalled.push_back(connection);
    std::ranges::sort(stalled, {}, [](const ClientConnection* one) { return one->last_read_at_; });
    for (ClientConnection* connection : stalled) {
        if (memory().has_room_for_partial_requests()) return;
        evict_if_quiet(*connection, CloseReason::memory_pressure);
    }
}

void ConnectionManager::resume_awaiting_room() {
    std::size_t growth = 0;
    while (!awaiting_room_.empty() && memory().has_room_for_partial_requests() &&
           growth <= memory().available()) {
        ClientConnection* connection = find(awaiting_room_.front());
        awaiting_room_.pop_front();
        if (!connection) continue;
        growth += kExpectedGrowth;
        connection->awaits_room_ = false;
        connection->last_read_at_ = loop_.clock().now();
        connection->on_room();
    }
}

void ConnectionManager::relieve_memory(Micros now) {
    if (!memory().has_room_for_partial_requests()) evict_stalled_partial_requests(now);
    if (!memory().is_short()) return;
    for (const ConnectionState state : {ConnectionState::flushing, ConnectionState::half_closed})
        evict_stalled_readers(state, now);
}

void ConnectionManager::evict_stalled_readers(ConnectionState state, Micros now) {
    for (ClientConnection* connection : snapshot(state)) {
        if (!memory().is_short()) return;
        if (connection->stream_->unsent_bytes() == 0) continue;
        const std::size_t undelivered = connection->stream_->undelivered_bytes();
        if (undelivered != connection->undelivered_) {
            connection->undelivered_ = undelivered;
            connection->undelivered_since_ = now;
        } else if (now - connection->undelivered_since_ >= kStalledReader) {
            evict(*connection, CloseReason::memory_pressure);
        }
    }
}

}  // namespace sumackeel::net
