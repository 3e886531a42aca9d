#include "net/connection_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace sumackeel::net {

namespace {

constexpr Micros kEnforceInterval = 20'000;  // us between two checks of the timeouts
// Reading what has arrived on connections that are to be closed, in one check; the others wait for the next.
constexpr Micros kReadingBudget = 10'000;  // us
// The last checks of a drain, each of which may overrun its interval by reading.
constexpr Micros kLastChecksOfDrain = 4 * kEnforceInterval;  // us
// A client that reads at all reads a response within this, and need not be evicted when memory is short.
constexpr Micros kSlowReader = 1'000'000;  // us
// A client closes its side within a round trip.
constexpr Micros kHalfClosedTimeout = 500'000;  // us
// When bytes are read this much later than they arrived, their sender may have timed out.
constexpr Micros kReadLate = 50'000;  // us
// Connections accepted in one iteration of the loop, so that a flood of them does not delay open ones.
constexpr int kMaxAcceptsPerIteration = 64;

}  // namespace

void ClientConnection::on_close(Stream&, DisconnectCause cause) {
    stream_ = nullptr;
    ConnectionManager& manager = *manager_;
    manager.record_close(*this, cause == DisconnectCause::closed_by_peer ? CloseReason::client_closed
                                                                         : CloseReason::connection_error);
    manager.on_disconnect(*this);
    manager.accept_waiting();
}

void ClientConnection::on_discarded(Stream&, const DiscardedBytes& discarded) {
    manager_->record_discarded(*this, discarded);
}

// Reads the clock once: the process may be stalled between two readings, and bytes that arrived before the
// stall would seem to have arrived after it.
Micros ClientConnection::received_at() {
    const Micros now = manager_->loop_.clock().now();
    last_read_at_ = now;
    const Micros earliest = unread_arrived_after_ > 0 ? unread_arrived_after_ : stream_->arrived_after();
    read_late_ = now - earliest >= kReadLate;
    // Bytes that had arrived by then may be read in several iterations.
    unread_arrived_after_ = read_late_ && stream_->has_unread_data() ? earliest : 0;
    return read_late_ ? std::max(earliest, now - stream_->time_since_last_byte()) : now;
}

bool ClientConnection::peer_has_left() const {
    return read_late_ && stream_->peer_has_closed();
}

ConnectionManager::ConnectionManager(Loop& loop, const ListenAddress& address, int max_connections,
                                     Timeouts timeouts,
                                     std::function<std::unique_ptr<ClientConnection>()> make)
    : loop_(loop),
      timeouts_(timeouts),
      make_(std::move(make)),
      budget_(max_connections, base::MemoryHolder::unsent_responses),
      eviction_age_(timeouts.accept_queue),
      listener_(loop, address, [this] {
          accept_queue_waiting_ = true;
          accept_waiting();
      }) {
    loop_.on_each_iteration([this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        closed_.clear();
        resume_awaiting_room();
    });
    enforce_timeouts();
}

ConnectionManager::~ConnectionManager() {
    for (auto& [id, connection] : connections_)
        if (connection->stream_) connection->stream_->close();
}

ClientConnection* ConnectionManager::find(std::uint64_t id) const {
    const auto found = connections_.find(id);
    const bool open = found != connections_.end() && found->second->state_ != ConnectionState::half_closed;
    return open ? found->second.get() : nullptr;
}

// Connections for which there is no room stay in the system's queue until one has closed or can be evicted.
void ConnectionManager::accept_waiting() {
    for (int accepted = 0; accept_queue_waiting_ && accepted < kMaxAcceptsPerIteration; ++accepted) {
        const bool room = budget_.available() > 0;
        if (!room && !listener_.has_waiting()) return on_accept_queue_empty();
        if (!room && !make_room()) {
            on_accept_queue_waiting();
            if (timeouts_.accept_queue > 0) retry_accept_after(min_evictable_age());
            return listener_.pause();
        }
        const int fd = listener_.accept();
        if (fd < 0 && !listener_.lacks_resources()) return on_accept_queue_empty();
        if (fd < 0) return on_accept_queue_waiting();
        adopt(fd);
    }
    if (accept_queue_waiting_) on_accept_queue_waiting();
    listener_.resume();
}

