// Client connections, and requests that cross their close, on a connection manager whose loop the test runs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <netinet/tcp.h>

#include <functional>

#include "net/connection_manager.h"
#include "support.h"

using namespace story;
namespace net = sumackeel::net;

namespace {

// A response of which most waits at the proxy if its client's receive buffer is small.
const std::string kLargeResponse(200'000, 'x');
constexpr int kSmallWindow = 4'096;  // bytes

// A connection manager with real connections. Only the test runs its loop, so that it decides exactly when
// requests cross a close.
struct ManagedConnections {
    struct RecordingConnection : net::ClientConnection {
        ManagedConnections& managed;
        explicit RecordingConnection(ManagedConnections& h) : managed(h) { managed.accepted.push_back(this); }
        void on_data(net::Stream&, std::string_view bytes) override {
            managed.received += bytes;
            const std::uint64_t end = uv_hrtime() + bytes.size() * managed.nanoseconds_per_byte;
            while (uv_hrtime() < end) continue;
            if (managed.respond)
                for (const char byte : bytes)
                    if (byte == '.') stream()->write("answer ");
            managed.manager.set_state(
                *this, bytes.ends_with('.') ? net::ConnectionState::idle : net::ConnectionState::receiving);
        }
        bool overlaps_requests() const override { return managed.overlaps; }
        void on_closed() override {
            ++managed.closed;
            if (managed.on_first_closed) std::exchange(managed.on_first_closed, nullptr)();
        }
    };
    explicit ManagedConnections(net::Micros request_timeout = 60'000'000, net::Micros settle = 0)
        : request_timeout(request_timeout), settle(settle) {}
    net::Micros request_timeout, settle;
    std::uint64_t nanoseconds_per_byte = 0;  // that it takes to handle input
    std::function<void()> on_first_closed;
    bool respond = false;   // each '.' that is read, with a write of its own
    bool overlaps = false;  // clients send requests while others are open
    net::Loop loop;
    std::string received;
    int closed = 0;
    std::vector<RecordingConnection*> accepted;
    net::ConnectionManager manager{
        loop,
        "127.0.0.1:0",
        8,
        {.request = request_timeout, .idle = 60'000'000, .write = 60'000'000, .settle = settle},
        [this] { return std::make_unique<RecordingConnection>(*this); }};

    // Returns the client of a connection that was closed after a response, of which most is still at the
    // proxy.
    Wire closed_after_large_response() {
        Wire client = Wire::to(manager.port(), kSmallWindow);
        client.send("a.");
        until([&] { return received == "a."; });
        accepted[0]->stream()->write(kLargeResponse);
        manager.close(*accepted[0], net::CloseReason::request_timeout);
        return client;
    }
    void until(const std::function<bool()>& done) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
        while (!done()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
    }
};

}  // namespace

// Guards against a listener that resets, when it closes, connections that have sent a request but are not
// accepted yet.
TEST_CASE("who waits in the listener's queue when it closes is taken first") {
    ManagedConnections managed;
    Wire first = Wire::to(managed.manager.port()), second = Wire::to(managed.manager.port());
    first.send("a."), second.send("b.");
    managed.manager.stop_listening(false);
    managed.until([&] { return managed.received.size() == 4; });
    CHECK(managed.closed == 0);
    CHECK_THROWS(Wire::to(managed.manager.port()));
}

// Guards against accepting connections from a queue that another process with the same socket continues to
// serve.
TEST_CASE("on a socket that another process listens on too the queue is left to it") {
    Peer shared;
    ManagedConnections managed;
    net::ConnectionManager manager(
        managed.loop, net::ListenAddress("", dup(shared.fd())), 8,
        {.request = 60'000'000, .idle = 60'000'000, .write = 60'000'000},
        [&] { return std::make_unique<ManagedConnections::RecordingConnection>(managed); });
    Wire client = Wire::to(shared.port());
    client.send("a.");
    manager.stop_listening(true);
    CHECK(shared.accept().bytes(2) == "a.");
    CHECK(managed.received.empty());
}

// Guards against a close with unread bytes: it resets the connection, and the client loses what it has not
// read so far. Instead, the connection is half-closed, crossing bytes are discarded, and it ends when the
// client has closed.
TEST_CASE("a request that crosses the end of a resting connection resets nothing and is not read") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    managed.accepted[0]->stream()->write("answer");
    managed.manager.set_draining(true);
    managed.until([&] { return client.readable(); });
    client.send("b.");  // crosses the half-close, which has been sent already
    managed.until([&] {
        uv_run(managed.loop.raw(), UV_RUN_NOWAIT);
        return managed.closed == 1;
    });
    CHECK(client.ends_in_order());
    CHECK(client.bytes(6) == "answer");
    CHECK(managed.received == "a.");
    client.close();
    managed.until([&] { return managed.manager.connection_count() == 0; });
}

