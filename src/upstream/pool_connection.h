// One connection to a pop cache, parent or the origin, and the attempts that are open on it.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "upstream/connection_pool.h"

namespace sumackeel::upstream {

using routing::AttemptStatus;

struct ConnectionPool::Connection : net::Stream::Handler {
    ConnectionPool& pool;
    std::uint64_t number;
    std::string target;
    net::Stream* stream = nullptr;
    bool connected = false;
    bool overdue = false;       // not up at its timeout: carries no attempt until it is
    bool disconnected = false;  // closed by the other side, or could not be established
    bool suspect = false;       // an attempt timed out here and no byte has been received since
    struct QueuedRequest {
        std::string id;
        RequestEncoder request;
        Micros start_deadline;  // 0: none
        bool deferred = false;  // already once, to read input first
    };
    enum class WriteResult { written, too_late, withheld, deferred };
    // Written once the connection is up and all earlier bytes are sent. Requests are encoded only then, since
    // the limit in an encoded request would not account for the wait.
    std::vector<QueuedRequest> queued;
    std::unordered_map<std::string, OpenAttempt> open_attempts;
    std::unordered_set<std::string> cancelled_ids;  // written, cancelled, and without a response so far
    ResponseReader reader;
    base::MemoryCharge arriving_memory;  // of what reader holds
    Micros last_byte_at = 0;             // last byte received, or the first one sent after an idle time
    Micros last_used_at = 0;
    base::TimerQueue::Key connect_timer;

    Connection(ConnectionPool& owner, std::uint64_t n, std::string to)
        : pool(owner),
          number(n),
          target(std::move(to)),
          reader([this](const std::string& id, std::size_t size) { return handle_body(id, size); }),
          arriving_memory(owner.loop_.memory(), base::MemoryHolder::arriving_responses) {}

    // Carries no attempt, and none waits for it.
    bool is_idle() const { return (connected || overdue) && open_attempts.empty(); }
    bool can_write() const { return connected && stream && stream->unsent_bytes() == 0; }

    // At the end of the iteration of the loop in which it was established.
    void on_ready();
    void write_queued();
    // Passes on the responses that are complete; not read any further while one has no room.
    void process_responses();
    BodyHandling handle_body(const std::string& id, std::size_t size);
    WriteResult write(const QueuedRequest& entry);
    void defer(QueuedRequest entry);
    // Of an attempt whose request was not written.
    static AttemptStatus status_of(WriteResult unwritten);

    void on_open(net::Stream&) override;
    void on_write_drained(net::Stream&) override;
    void on_data(net::Stream&, std::string_view bytes) override;
    void on_close(net::Stream&, net::DisconnectCause cause) override;
};

}  // namespace sumackeel::upstream
