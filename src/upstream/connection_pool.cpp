#include "upstream/connection_pool.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/log.h"
#include "base/system_error.h"
#include "upstream/pool_connection.h"

namespace sumackeel::upstream {

namespace {

// An invalid response or a reset loses all open attempts of its connection, so attempts share a connection
// only if no other is available.
constexpr std::size_t kMaxConnectionsPerTarget = 64;
// If connections have a price, another one is opened only if it costs less than the requests that would be
// lost with a shared connection: what one proxy opens for each attempt, a hundred proxies open at each
// endpoint.
constexpr double kConnectionLossProbability = 0.02;  // during a request, by a break or a missing response
constexpr int kReservedForFirstConnections = 16;     // descriptors kept for targets without a connection
constexpr int kReservedForOthers = 8;  // descriptors never used here: the change log has to be reachable
constexpr Micros kMaxResponseStall = 1'000'000;  // in the middle of a response, which is then considered lost
constexpr Micros kUnresponsiveAfter = 400'000;   // without a byte while attempts are open
constexpr Micros kSuspectAfterSilence = 200'000;  // an attempt was cancelled after so long without a byte
constexpr Micros kIdleMargin = 1'000'000;  // idle connections close this long before the other side's timeout
constexpr Micros kSweepInterval = 250'000;
// Ids of cancelled requests on one connection, whose responses may still arrive there. A connection with more
// of them gets no new attempts and closes once nothing is open on it.
constexpr std::size_t kMaxCancelledIds = 256;

// A connection that isn't up at its timeout fails its attempts, but is kept for later ones for this long, as
// the next one may take as long. Of each target the oldest and the newest are kept.
constexpr Micros kLongestConnect = 10'000'000;
constexpr std::size_t kMaxOverdueConnections = 2;

constexpr Micros kConnectRetryInterval = 20'000;  // after a local lack of sockets

// Whether a connect error is caused by this machine, not by the target.
bool is_local_shortage(int error) {
    return error != 0 && (base::is_transient(error) || error == UV_EADDRNOTAVAIL);
}

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, net::SocketBudget& budget, core::Core& core, Limits limits)
    : loop_(loop), budget_(budget), core_(core), limits_(limits) {
    sweep();
    loop_.on_each_iteration([this] {
        start_opened();
        resume_awaiting_room();
        closed_.clear();
    });
}

// In the iteration in which a connection is established, a client whose request waits for it may have left,
// which may be read after that event. So requests are written at the end of the iteration, when all input is
// known.
void ConnectionPool::start_opened() {
    for (const std::uint64_t number : std::exchange(opened_, {})) {
        const auto found = connections_.find(number);
        if (found != connections_.end()) found->second->on_ready();
    }
}

void ConnectionPool::resume_awaiting_room() {
    if (awaiting_room_.empty()) return;
    for (const std::uint64_t number : std::exchange(awaiting_room_, {})) {
        const auto found = connections_.find(number);
        if (found == connections_.end()) continue;
        Connection& connection = *found->second;
        try {
            connection.process_responses();
        } catch (const std::exception& error) {
            log::warn("upstream: response unreadable at={} error={}", connection.target, error.what());
            close(connection, true);
        }
    }
    core_.process_events();
}

ConnectionPool::~ConnectionPool() {
    for (auto& [number, connection] : connections_)
        if (connection->stream) connection->stream->close();
}

void ConnectionPool::set_address(const std::string& name, const std::string& address) {
    Target& target = targets_[name];
    target.retired = false;
    if (target.address == address) return;
    target.address = address;
    // Connections to the previous address lead to another machine.
    std::vector<Connection*> outdated;
    for (const auto& connection : target.connections) outdated.push_back(connection.get());
    for (Connection* connection : outdated) close(*connection, connection->connected);
}

void ConnectionPool::retire(const std::string& name) {
    const auto found = targets_.find(name);
    if (found != targets_.end()) found->second.retired = true;
}

void ConnectionPool::retain_only(const std::vector<std::string>& names) {
    for (auto& [name, target] : targets_)
        if (std::find(names.begin(), names.end(), name) == names.end()) target.retired = true;
}

bool ConnectionPool::is_unresponsive(const Connection& connection) const {
    if (connection.suspect || connection.cancelled_ids.size() >= kMaxCancelledIds) return true;
    // Earlier bytes are still unsent, so a request would start at an unknown time.
    if (connection.connected && connection.stream->unsent_bytes() > 0) return true;
    if (!connection.connected || connection.open_attempts.empty()) return false;
    return loop_.clock().now() - connection.last_byte_at > kUnresponsiveAfter;
}

// Selects the least loaded responsive connection that the request has not used before: on one connection the
// id of a request identifies one attempt, also after a STOP. An unresponsive one is used only if no other is
// available.
ConnectionPool::Connection* ConnectionPool::select(Target& target,
                                                   const core::AttemptRequest& attempt_request) {
    Connection* best = nullptr;
    // Among equals the one that received bytes last: one that was idle for long is more likely to be broken.
    const auto rank = [this](const Connection& c) {
        return std::tuple(is_unresponsive(c), c.open_attempts.size(), !c.connected, -c.last_byte_at);
    };
    for (const auto& connection : target.connections) {
        if (connection->overdue) continue;
        if (connection->open_attempts.size() >= static_cast<std::size_t>(limits_.streams_per_conn)) continue;
        const auto& avoid = attempt_request.avoid_connections;
        if (std::find(avoid.begin(), avoid.end(), connection->number) != avoid.end()) continue;
        // If the id was used on this connection before, by any client, the response to that attempt may still
        // arrive.
        if (connection->open_attempts.contains(attempt_request.request->id) ||
            connection->cancelled_ids.contains(attempt_request.request->id))
            continue;
        // The rest of an unrequested partial line would be parsed as the header of the next response.
        if (connection->open_attempts.empty() && connection->reader.has_partial_response()) continue;
        if (!best || rank(*connection) < rank(*best)) best = connection.get();
    }
    const bool is_responsive = best && !is_unresponsive(*best);
    if (is_responsive && (best->open_attempts.empty() ||
                          static_cast<double>(best->open_attempts.size()) * kConnectionLossProbability <
                              limits_.handshake_price))
        return best;
    const bool may_connect = target.connections.size() < kMaxConnectionsPerTarget &&
                             (!is_responsive || loop_.clock().now() >= target.backoff_until);
    const int reserve =
        is_responsive ? kReservedForFirstConnections + kReservedForOthers : kReservedForOthers;
    if (!may_connect || (budget_.available() <= reserve && !make_room(best))) return best;
    Connection* new_connection = open_connection(attempt_request.target, target);
    return new_connection ? new_connection : best;
}

// Closes the connection of any target that has been idle longest, but not `keep`; an overdue one first.
bool ConnectionPool::make_room(const Connection* keep) {
    Connection* idle = nullptr;
    const auto rank = [](const Connection& c) { return std::tuple(!c.overdue, c.last_used_at); };
    for (const auto& [number, connection] : connections_)
        if (connection != keep && connection->is_idle() && (!idle || rank(*connection) < rank(*idle)))
            idle = connection;
    if (idle) close(*idle, idle->connected);
    return idle != nullptr;
}

ConnectionPool::Connection* ConnectionPool::open_connection(const std::string& name, Target& target) {
    sockaddr_in address{};
    if (!net::parse_address(target.address, address)) return nullptr;
    auto connection = std::make_unique<Connection>(*this, next_number_++, name);
    int error = 0;
    connection->stream = net::Stream::connect(loop_, budget_, address, *connection, &error);
    if (!connection->stream && !is_local_shortage(error)) return nullptr;
    log::debug("dialled at={} open={}", name, target.connections.size());
    Connection* raw = connection.get();
    raw->last_used_at = loop_.clock().now();
    if (!raw->stream) retry_connect(raw->number);
    raw->connect_timer =
        loop_.timers().schedule(raw->last_used_at + limits_.connect_timeout, [this, number = raw->number] {
            const auto found = connections_.find(number);
            if (found != connections_.end() && !found->second->connected) on_connect_timeout(*found->second);
        });
    connections_[raw->number] = raw;
    target.connections.push_back(std::move(connection));
    return raw;
}

void ConnectionPool::on_connect_timeout(Connection& connection) {
    if (connection.stream) {
        connection.overdue = true;
        fail_open_attempts(connection, AttemptStatus::connect_failed);
        limit_overdue(targets_[connection.target]);
    } else {
        close(connection, false);
    }
    core_.process_events();
}

void ConnectionPool::limit_overdue(const Target& target) {
    std::vector<Connection*> overdue;
    for (const auto& connection : target.connections)
        if (connection->overdue) overdue.push_back(connection.get());
    if (overdue.size() > kMaxOverdueConnections) close(*overdue[overdue.size() - 2], false);
}

// Requests stay queued for the connection; the failure is local and does not count against the pop cache.
void ConnectionPool::retry_connect(std::uint64_t number) {
    loop_.timers().schedule(loop_.clock().now() + kConnectRetryInterval, [this, number] {
        const auto found = connections_.find(number);
        if (found == connections_.end()) return;
        Connection& connection = *found->second;
        sockaddr_in address{};
        int error = 0;
        if (net::parse_address(targets_[connection.target].address, address))
            connection.stream = net::Stream::connect(loop_, budget_, address, connection, &error);
        if (connection.stream) return;
        if (is_local_shortage(error)) return retry_connect(number);
        connection.disconnected = error != 0;
        close(connection, false);
        core_.process_events();
    });
}

std::uint64_t ConnectionPool::start(const core::AttemptRequest& attempt_request) {
    const auto found = targets_.find(attempt_request.target);
    Connection* connection = found == targets_.end() ? nullptr : select(found->second, attempt_request);
    const Handle attempt = attempt_request.attempt;
    if (!connection) {
        log::debug("upstream: no connection available at={}", attempt_request.target);
        loop_.timers().schedule(loop_.clock().now(),
                                [this, attempt] { finish(attempt, AttemptStatus::connect_failed); });
        return 0;
    }
    const Micros now = loop_.clock().now();
    const std::string& id = attempt_request.request->id;
    if (connection->open_attempts.empty()) connection->last_byte_at = now;
    connection->open_attempts[id] = {attempt, now};
    connection->last_used_at = now;
    locations_[attempt.number()] = {connection->number, id};
    Connection::QueuedRequest queued{id, RequestEncoder(attempt_request), attempt_request.start_deadline};
    if (!connection->can_write()) {
        connection->queued.push_back(std::move(queued));
        return connection->number;
    }
    const Connection::WriteResult result = connection->write(queued);
    switch (result) {
        case Connection::WriteResult::written:
            break;
        case Connection::WriteResult::deferred:
            connection->defer(std::move(queued));
            break;
        case Connection::WriteResult::too_late:
        case Connection::WriteResult::withheld:
            loop_.timers().schedule(now, [this, attempt, status = Connection::status_of(result)] {
                finish_unwritten(attempt, status);
            });
            break;
    }
    return connection->number;
}

void ConnectionPool::finish_unwritten(Handle attempt, AttemptStatus status) {
    const auto found = locations_.find(attempt.number());
    if (found == locations_.end()) return;  // cancelled meanwhile
    const auto connection = connections_.find(found->second.connection);
    if (connection != connections_.end()) connection->second->open_attempts.erase(found->second.id);
    finish(attempt, status);
}

bool ConnectionPool::cancel(Handle attempt) {
    const auto found = locations_.find(attempt.number());
    if (found == locations_.end()) return true;
    const Location location = found->second;
    locations_.erase(found);
    const auto connection_found = connections_.find(location.connection);
    if (connection_found == connections_.end()) return true;
    Connection& connection = *connection_found->second;
    const OpenAttempt entry = connection.open_attempts[location.id];
    connection.open_attempts.erase(location.id);
    connection.reader.discard(location.id);
    connection.arriving_memory.set(connection.reader.memory());
    if (!entry.written) {
        std::erase_if(connection.queued, [&](const auto& other) { return other.id == location.id; });
        return false;
    }
    if (loop_.clock().now() - std::max(connection.last_byte_at, entry.sent_at) > kSuspectAfterSilence)
        connection.suspect = true;
    connection.stream->write(encode_cancel(location.id));
    if (connection.cancelled_ids.size() < kMaxCancelledIds) connection.cancelled_ids.insert(location.id);
    return true;
}

bool ConnectionPool::not_started(Handle attempt) const {
    const auto found = locations_.find(attempt.number());
    const auto connection =
        found == locations_.end() ? connections_.end() : connections_.find(found->second.connection);
    return connection != connections_.end() &&
           !connection->second->open_attempts.at(found->second.id).written;
}

bool ConnectionPool::lacks_socket(Handle attempt) const {
    const auto found = locations_.find(attempt.number());
    const auto connection =
        found == locations_.end() ? connections_.end() : connections_.find(found->second.connection);
    return connection != connections_.end() && !connection->second->stream &&
           !connection->second->disconnected;
}

void ConnectionPool::finish(Handle attempt, AttemptStatus status) {
    locations_.erase(attempt.number());
    core_.on_attempt_finished(attempt, core::AttemptResult{.status = status});
    core_.process_events();
}

// Ends all open attempts of the connection; those that were written may have run.
void ConnectionPool::close(Connection& connection, bool was_connected) {
    if (!connections_.erase(connection.number)) return;
    loop_.timers().cancel(connection.connect_timer);
    const bool was_attempted = connection.stream || connection.disconnected;
    if (connection.stream) connection.stream->close();
    connection.stream = nullptr;
    const AttemptStatus unwritten_status = was_connected || was_attempted
                                               ? AttemptStatus::connect_failed
                                               : AttemptStatus::not_sent;  // no local socket was available
    Target& target = targets_[connection.target];
    const auto found = std::find_if(target.connections.begin(), target.connections.end(),
                                    [&](const auto& c) { return c.get() == &connection; });
    closed_.push_back(std::move(*found));
    target.connections.erase(found);
    fail_open_attempts(connection, unwritten_status);
}

void ConnectionPool::fail_open_attempts(Connection& connection, AttemptStatus unwritten_status) {
    connection.queued.clear();
    std::vector<OpenAttempt> open_attempts;
    for (const auto& [id, entry] : std::exchange(connection.open_attempts, {}))
        open_attempts.push_back(entry);
    std::sort(open_attempts.begin(), open_attempts.end(), [](const OpenAttempt& a, const OpenAttempt& b) {
        return a.attempt.number() < b.attempt.number();
    });
    for (const OpenAttempt& entry : open_attempts) {
        locations_.erase(entry.attempt.number());
        core_.on_attempt_finished(
            entry.attempt, core::AttemptResult{.status = entry.written ? AttemptStatus::connection_reset
                                                                       : unwritten_status});
    }
}

void ConnectionPool::close_idle_connections(const std::string& name) {
    const auto found = targets_.find(name);
    if (found == targets_.end()) return;
    std::vector<Connection*> idle;
    for (const auto& connection : found->second.connections)
        if (connection->is_idle()) idle.push_back(connection.get());
    for (Connection* connection : idle) close(*connection, connection->connected);
}

// Of an idle connection.
bool ConnectionPool::is_expired(const Connection& connection, Micros now) const {
    if (targets_.at(connection.target).retired || connection.suspect) return true;
    const Micros unused_for = now - connection.last_used_at;
    if (connection.overdue) return unused_for > kLongestConnect;
    return connection.cancelled_ids.size() >= kMaxCancelledIds ||
           unused_for > limits_.idle_close - kIdleMargin;
}

void ConnectionPool::sweep() {
    const Micros now = loop_.clock().now();
    // First, so that an exception does not end all later sweeps.
    loop_.timers().schedule(now + kSweepInterval, [this] { sweep(); });
    std::vector<Connection*> idle, stalled;
    for (const auto& [number, connection] : connections_)
        if (connection->is_idle() && is_expired(*connection, now))
            idle.push_back(connection);
        else if (connection->reader.has_partial_response() && !connection->reader.awaits_room() &&
                 now - connection->last_byte_at > kMaxResponseStall)
            stalled.push_back(connection);
    for (Connection* connection : idle) close(*connection, connection->connected);
    for (Connection* connection : stalled) {
        log::debug("upstream: response stalled, connection closed at={}", connection->target);
        close(*connection, true);
    }
    if (!stalled.empty()) core_.process_events();
    std::erase_if(targets_, [](const auto& t) { return t.second.retired && t.second.connections.empty(); });
}

}  // namespace sumackeel::upstream
