// Stories of clients' connections and of what crosses their ends, on a connection manager whose loop the test
// runs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <netinet/tcp.h>

#include <functional>

#include "net/connection_manager.h"
#include "support.h"

using namespace story;
namespace net = sumackeel::net;

namespace {

// An answer that waits at the proxy for the most part where its client's receive buffer is small.
const std::string kLargeAnswer(200'000, 'x');
constexpr int kSmallWindow = 4'096;  // bytes

// A connection manager with real connections. The test alone runs its loop, so that what crosses does so
// exactly when it is said.
struct ManagedConnections {
    struct RecordingConnection : net::ClientConnection {
        ManagedConnections& managed;
        explicit RecordingConnection(ManagedConnections& h) : managed(h) { managed.accepted.push_back(this); }
        void on_data(net::Stream&, std::string_view bytes) override {
            managed.received += bytes;
            if (managed.answers)
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
    std::function<void()> on_first_closed;
    bool answers = false;   // each '.' read with a write of its own
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

    // The client of a connection that has ended behind an answer, of which the most is still at the proxy.
    Wire ended_behind_large_answer() {
        Wire client = Wire::to(manager.port(), kSmallWindow);
        client.send("a.");
        until([&] { return received == "a."; });
        accepted[0]->stream()->write(kLargeAnswer);
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

// Guards: a listener that closes resets who has connected and sent a request, and was not accepted yet.
TEST_CASE("who waits in the listener's queue when it closes is taken first") {
    ManagedConnections managed;
    Wire waiting = Wire::to(managed.manager.port()), behind = Wire::to(managed.manager.port());
    waiting.send("a."), behind.send("b.");
    managed.manager.stop_listening(false);
    managed.until([&] { return managed.received.size() == 4; });
    CHECK(managed.closed == 0);
    CHECK_THROWS(Wire::to(managed.manager.port()));
}

// Guards: where another process listens on the same socket, the queue is that one's.
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

// Guards: a close over bytes that were not read resets the connection, and takes with it what the client had
// not read so far. A connection is half-closed, what crosses is thrown away, and it ends when the client has.
TEST_CASE("a request that crosses the end of a resting connection resets nothing and is not read") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    managed.accepted[0]->stream()->write("answer");
    managed.manager.set_draining(true);
    managed.until([&] { return client.readable(); });
    client.send("b.");  // crosses: the end is on its way already
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

// Guards: between the last look for unread bytes and the end on the wire a request may come, which is then
// lost. libuv half-closes in a later turn; a process that is stopped in between ends over what came
// meanwhile.
TEST_CASE("the end is on its way at once, in the call that decided it") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    managed.manager.set_draining(true);  // and no turn of the loop
    CHECK(client.ends_in_order());
    client.close();
    managed.until([&] { return managed.manager.connection_count() == 0; });
}

// Guards: bytes that have come are a request, also while nobody has read them.
TEST_CASE("a resting connection with unread bytes is not ended, nor is half a request") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port()), half = Wire::to(managed.manager.port());
    client.send("a."), half.send("b");
    managed.until([&] { return managed.received.size() == 3; });
    client.send("c.");
    REQUIRE(managed.manager.has_pending_input());
    managed.manager.set_draining(true);
    managed.manager.close_all_idle();
    CHECK(managed.closed == 0);
    managed.until([&] { return managed.received.ends_with("c."); });
    CHECK(managed.closed == 1);  // it rests, and is sent away
    CHECK(managed.manager.has_pending_input());
    half.send(".");
    managed.until([&] { return managed.closed == 2; });
    CHECK_FALSE(managed.manager.has_pending_input());
}

// Guards: all resting connections were looked at first and ended afterwards, over what came in between.
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

// Guards: a connection whose time for a request was over was ended over a request that had come whole.
TEST_CASE("a request that comes whole as its time ends is read, half a one does not stay") {
    constexpr net::Micros kRequestTimeout = 50'000;
    for (const std::string text : {"b.", "b"}) {
        CAPTURE(text);
        ManagedConnections managed(kRequestTimeout);
        Wire first = Wire::to(managed.manager.port()), second = Wire::to(managed.manager.port());
        managed.until([&] { return managed.accepted.size() == 2; });
        managed.on_first_closed = [&] { second.send(text); };
        managed.until([&] { return managed.received == text; });
        const bool whole = text.ends_with('.');
        CHECK(managed.manager.count(net::ConnectionState::idle) == (whole ? 1 : 0));
        if (!whole) managed.until([&] { return managed.closed == 2; });
        CHECK(managed.manager.discard_metrics().at_half_close == 0);
    }
}

// Guards: a client that never stops sending holds its connection by what is unread at each look.
TEST_CASE("a client that goes on sending parts of a request is ended in time") {
    constexpr net::Micros kRequestTimeout = 50'000;
    ManagedConnections managed(kRequestTimeout);
    Wire first = Wire::to(managed.manager.port()), dribbling = Wire::to(managed.manager.port());
    managed.until([&] { return managed.accepted.size() == 2; });
    dribbling.send("b");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    managed.until([&] {
        if (managed.closed < 2) dribbling.send("b");
        return managed.closed == 2;
    });
    CHECK(std::chrono::steady_clock::now() < end);
}

// Guards: the system sends no more answers than the client has acknowledged room for, so the answers to what
// was read last kept their connection from its end, at one look after another.
TEST_CASE("a client that has many requests open is ended at the first look that the end of a drain takes") {
    using sumackeel::admin::DrainSchedule;
    constexpr net::Micros kRequestTimeout = 50'000;
    constexpr int kRequests = 40;  // the system sends ten answers before it hears of the client
    ManagedConnections managed(kRequestTimeout);
    managed.answers = true;
    Wire asking = Wire::to(managed.manager.port()), silent = Wire::to(managed.manager.port());
    asking.send("a.");
    std::string requests;
    for (int i = 0; i < kRequests; ++i) requests += "b.";
    // In the same look at the timeouts, ahead of the idle ones.
    managed.on_first_closed = [&] {
        asking.send(requests);
        managed.manager.set_drain(DrainSchedule(managed.loop.clock().now() - 2 * DrainSchedule::kForceAfter));
        managed.manager.set_draining(true);
        CHECK(managed.closed == 1);
    };
    managed.until([&] { return managed.closed >= 1; });
    CHECK(managed.closed == 2);
    CHECK(asking.rest().size() == (1 + kRequests) * std::string("answer ").size());
}

// Guards: a client with overlapping requests had an earlier answer just now, and its next request crossed the
// end that came behind the last one.
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
        const net::Micros began = managed.loop.clock().now();
        draining(managed, client);
        managed.until([&] { return managed.closed == 1; });
        CHECK(managed.loop.clock().now() - began >= kShort);
    }
}

// Guards: what came while a connection's end was tried and given up was dropped, and the connection then
// ended before its client had sent it again.
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

// Guards: the process stands still between the start of a connection's end and the end; a request that came
// in between was dropped, and the connection ended over it.
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

// Guards: what counts as dropped puts a connection's end off, and acknowledgements would count.
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

// Guards: an end that was given up with nothing dropped stayed untried for the time of a retransmission.
TEST_CASE("behind a receive block that dropped nothing the next end is not put off") {
    ManagedConnections managed;
    Wire client = Wire::to(managed.manager.port());
    client.send("a.");
    managed.until([&] { return managed.received == "a."; });
    { const net::Stream::ReceiveBlock block(*managed.accepted[0]->stream()); }
    managed.manager.set_draining(true);
    CHECK(managed.closed == 1);
}

// Guards: a client's system held a second request back until the first was acknowledged, and heard of that
// with the end behind the first one's answer.
TEST_CASE("a request that Nagle's algorithm holds back is read before the connection ends with an answer") {
    constexpr int kExchanges = 32;  // until the system waits for an answer to acknowledge a request with
    ManagedConnections managed;
    managed.answers = true;
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

// Guards: a connection that had ended was closed 0.5 s later, also where its last answer was still on its
// way. What its client sent next reset it, and the answer's rest was lost.
TEST_CASE("the last answer of a connection that has ended reaches a client that reads slowly") {
    constexpr auto kBeyondHalfClosed = std::chrono::milliseconds(700);
    ManagedConnections managed;
    Wire client = managed.ended_behind_large_answer();
    const auto end = std::chrono::steady_clock::now() + kBeyondHalfClosed;
    managed.until([&] { return std::chrono::steady_clock::now() >= end; });
    client.send("b.");
    CHECK(client.ends_in_order());
    CHECK(client.bytes(kLargeAnswer.size()) == kLargeAnswer);
}

// Guards: the same where it was closed to make room.
TEST_CASE("who was sent away makes no room while its last answer is on its way") {
    ManagedConnections managed;
    Wire slow = managed.ended_behind_large_answer();
    std::vector<Wire> resting;
    for (int i = 1; i < 8; ++i) {
        resting.push_back(Wire::to(managed.manager.port()));
        resting.back().send(".");
        managed.until([&] { return managed.received.size() == 2 + static_cast<std::size_t>(i); });
    }
    Wire fresh = Wire::to(managed.manager.port());
    fresh.send("new.");
    managed.until([&] { return managed.received.ends_with("new."); });
    slow.send("b.");
    CHECK(slow.ends_in_order());
    CHECK(slow.bytes(kLargeAnswer.size()) == kLargeAnswer);
}

// Guards: one that was sent away holds a descriptor until it has ended too; a client that comes needs it now.
TEST_CASE("who was sent away makes room at once for who comes") {
    ManagedConnections managed;
    std::vector<Wire> old;
    for (int i = 0; i < 8; ++i) old.push_back(Wire::to(managed.manager.port()));
    for (Wire& one : old) one.send(".");
    managed.until([&] { return managed.received.size() == 8; });
    managed.manager.set_draining(true);
    managed.manager.set_draining(false);
    REQUIRE(managed.manager.connection_count() == 8);
    Wire fresh = Wire::to(managed.manager.port());
    fresh.send("new.");
    managed.until([&] { return managed.received.ends_with("new."); });
    CHECK(managed.manager.connection_count() == 8);  // the others are still about to leave
}
