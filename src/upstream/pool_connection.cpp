#include "upstream/pool_connection.h"

#include <algorithm>

#include "base/log.h"

namespace sumackeel::upstream {

namespace {

constexpr Micros kConnectBackoff = 2'000'000;  // after a target refused a further connection
constexpr Micros kMaxIterationAge = 50'000;  // in an older one input is read first, then requests are written
constexpr Micros kMaxEncodeTime = 1'000;     // between computing a limit and writing it

}  // namespace

void ConnectionPool::Connection::on_open(net::Stream&) {
    pool.loop_.timers().cancel(connect_timer);
    pool.opened_.push_back(number);
}

void ConnectionPool::Connection::on_ready() {
    connected = true;
    overdue = false;
    last_byte_at = pool.loop_.clock().now();
    write_queued();
}

void ConnectionPool::Connection::on_write_drained(net::Stream&) {
    if (can_write()) write_queued();
}

// What was read in this iteration may forbid some of them, or end them.
void ConnectionPool::Connection::write_queued() {
    pool.core_.process_events();
    std::vector<QueuedRequest> pending = std::exchange(queued, {});
    for (QueuedRequest& entry : pending) {
        if (!can_write()) {
            queued.push_back(std::move(entry));
            continue;
        }
        const WriteResult result = write(entry);
        if (result == WriteResult::deferred) {
            defer(std::move(entry));
            continue;
        }
        if (result == WriteResult::written) continue;
        const Handle attempt = open_attempts.at(entry.id).attempt;
        open_attempts.erase(entry.id);
        pool.locations_.erase(attempt.number());
        pool.core_.on_attempt_finished(attempt, core::AttemptResult{.status = status_of(result)});
    }
}

AttemptStatus ConnectionPool::Connection::status_of(WriteResult unwritten) {
    return unwritten == WriteResult::withheld ? AttemptStatus::withheld : AttemptStatus::connect_failed;
}

// The process may be stalled at any moment. After a stall the limit in an encoded request is too long,
// and the client may have left, so input is read before anything is written.
ConnectionPool::Connection::WriteResult ConnectionPool::Connection::write(const QueuedRequest& entry) {
    for (;;) {
        const Micros now = pool.loop_.clock().now();
        if (now >= entry.request.deadline() || (entry.start_deadline > 0 && now >= entry.start_deadline))
            return WriteResult::too_late;
        if (!entry.deferred && pool.loop_.iteration_age() > kMaxIterationAge) return WriteResult::deferred;
        OpenAttempt& attempt = open_attempts.at(entry.id);
        const core::WriteTerms terms = pool.core_.terms_at_write(attempt.attempt);
        if (!terms.allowed) return WriteResult::withheld;
        const std::string text = entry.request.encode_at(now, terms.max_age, terms.body);
        if (pool.loop_.clock().now() - now > kMaxEncodeTime) continue;
        attempt.written = true;
        attempt.sent_at = now;
        stream->write_immediately(text);
        return WriteResult::written;
    }
}

// Until the next iteration of the loop, which reads input before it runs timers.
void ConnectionPool::Connection::defer(QueuedRequest entry) {
    entry.deferred = true;
    queued.push_back(std::move(entry));
    pool.loop_.timers().schedule(pool.loop_.clock().now(), [&pool = pool, number = number] {
        const auto found = pool.connections_.find(number);
        if (found != pool.connections_.end() && found->second->can_write()) found->second->write_queued();
    });
}

void ConnectionPool::Connection::on_data(net::Stream&, std::string_view bytes) {
    last_byte_at = pool.loop_.clock().now();
    suspect = false;
    reader.append(bytes);
    process_responses();
}

BodyHandling ConnectionPool::Connection::handle_body(const std::string& id, std::size_t size) {
    const auto found = open_attempts.find(id);
    if (found == open_attempts.end()) return BodyHandling::discard;  // cancelled
    pool.core_.on_response_arriving(found->second.attempt, size);
    if (!pool.loop_.memory().has_room_for_response(size)) return BodyHandling::await_room;
    return BodyHandling::store;
}

void ConnectionPool::Connection::process_responses() {
    CacheResponse response;
    while (reader.next(response)) {
        const auto found = open_attempts.find(response.id);
        if (found == open_attempts.end()) {  // cancelled
            cancelled_ids.erase(response.id);
            continue;
        }
        const Handle attempt = found->second.attempt;
        open_attempts.erase(found);
        last_used_at = last_byte_at;
        pool.locations_.erase(attempt.number());
        pool.core_.on_attempt_finished(attempt, std::move(response.result));
    }
    arriving_memory.set(reader.memory());
    if (stream) stream->pause(reader.awaits_room());
    if (reader.awaits_room()) pool.awaiting_room_.push_back(number);
}

void ConnectionPool::Connection::on_close(net::Stream&, net::DisconnectCause cause) {
    stream = nullptr;
    disconnected = true;
    if (cause == net::DisconnectCause::connect_failed) {
        log::debug("upstream: connection refused at={}", target);
        Target& to = pool.targets_[target];
        const bool others = std::any_of(to.connections.begin(), to.connections.end(),
                                        [](const auto& c) { return c->connected; });
        if (others) to.backoff_until = pool.loop_.clock().now() + kConnectBackoff;
    }
    pool.close(*this, connected);
}

}  // namespace sumackeel::upstream