// Guards against the loss of a request that arrives between the last check for unread bytes and the
// half-close. libuv half-closes in a later iteration; a process that is stalled in between closes over bytes
// that arrived meanwhile.
TEST_CASE("the end is on its way at once, in the call that decided it") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    managed.manager.set_draining(true);  // and no iteration of the loop
    CHECK(client.ends_in_order());
    client.close();
    managed.until([&] { return managed.manager.connection_count() == 0; });
}

// Guards against closing a connection on which a request has arrived but is not read yet.
TEST_CASE("a resting connection with unread bytes is not ended, nor is half a request") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port()), partial = Wire::to(managed.manager.port());
    client.send("a."), partial.send("b");
    managed.until([&] { return managed.received.size() == 3; });
    client.send("c.");
    REQUIRE(managed.manager.has_pending_input());
    managed.manager.set_draining(true);
    managed.manager.close_all_idle();
    CHECK(managed.closed == 0);
    managed.until([&] { return managed.received.ends_with("c."); });
    CHECK(managed.closed == 1);  // it is idle, and is closed
    CHECK(managed.manager.has_pending_input());
    partial.send(".");
    managed.until([&] { return managed.closed == 2; });
    CHECK_FALSE(managed.manager.has_pending_input());
}

// Guards against checking all idle connections first and closing them afterwards, over bytes that arrived in
// between.
TEST_CASE("a request that comes while other connections are ended is answered first") {
    ManagedConnections managed;
    Wire first = Wire::to(managed.manager.port()), second = Wire::to(managed.manager.port());
    first.send("a."), second.send("b.");
    managed.until([&] { return managed.received.size() == 4; });
    managed.on_first_closed = [&] { second.send("c."); };
    managed.manager.set_draining(true);
    CHECK(managed.closed == 1);
    managed.until([&] { return managed.received.ends_with("c."); });
    CHECK(managed.closed == 2);
    CHECK(managed.manager.discard_metrics().at_half_close == 0);
}

// Guards against closing a connection at its request timeout although the complete request has arrived.
TEST_CASE("a request that comes whole as its time ends is read, half a one does not stay") {
    constexpr net::Micros kRequestTimeout = 50'000;
    for (const std::string text : {"b.", "b"}) {
        CAPTURE(text);
        ManagedConnections managed(kRequestTimeout);
        Wire first = Wire::to(managed.manager.port()), second = Wire::to(managed.manager.port());
        managed.until([&] { return managed.accepted.size() == 2; });
        managed.on_first_closed = [&] { second.send(text); };
        managed.until([&] { return managed.received == text; });
        const bool complete = text.ends_with('.');
        CHECK(managed.manager.count(net::ConnectionState::idle) == (complete ? 1 : 0));
        if (!complete) managed.until([&] { return managed.closed == 2; });
        CHECK(managed.manager.discard_metrics().at_half_close == 0);
    }
}

// Guards against a client that keeps its connection open by never stopping to send, so that each check finds
// unread bytes.
TEST_CASE("a client that goes on sending parts of a request is ended in time") {
    constexpr net::Micros kRequestTimeout = 50'000;
    ManagedConnections managed(kRequestTimeout);
    Wire first = Wire::to(managed.manager.port()), sending = Wire::to(managed.manager.port());
    managed.until([&] { return managed.accepted.size() == 2; });
    sending.send("b");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    managed.until([&] {
        if (managed.closed < 2) sending.send("b");
        return managed.closed == 2;
    });
    CHECK(std::chrono::steady_clock::now() < end);
}

// Guards against a connection that is not closed at one check after another, because the responses to the
// requests read last are unsent: the system sends no more than the client has acknowledged room for.
TEST_CASE("a client that has many requests open is ended at the first look that the end of a drain takes") {
    using sumackeel::admin::DrainSchedule;
    constexpr net::Micros kRequestTimeout = 50'000;
    constexpr int kRequests = 40;  // the system sends ten responses before it gets an acknowledgement
    ManagedConnections managed(kRequestTimeout);
    managed.respond = true;
    Wire requesting = Wire::to(managed.manager.port()), silent = Wire::to(managed.manager.port());
    requesting.send("a.");
    std::string requests;
    for (int i = 0; i < kRequests; ++i) requests += "b.";
    // In the same check of the timeouts, before the idle connections.
    managed.on_first_closed = [&] {
        requesting.send(requests);
        managed.manager.set_drain(DrainSchedule(managed.loop.clock().now() - 2 * DrainSchedule::kForceAfter));
        managed.manager.set_draining(true);
        CHECK(managed.closed == 1);
    };
    managed.until([&] { return managed.closed >= 1; });
    CHECK(managed.closed == 2);
    CHECK(requesting.rest().size() == (1 + kRequests) * std::string("answer ").size());
}