void ConnectionManager::on_accept_queue_empty() {
    accept_queue_waiting_ = false;
    eviction_age_.on_queue_empty();
    queued_since_ = 0;
    listener_.resume();
}

void ConnectionManager::on_accept_queue_waiting() {
    if (queued_since_ == 0) queued_since_ = loop_.last_poll_at();
}

void ConnectionManager::adopt(int fd) {
    std::unique_ptr<ClientConnection> connection = make_();
    connection->manager_ = this;
    connection->id_ = next_id_++;
    connection->since_ = loop_.clock().now();
    connection->unread_arrived_after_ = queued_since_ > 0 ? queued_since_ : loop_.last_poll_at();
    connection->stream_ = Stream::adopt(loop_, budget_, fd, *connection);
    if (!connection->stream_) return;
    connection->position_ = in_state(ConnectionState::awaiting_request)
                                .insert(in_state(ConnectionState::awaiting_request).end(), connection.get());
    connections_.emplace(connection->id_, std::move(connection));
}

// Closing the listener resets the connections in its queue, and the requests sent on them are lost.
void ConnectionManager::stop_listening(bool others_listen) {
    while (!others_listen && listener_.has_waiting()) {
        accept_queue_waiting_ = true;
        accept_waiting();
        if (accept_queue_waiting_) return;
    }
    accept_queue_waiting_ = false;
    listener_.close();
}

// Evicts in the order of the least loss: connections that sent nothing, those with a partial request, idle
// ones. A connection with unread bytes is never evicted, nor a half-closed one whose last response waits for
// room at the client. The descriptor is needed now, so this does not wait for the client, not even for the
// acknowledgement of sent bytes.
bool ConnectionManager::make_room() {
    for (ClientConnection* connection : in_state(ConnectionState::half_closed))
        if (connection->stream_->unsent_bytes() == 0 && !connection->stream_->congested()) {
            evict(*connection, CloseReason::evicted);
            return true;
        }
    const Micros before = loop_.clock().now() - min_evictable_age();
    for (const ConnectionState state :
         {ConnectionState::awaiting_request, ConnectionState::receiving, ConnectionState::idle})
        for (ClientConnection* connection : in_state(state)) {
            if (connection->since_ > before) break;
            if (evict_if_quiet(*connection, CloseReason::evicted)) return true;
        }
    thread_local log::RateLimitedLogger logger;
    logger.warn("listener: no room, a connection stays in the accept queue connections={}",
                connections_.size());
    return false;
}

Micros ConnectionManager::min_evictable_age() {
    return eviction_age_.min_age(listener_.waiting(), budget_.limit());
}

void ConnectionManager::retry_accept_after(Micros wait) {
    if (std::exchange(accept_retry_scheduled_, true)) return;
    loop_.timers().schedule(loop_.clock().now() + wait, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        accept_retry_scheduled_ = false;
        accept_waiting();
    });
}

void ConnectionManager::evict_slowest_reader(const ClientConnection& keep) {
    const Micros before = loop_.clock().now() - kSlowReader;
    for (const ConnectionState state : {ConnectionState::flushing, ConnectionState::half_closed})
        for (ClientConnection* connection : in_state(state)) {
            if (connection->since_ > before) break;
            if (connection != &keep && connection->stream_->unsent_bytes() > 0)
                return evict(*connection, CloseReason::memory_pressure);
        }
}

// A drain has to end for a client too that never stops sending requests.
bool ConnectionManager::restarts_time(ConnectionState state, Progress progress) const {
    if (state == ConnectionState::flushing) return progress == Progress::response_read;
    if (state == ConnectionState::receiving) return progress == Progress::request_complete && !draining_;
    return state == ConnectionState::idle;
}

void ConnectionManager::set_state(ClientConnection& connection, ConnectionState state, Progress progress) {
    const bool unchanged = connection.state_ == state && !restarts_time(state, progress);
    if (!connection.stream() || unchanged) return;
    if (connection.state_ != state)
        log::debug("listener: state changed connection={} state={} was={}", connection.id_, name_of(state),
                   name_of(connection.state_));
    ConnectionList& target = in_state(state);
    target.splice(target.end(), in_state(connection.state_), connection.position_);
    connection.state_ = state;
    connection.since_ = loop_.clock().now();
    // Only between two requests does closing lose nothing.
    if (draining_ && state == ConnectionState::idle) close_drained(connection);
}

void ConnectionManager::set_draining(bool on) {
    draining_ = on;
    if (on) close_in_state(ConnectionState::idle);
}

// A client that waits for this response sees the close before it can send its next request.
void ConnectionManager::write_last_response(ClientConnection& connection, std::string bytes) {
    Stream& stream = *connection.stream();
    if (!draining_) return stream.write(std::move(bytes));
    if (is_done(connection, stream.write_and_shutdown_if_quiet(std::move(bytes), dropped_data_at_close())))
        on_half_closed(connection, drain_close_reason());
}

void ConnectionManager::close(ClientConnection& connection, CloseReason reason) {
    if (!connection.stream()) return;
    on_half_closed(connection, reason);
    connection.stream_->shutdown();
}

// What the client sends before it sees the close is lost once it is acknowledged. So the check for
// unread bytes and the close are one step, during which nothing is acknowledged.
bool ConnectionManager::close_if_quiet(ClientConnection& connection, CloseReason reason) {
    if (!is_done(connection, connection.stream_->shutdown_if_quiet(dropped_data_at_close()))) return false;
    on_half_closed(connection, reason);
    return true;
}

// A close is interrupted by dropped data as long as there is time for its retransmission and for the next
// try.
DroppedData ConnectionManager::dropped_data_at_close() const {
    const Micros next_try_done = loop_.clock().now() + Stream::kRetransmission + 2 * kEnforceInterval;
    const auto is_too_late = [&](std::optional<Micros> end) { return end && next_try_done > *end; };
    const bool no_time = is_too_late(drain_.ends_at()) || is_too_late(exit_deadline_);
    return no_time ? DroppedData::is_left : DroppedData::interrupts;
}

bool ConnectionManager::is_done(const ClientConnection& connection, QuietResult result) {
    const Stream& stream = *connection.stream_;
    if (result == QuietResult::done && stream.left_dropped_data()) ++discard_metrics_.dropped_at_half_close;
    if (result == QuietResult::interrupted) {
        ++interrupted_closes_;
        log::debug("listener: close interrupted connection={} dropped_data={}", connection.id_,
                   stream.has_dropped_data());
    }
    return result == QuietResult::done;
}

// Not while the client reads slowly: it may send more requests before it gets to the close.
void ConnectionManager::close_drained(ClientConnection& connection) {
    if (connection.stream_->congested()) return;
    if (!is_settled(connection)) return close_once_settled(connection);
    close_if_quiet(connection, drain_close_reason());
}

// Late in a drain, or at the end of the process, there is no time left to settle.
bool ConnectionManager::is_settled(const ClientConnection& connection) const {
    const Micros now = loop_.clock().now();
    const bool ends_now =
        drain_.rejects_new_requests(now) || (shutdown_deadline_ && now >= *shutdown_deadline_);
    return ends_now || !connection.overlaps_requests() || connection.since_ + timeouts_.settle <= now;
}