// Guards against closing a connection right after the last response to a client with overlapping requests: it
// may just have received an earlier response, and its next request crosses the close.
TEST_CASE("a connection with overlapping requests is ended once it has settled, or there is no time left") {
    using sumackeel::admin::DrainSchedule;
    constexpr net::Micros kRequestTimeout = 60'000'000, kLong = 60'000'000, kShort = 50'000;
    const auto draining = [](ManagedConnections& managed, Wire& client) {
        managed.overlaps = true;
        client.send("a.");
        managed.until([&] { return managed.received == "a."; });
        managed.manager.set_draining(true);
    };
    SUBCASE("it is read while it settles") {
        ManagedConnections managed(kRequestTimeout, kLong);
        Wire client = Wire::to(managed.manager.port());
        draining(managed, client);
        client.send("b.");
        managed.until([&] { return managed.received == "a.b."; });
        CHECK(managed.closed == 0);
        SUBCASE("the process ends") {
            managed.manager.set_shutdown_deadline(managed.loop.clock().now());
        }
        SUBCASE("the drain turns requests away") {
            managed.manager.set_drain(
                DrainSchedule(managed.loop.clock().now() - DrainSchedule::kRejectAfter));
        }
        managed.manager.set_draining(true);
        CHECK(managed.closed == 1);
    }
    SUBCASE("it is ended when it has settled") {
        ManagedConnections managed(kRequestTimeout, kShort);
        Wire client = Wire::to(managed.manager.port());
        const net::Micros started_at = managed.loop.clock().now();
        draining(managed, client);
        managed.until([&] { return managed.closed == 1; });
        CHECK(managed.loop.clock().now() - started_at >= kShort);
    }
}

// Guards against a close before the client has retransmitted bytes that were dropped during an interrupted
// close.
TEST_CASE("a connection is not ended over a request that its client has still to send again") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    {
        const net::Stream::ReceiveBlock block(*managed.accepted[0]->stream());
        client.send("b.");
    }
    managed.manager.set_draining(true);
    CHECK(managed.closed == 0);
    managed.until([&] { return managed.received == "a.b."; });
    managed.until([&] { return managed.closed == 1; });
}

// Guards against the loss of a request that was dropped because the process was stalled in the middle of a
// close.
TEST_CASE("an end is given up over a request that was dropped as it was tried, while there is time") {
    using sumackeel::admin::DrainSchedule;
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    const auto drain_over_dropped_request = [&] {
        const net::Stream::ReceiveBlock block(*managed.accepted[0]->stream());
        client.send("b.");
        managed.manager.set_draining(true);
    };
    SUBCASE("there is time") {
        drain_over_dropped_request();
        CHECK(managed.closed == 0);
        CHECK(managed.manager.interrupted_closes() == 1);
        managed.until([&] { return managed.received == "a.b."; });
        managed.until([&] { return managed.closed == 1; });
        CHECK(managed.manager.discard_metrics().dropped_at_half_close == 0);
    }
    SUBCASE("the drain is over before the next try") {
        managed.manager.set_drain(DrainSchedule(managed.loop.clock().now() - DrainSchedule::kEndAfter));
        drain_over_dropped_request();
        CHECK(managed.closed == 1);
        CHECK(managed.manager.discard_metrics().dropped_at_half_close == 1);
    }
    SUBCASE("the process ends before the next try") {
        managed.manager.set_exit_deadline(managed.loop.clock().now() + net::Stream::kRetransmission);
        drain_over_dropped_request();
        CHECK(managed.closed == 1);
        CHECK(managed.manager.discard_metrics().dropped_at_half_close == 1);
    }
}

// Guards against acknowledgements that count as dropped data, which would delay the close.
TEST_CASE("a client that only acknowledges does not put the end of its connection off") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    const int on = 1;
    REQUIRE(setsockopt(client.fd(), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof on) == 0);
    {
        const net::Stream::ReceiveBlock block(*managed.accepted[0]->stream());
        managed.accepted[0]->stream()->write("answer");
        CHECK(client.bytes(6) == "answer");
        CHECK_FALSE(managed.accepted[0]->stream()->has_dropped_data());
        managed.manager.set_draining(true);
        CHECK(managed.closed == 1);
    }
    CHECK(client.ends_in_order());
}

// Guards against waiting for a retransmission after an interrupted close that dropped nothing.
TEST_CASE("behind a receive block that dropped nothing the next end is not put off") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    { const net::Stream::ReceiveBlock block(*managed.accepted[0]->stream()); }
    managed.manager.set_draining(true);
    CHECK(managed.closed == 1);
}