void ConnectionManager::close_once_settled(const ClientConnection& connection) {
    loop_.timers().schedule(
        connection.since_ + timeouts_.settle,
        [this, id = connection.id_, since = connection.since_, alive = std::weak_ptr<bool>(alive_)] {
            ClientConnection* found = alive.expired() ? nullptr : find(id);
            const bool still_idle = found && found->state_ == ConnectionState::idle && found->since_ == since;
            if (still_idle && draining_) close_drained(*found);
        });
}

std::vector<ClientConnection*> ConnectionManager::snapshot(ConnectionState state) const {
    return {in_state(state).begin(), in_state(state).end()};
}

void ConnectionManager::on_half_closed(ClientConnection& connection, CloseReason reason) {
    record_close(connection, reason);
    ConnectionList& half_closed = in_state(ConnectionState::half_closed);
    half_closed.splice(half_closed.end(), in_state(connection.state_), connection.position_);
    connection.state_ = ConnectionState::half_closed;
    connection.since_ = loop_.clock().now();
    connection.on_closed();
}

void ConnectionManager::close_in_state(ConnectionState state) {
    for (ClientConnection* connection : snapshot(state))
        if (connection->stream() && connection->state_ == state) close_drained(*connection);
}

// For the end of a drain, when a client that never stops sending can't keep its connection any longer: bytes
// that have arrived are read, and rejected by the server, before the check. The rejections are sent together
// with the close, since a client that gets one earlier sends its next request. A client that sends faster
// than it can be read is closed in the last checks, whatever it has sent.
void ConnectionManager::close_idle_after_reading(Micros reading_end) {
    const bool at_end = is_at_end_of_drain();
    for (ClientConnection* connection : snapshot(ConnectionState::idle)) {
        const bool has_time = loop_.clock().now() < reading_end;
        if (!has_time && !at_end) return;
        if (!connection->stream() || connection->stream_->congested()) continue;
        const bool too_fast = at_end && connection->stream_->has_unread_data();
        if (connection->stream_->awaits_retransmission() && !too_fast) continue;
        const Stream::ReceiveBlock block(*connection->stream_);
        const Stream::WriteBatch rejections(*connection->stream_);
        if (has_time) connection->stream_->read_available();
        const bool still_idle = connection->stream() && connection->state_ == ConnectionState::idle;
        if (!still_idle || close_if_quiet(*connection, drain_close_reason())) continue;
        if (at_end && connection->stream_->has_unread_data()) close(*connection, drain_close_reason());
    }
}

bool ConnectionManager::is_at_end_of_drain() const {
    const std::optional<Micros> end = drain_.ends_at();
    return end && loop_.clock().now() + kLastChecksOfDrain >= *end;
}

// Connections that have been in a state for longer than `timeout`. Closing one may evict another of them, so
// callers check each connection's stream again before they close it.
std::vector<ClientConnection*> ConnectionManager::overdue(ConnectionState state, Micros timeout) const {
    const Micros before = loop_.clock().now() - timeout;
    std::vector<ClientConnection*> found;
    for (ClientConnection* connection : in_state(state)) {
        if (connection->since_ > before) break;
        found.push_back(connection);
    }
    return found;
}

void ConnectionManager::close_overdue(ConnectionState state, Micros reading_end) {
    const Micros timeout = drain_.timeout(timeouts_.request, loop_.clock().now());
    for (ClientConnection* connection : overdue(state, timeout)) {
        if (loop_.clock().now() >= reading_end) return;
        if (connection->stream()) close_unless_complete(*connection);
    }
}

// Bytes that have arrived are read first, and may complete the request. Bytes that arrive meanwhile are not
// acknowledged, so a client that keeps sending parts of a request gains no time by it.
void ConnectionManager::close_unless_complete(ClientConnection& connection) {
    const ConnectionState state = connection.state_;
    const Stream::ReceiveBlock block(*connection.stream_);
    connection.stream_->read_available();
    if (!connection.stream() || connection.state_ != state) return;
    connection.on_request_timeout();
    close(connection, CloseReason::request_timeout);
}