// Guards against losing a second request that the client's system holds back until the first is acknowledged,
// if that acknowledgement comes together with the response to the first and the close.
TEST_CASE("a request that Nagle's algorithm holds back is read before the connection ends with an answer") {
    constexpr int kExchanges = 32;  // until the system delays acknowledgements to send them with a response
    ManagedConnections managed;
    managed.respond = true;
    Wire client = Wire::to(managed.manager.port());
    for (int i = 1; i <= kExchanges; ++i) {
        client.send("x.");
        managed.until([&] { return managed.received.size() == static_cast<std::size_t>(2 * i); });
        CHECK(client.bytes(7) == "answer ");
    }
    client.send("a");
    managed.until([&] { return managed.received.ends_with("a"); });
    managed.manager.set_draining(true);
    client.send("b");
    managed.manager.write_last_response(*managed.accepted[0], "last");
    CHECK(managed.closed == 0);
    managed.until([&] { return managed.received.ends_with("ab"); });
}

// Guards against closing a half-closed connection after 0.5 s although its last response is still being sent:
// the client's next bytes would reset it, and the rest of the response would be lost.
TEST_CASE("the last answer of a connection that has ended reaches a client that reads slowly") {
    constexpr auto kLongerThanHalfClosedTimeout = std::chrono::milliseconds(700);
    ManagedConnections managed;
    Wire client = managed.closed_after_large_response();
    const auto end = std::chrono::steady_clock::now() + kLongerThanHalfClosedTimeout;
    managed.until([&] { return std::chrono::steady_clock::now() >= end; });
    client.send("b.");
    CHECK(client.ends_in_order());
    CHECK(client.bytes(kLargeResponse.size()) == kLargeResponse);
}

// Guards against the same when a half-closed connection is evicted to make room.
TEST_CASE("who was sent away makes no room while its last answer is on its way") {
    ManagedConnections managed;
    Wire slow = managed.closed_after_large_response();
    std::vector<Wire> idle;
    for (int i = 1; i < 8; ++i) {
        idle.push_back(Wire::to(managed.manager.port()));
        idle.back().send(".");
        managed.until([&] { return managed.received.size() == 2 + static_cast<std::size_t>(i); });
    }
    Wire newcomer = Wire::to(managed.manager.port());
    newcomer.send("new.");
    managed.until([&] { return managed.received.ends_with("new."); });
    slow.send("b.");
    CHECK(slow.ends_in_order());
    CHECK(slow.bytes(kLargeResponse.size()) == kLargeResponse);
}

// Guards against half-closed connections that keep their descriptors until the client has closed, while a new
// client needs one now.
TEST_CASE("who was sent away makes room at once for who comes") {
    ManagedConnections managed;
    std::vector<Wire> old;
    for (int i = 0; i < 8; ++i) old.push_back(Wire::to(managed.manager.port()));
    for (Wire& client : old) client.send(".");
    managed.until([&] { return managed.received.size() == 8; });
    managed.manager.set_draining(true);
    managed.manager.set_draining(false);
    REQUIRE(managed.manager.connection_count() == 8);
    Wire newcomer = Wire::to(managed.manager.port());
    newcomer.send("new.");
    managed.until([&] { return managed.received.ends_with("new."); });
    CHECK(managed.manager.connection_count() == 8);  // the others are still half-closed
}

// Guards against the end of a drain in which all that clients at full speed have sent is read at once, while
// nothing else runs.
TEST_CASE("the end of a drain reads what has arrived within a time budget") {
    ManagedConnections managed;
    managed.nanoseconds_per_byte = 200;
    std::vector<Wire> clients;
    for (int i = 0; i < 8; ++i) clients.push_back(Wire::to(managed.manager.port()));
    managed.until([&] { return managed.accepted.size() == clients.size(); });
    for (Wire& client : clients) client.send("a.");
    managed.until([&] { return managed.manager.count(net::ConnectionState::idle) == clients.size(); });
    const std::string requests(2'000'000, '.');
    for (const Wire& client : clients) ::send(client.fd(), requests.data(), requests.size(), MSG_DONTWAIT);
    const net::Micros began = managed.loop.clock().now() - sumackeel::admin::DrainSchedule::kForceAfter;
    managed.manager.set_drain(sumackeel::admin::DrainSchedule(began));
    managed.manager.set_draining(true);
    managed.until([&] { return managed.closed == static_cast<int>(clients.size()); });
    CHECK(managed.loop.clock().now() <= began + sumackeel::admin::DrainSchedule::kEndAfter);
    constexpr net::Micros kMaxProcessing = 100'000;
    CHECK(managed.loop.metrics().longest_processing <= kMaxProcessing);
}