// Counts each connection once, at the first of the closes of its two sides.
void ConnectionManager::record_close(const ClientConnection& connection, CloseReason reason) {
    if (connection.state_ == ConnectionState::half_closed) return;
    ++closed_counts_[static_cast<std::size_t>(reason)];
    log::debug("listener: closed connection={} reason={} state={}", connection.id_, name_of(reason),
               name_of(connection.state_));
}

void ConnectionManager::record_discarded(const ClientConnection& connection,
                                         const DiscardedBytes& discarded) {
    // One for each kind, so that many lines of one do not suppress the other.
    thread_local log::RateLimitedLogger logger_at_half_close, logger_after_half_close;
    const bool arrived_before_close = discarded.at_half_close > 0;
    ++(arrived_before_close ? discard_metrics_.at_half_close : discard_metrics_.after_half_close);
    log::RateLimitedLogger& logger = arrived_before_close ? logger_at_half_close : logger_after_half_close;
    logger.warn("listener: bytes discarded connection={} at_half_close={} after_half_close={} since_us={}",
                connection.id_, discarded.at_half_close, discarded.after_half_close,
                discarded.since_half_close);
}

void ConnectionManager::close_all_idle() {
    close_in_state(ConnectionState::awaiting_request);
    close_in_state(ConnectionState::idle);
}

bool ConnectionManager::has_pending_input() const {
    const auto unread = [](const ClientConnection* connection) {
        return connection->stream_->has_unread_data();
    };
    return accept_queue_waiting_ || !in_state(ConnectionState::receiving).empty() ||
           std::ranges::any_of(in_state(ConnectionState::awaiting_request), unread) ||
           std::ranges::any_of(in_state(ConnectionState::idle), unread);
}

void ConnectionManager::enforce_timeouts() {
    const Micros now = loop_.clock().now();
    // First, so that an exception in one check does not end all later ones.
    loop_.timers().schedule(now + kEnforceInterval, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) enforce_timeouts();
    });
    const Micros reading_end = now + kReadingBudget;
    close_overdue(ConnectionState::awaiting_request, reading_end);
    close_overdue(ConnectionState::receiving, reading_end);
    for (ClientConnection* connection : overdue(ConnectionState::idle, timeouts_.idle))
        if (connection->stream()) close_if_quiet(*connection, CloseReason::idle_timeout);
    for (ClientConnection* connection : overdue(ConnectionState::flushing, timeouts_.write))
        evict(*connection, CloseReason::write_timeout);
    // The client may take as long to read its last response as any other.
    for (ClientConnection* connection : overdue(ConnectionState::half_closed, kHalfClosedTimeout))
        if (!connection->stream_->has_undelivered_data() || connection->since_ <= now - timeouts_.write)
            evict(*connection, CloseReason::write_timeout);
    if (draining_) close_in_state(ConnectionState::idle);  // those that had unread bytes the last time
    if (drain_.stage(now) == admin::DrainStage::forcing) close_idle_after_reading(reading_end);
    relieve_memory(now);
    accept_waiting();
}

void ConnectionManager::evict(ClientConnection& connection, CloseReason reason) {
    record_close(connection, reason);
    connection.stream_->close();
    connection.stream_ = nullptr;
    on_disconnect(connection);
}

bool ConnectionManager::evict_if_quiet(ClientConnection& connection, CloseReason reason) {
    if (!is_done(connection, connection.stream_->close_if_quiet())) return false;
    evict(connection, reason);
    return true;
}

void ConnectionManager::on_disconnect(ClientConnection& connection) {
    const bool notified = connection.state_ == ConnectionState::half_closed;
    in_state(connection.state_).erase(connection.position_);
    const auto found = connections_.find(connection.id_);
    closed_.push_back(std::move(found->second));
    connections_.erase(found);
    if (!notified) connection.on_closed();
}

}  // namespace sumackeel::net
