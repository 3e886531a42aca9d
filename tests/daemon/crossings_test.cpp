// Tests of pairs of concurrent events, forced by scripted peers (docs/design/crossings.md lists the pairs).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>

#include <algorithm>

#include "daemon/shutdown_deadline.h"
#include "discovery/discovery_watch.h"
#include "support.h"

using namespace story;

namespace {

// Raises the connect timeout to 3 s and the drain grace to 8 s, for tests that wait for a slow connection.
std::string with_long_timeouts(std::string config) {
    config = with(std::move(config), R"("connect_timeout":400000)", R"("connect_timeout":3000000)");
    return with(std::move(config), R"("drain_grace":2000000)", R"("drain_grace":8000000)");
}

// Makes `enrol` a keyed class, whose duplicates are dropped for `window_ms`.
std::string with_dedup_window(std::string config, int window_ms) {
    return with(std::move(config), R"("semantics":"fragile")",
                R"("semantics":"dedup","group":"all","window":)" + std::to_string(window_ms) + "000");
}

Fields with_operation_key(Fields fields, const std::string& key) {
    fields["opkey"] = key;
    return fields;
}

constexpr const char* kOperationKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

// A large object: its attempts time out later than a slow connection takes to come up.
Fields large_object(Fields fields) {
    fields["need"] = "6000";
    return fields;
}

// Returns once the daemon has processed everything it received before. The first reply comes in the event
// loop iteration that reads the input, and output is flushed at the end of that iteration; the second reply
// comes in a later one.
void round_trip(Wire& client, int seqid) {
    for (int i = 0; i < 2; ++i) {
        client.send(alive(seqid));
        REQUIRE(read_reply(client).seqid == seqid);
    }
}

}  // namespace

// ---- a client that leaves, and a connection that comes up ----

// Guards: the first of two requests for one object leads its fill, and the leader's attempt is kept for the
// requests that joined it. An attempt still waiting for its connection was sent up to a second after its
// client had left, although no client needed it.
TEST_CASE("what waits for a connection is not sent once its client has left") {
    OneCache fleet;
    fleet.cache.clog();
    Daemon daemon(WithConfig{with_long_timeouts(config_text(fleet.hosts()))}, {});
    Wire leaving = Wire::to(daemon.port()), remaining = Wire::to(daemon.port());
    leaving.send(dispatch(1, large_object(read("sheet", "00000000000000a1", 6000))));
    round_trip(leaving, 2);
    remaining.send(dispatch(1, large_object(read("sheet", "00000000000000b1", 6000))));
    round_trip(remaining, 2);
    SUBCASE("cancelled") {
        leaving.send(cancel(3, 1));
        round_trip(leaving, 4);
    }
    SUBCASE("closed") {
        leaving.finish();
    }
    fleet.cache.unclog();
    // Both connection attempts are retransmitted at about this time, the leader's first.
    Wire first = fleet.cache.accept(), second = fleet.cache.accept();
    const bool first_used = ready(first.fd(), 200) || !ready(second.fd(), kBoundMs);
    Wire& used = first_used ? first : second;
    const Req req = read_req(used);
    CHECK(req.id == "00000000000000b1");
    used.send(done(req.id, "ok"));
    CHECK(body(read_reply(remaining)) == "ok");
    CHECK((first_used ? second : first).quiet());
}

// Guards: a request that waits for a connection is sent when the connection comes up, possibly long after
// the cache was told to drain. Whatever the connect timeout is, the wait is limited to half of the drain
// grace.
TEST_CASE("a connection that comes up after half of the grace for drains carries nothing") {
    TwoCaches fleet;
    std::string text = with_long_timeouts(config_text(fleet.hosts()));
    text = with(text, R"("drain_grace":8000000)", R"("drain_grace":400000)");
    Daemon daemon(WithConfig{text}, {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, large_object(read("sheet", "00000000000000a1", 8000))));
    Peer& first = first_called({&fleet.a, &fleet.b});
    {
        Wire cache = first.accept();
        const Req req = read_req(cache);
        cache.send(done(req.id, "ok"));
        CHECK(read_reply(client).place == 0);
        cache.finish();
    }
    first.clog();
    client.send(
        dispatch(2, large_object(read("sheet", "00000000000000a2", 8000))));  // same object, so same cache
    round_trip(client, 3);
    first.unclog();  // the connection would come up when the SYN is retransmitted, a second from now
    Peer& next = first_called({&fleet.a, &fleet.b, &fleet.parent});
    CHECK(&next != &first);
    CHECK(read_req(*std::make_unique<Wire>(next.accept())).id == "00000000000000a2");
}

// ---- keyed classes ----

// Guards: the origin detects duplicates by the client's key alone. If an attempt does not carry the key, a
// second attempt is executed twice.
TEST_CASE("a keyed request carries its client's key on each attempt, and none goes out without") {
    TwoCaches fleet;
    Daemon daemon(WithConfig{with_dedup_window(config_text(fleet.hosts()), 5000)}, {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, with_operation_key(read("enrol", "00000000000000e1"), kOperationKey), "form"));
    Peer& first = first_called({&fleet.a, &fleet.b});
    Wire cache = first.accept();
    CHECK(read_req(cache).fields.at("nonce") == kOperationKey);
    cache.reset();  // the request may have been executed; a retry under the same key is dropped
    Wire other = (&first == &fleet.a ? fleet.b : fleet.a).accept();
    const Req again = read_req(other);
    CHECK(again.id == "00000000000000e1");
    CHECK(again.fields.at("nonce") == kOperationKey);
    CHECK(again.body == "form");
    other.send(again.id + " DONE - 0\r\n\r\n");
    CHECK(read_reply(client).place == 0);

    int seqid = 1;
    const std::string too_long(65, 'a');
    for (const std::string& bad :
         {std::string{}, std::string("a b"), std::string("a,b=c"), std::string("a\r\n"), too_long}) {
        client.send(dispatch(++seqid, with_operation_key(read("enrol", "00000000000000e2"), bad)));
        CHECK(read_reply(client).place == 2);
    }
    client.send(dispatch(++seqid, read("enrol", "00000000000000e3")));
    CHECK(read_reply(client).place == 2);
    // The key is not forwarded for a class that is not keyed.
    client.send(dispatch(++seqid, with_operation_key(read("sheet", "00000000000000a1"), kOperationKey)));
    Wire third = first_called({&fleet.a, &fleet.b}).accept();
    const Req plain = read_req(third);
    CHECK_FALSE(plain.fields.contains("nonce"));
    third.send(plain.id + " DONE - 2\r\nok\r\n");
    CHECK(read_reply(client).place == 0);
}

// Guards: after the window the origin has forgotten the key, and a retry is executed a second time.
TEST_CASE("a keyed request goes out again within its window and not behind it") {
    TwoCaches fleet;
    Daemon daemon(WithConfig{with_long_timeouts(with_dedup_window(config_text(fleet.hosts()), 600))}, {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(
        1, with_operation_key(large_object(read("enrol", "00000000000000e1", 6000)), kOperationKey)));
    Peer& first = first_called({&fleet.a, &fleet.b});
    Peer& second = &first == &fleet.a ? fleet.b : fleet.a;
    Wire cache = first.accept();
    read_req(cache);
    SUBCASE("broken off behind the window") {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));  // waits until the window has passed
        cache.reset();
        CHECK(read_reply(client).place != 0);
    }
    // The connection to the second cache is started within the window and comes up a second later.
    SUBCASE("the connection for the repeat comes up behind the window") {
        second.clog();
        cache.reset();
        round_trip(client, 2);
        second.unclog();
        Wire late = second.accept();
        CHECK(read_reply(client).place != 0);
        CHECK(late.quiet());
    }
    CHECK_FALSE(second.called());
}

// ---- a reused request id ----

// Guards: a cache matches responses to requests by the request id. A second client that reuses the id of a
// cancelled request would get the first one's body if both shared a connection.
TEST_CASE("a name used again after it was given up does not meet the first one's late answer") {
    OneCache fleet;
    std::string text = config_text(fleet.hosts());
    text = with(text, R"("report")",
                R"("prices":{"handshake":0.9},"report")");  // lets requests share a connection
    Daemon daemon(WithConfig{text}, {});
    Wire one = Wire::to(daemon.port()), two = Wire::to(daemon.port());
    one.send(dispatch(1, read("sheet", "00000000000000a1")));
    Wire cache = fleet.cache.accept();
    REQUIRE(read_req(cache).id == "00000000000000a1");
    one.send(cancel(2, 1));
    REQUIRE(cache.line() == "STOP 00000000000000a1");
    Fields other = read("sheet", "00000000000000a1");
    other["subject"] = "7f3a9c21e0b4d656";
    two.send(dispatch(1, other));
    round_trip(two, 2);
    cache.send(done("00000000000000a1", "first"));
    Wire fresh = fleet.cache.accept();
    const Req req = read_req(fresh);
    CHECK(req.fields.at("item") == "7f3a9c21e0b4d656");
    fresh.send(done(req.id, "second"));
    CHECK(body(read_reply(two)) == "second");
}

// Guards: a partial line received on an idle connection would be read as the head of the next response on
// it.
TEST_CASE_FIXTURE(Served<OneCache>,
                  "a resting connection on which half a line came carries no further request") {
    client.send(dispatch(1, read("sheet", "00000000000000a1")));
    Wire cache = fleet.cache.accept();
    read_req(cache);
    cache.send("00000000000000a1 DONE digest=ab12,dated=1764576000123,tell=pulled 2\r\nok\r\n0000");
    CHECK(body(read_reply(client)) == "ok");
    round_trip(client, 2);
    client.send(dispatch(3, read("sheet", "00000000000000a2")));
    Wire fresh = fleet.cache.accept();
    const Req req = read_req(fresh);
    CHECK(req.id == "00000000000000a2");
    fresh.send(req.id + " DONE digest=ab12,dated=1764576000123,tell=local 2\r\nok\r\n");
    CHECK(body(read_reply(client)) == "ok");
    CHECK(cache.rest().empty());  // closed, with nothing more sent on it
}

// ---- shutdown ----

// Guards: the platform kills the process 0.7 s after the longest deadline, which is long before 3.7 s if all
// deadlines are short.
TEST_CASE("a process leaves before it is killed, whatever the settings' deadlines are") {
    using sumackeel::daemon::shutdown_deadlines;
    sumackeel::routing::Settings settings;
    for (const int deadline_ms : {100, 600, 1200, 2900, 3000, 6000, 60'000}) {
        settings.classes.assign(2, {});
        settings.classes[0].deadline = 50'000;
        settings.classes[1].deadline = deadline_ms * 1000;
        const auto ending = shutdown_deadlines(settings);
        const auto killed = std::min(deadline_ms, 3000) * 1000 + 700'000;
        CHECK(ending.final_responses < ending.exit);
        CHECK(ending.exit < killed);
        // Requests arrive for 0.6 s; the last of them has its own deadline, or 2.3 s.
        CHECK(ending.final_responses >= std::min(600'000 + deadline_ms * 1000 - 100'000, 2'900'000));
    }
}

// ---- floods ----

// Guards: buffering responses for a client that never reads would exhaust memory within moments and fail all
// other clients.
TEST_CASE("a client that asks without end and reads nothing is not read any further") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire flood = Wire::to(daemon.port(), 4096);
    std::string requests;
    for (int i = 0; i < 4096; ++i) requests += alive(1);
    fcntl(flood.fd(), F_SETFL, O_NONBLOCK);
    // Sends until the socket accepts nothing for a second while still connected, or until it is closed.
    constexpr std::size_t kMaxBytes = 64u << 20;  // several times the capacity of all buffers on the path
    bool writable = true, connected = true;
    for (std::size_t at = 0, total_bytes = 0; writable && connected && total_bytes < kMaxBytes;) {
        const ssize_t sent = ::send(flood.fd(), requests.data() + at, requests.size() - at, MSG_NOSIGNAL);
        if (sent > 0) {
            at = (at + static_cast<std::size_t>(sent)) % requests.size();
            total_bytes += static_cast<std::size_t>(sent);
        }
        pollfd room{flood.fd(), POLLOUT, 0};
        writable = poll(&room, 1, 1000) == 1;
        connected = !(room.revents & (POLLERR | POLLHUP));
    }
    CHECK_FALSE(writable);
    CHECK(connected);
    Wire normal = Wire::to(daemon.port());
    round_trip(normal, 1);
}

// Guards: the connection of a client that reads slowly was not read either, so its cancellations were not
// processed and attempts for it continued.
TEST_CASE("a cancellation is heard though the client has many answers to read") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire client = Wire::to(daemon.port(), 4096);
    Fields long_request = read("sheet", "00000000000000a1", 20'000);
    long_request["need"] = "40000";  // keeps its attempt from timing out first
    client.send(dispatch(1, long_request));
    Wire open_cache = fleet.cache.accept();
    REQUIRE(read_req(open_cache).id == "00000000000000a1");
    const std::string big(240'000, 'x');
    // More than all buffers on the path hold, and more than one client may leave unread; further requests of
    // this client are refused.
    std::vector<Wire> used;
    for (int i = 2; i < 80; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xb0 + i);
        Fields fields = read("sheet", id, 8000);
        fields["slice"] = std::to_string(100 + i);
        client.send(dispatch(i, fields));
        std::vector<pollfd> waiting{{fleet.cache.fd(), POLLIN, 0}};
        for (const Wire& one : used) waiting.push_back({one.fd(), POLLIN, 0});
        if (poll(waiting.data(), waiting.size(), 500) == 0) break;
        if (waiting[0].revents) used.push_back(fleet.cache.accept());
        const auto at =
            std::find_if(waiting.begin() + 1, waiting.end(), [](const pollfd& p) { return p.revents; });
        Wire& cache =
            at == waiting.end() ? used.back() : used[static_cast<std::size_t>(at - waiting.begin()) - 1];
        const Req req = read_req(cache);
        cache.send(done(req.id, big));
    }
    client.send(cancel(100, 1));
    CHECK(open_cache.line() == "STOP 00000000000000a1");
}

// Guards: a client that floods the proxy, and clients that write slowly, must not block other clients.
TEST_CASE("beside a flood a request that comes a few bytes at a time is answered") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire flood = Wire::to(daemon.port(), 4096), other = Wire::to(daemon.port()),
         slow = Wire::to(daemon.port());
    std::string requests;
    for (int i = 0; i < 4096; ++i) requests += alive(1);
    fcntl(flood.fd(), F_SETFL, O_NONBLOCK);
    std::size_t at = 0;
    const std::string text = dispatch(1, read("sheet", "00000000000000a1"));
    constexpr std::size_t kChunkSize = 16;
    for (std::size_t from = 0; from < text.size(); from += kChunkSize) {
        const ssize_t sent = ::send(flood.fd(), requests.data() + at, requests.size() - at, MSG_NOSIGNAL);
        if (sent > 0) at = (at + static_cast<std::size_t>(sent)) % requests.size();
        slow.send(text.substr(from, kChunkSize));
        round_trip(other, 1);
    }
    Wire cache = fleet.cache.accept();
    const Req req = read_req(cache);
    cache.send(done(req.id, "ok"));
    CHECK(body(read_reply(slow)) == "ok");
}

// ---- the change log ----

// Checks that reads of several objects all go to `one`, because the fleet's other cache is out of service.
void check_served_only_by(Peer& one, TwoCaches& fleet, Wire& client) {
    // The event was sent before the client connected, so it has been read after one round trip.
    round_trip(client, 1);
    for (int i = 0; i < 8; ++i) {
        Fields fields = read("sheet", "00000000000000a" + std::to_string(i));
        fields["subject"] = "7f3a9c21e0b4d65" + std::to_string(i);
        client.send(dispatch(2 + i, fields));
        Peer& asked = first_called({&fleet.a, &fleet.b});
        REQUIRE(&asked == &one);
        Wire cache = asked.accept();
        const Req req = read_req(cache);
        cache.send(done(req.id, "ok"));
        CHECK(body(read_reply(client)) == "ok");
        cache.finish();
    }
}

// Guards: a silent watch connection cannot be told from one without events. It is reconnected as often as
// necessary.
TEST_CASE("a watch that fell silent is called anew, and the drain told then holds") {
    TwoCaches fleet;
    Peer log;
    Daemon daemon(fleet.hosts(), log.address());
    std::string last_event_id, drain;
    Wire first = follow(log, last_event_id);  // sends nothing after the response head
    SUBCASE("by a change") {
        drain = story::fleet(2, false, {host("s-a", fleet.a, "edge-1", "small", "DRAINING")});
    }
    SUBCASE("by a whole list that no longer names it") {
        drain = story::fleet(
            2, true,
            {host("s-b", fleet.b, "edge-1", "small"), host("s-parent", fleet.parent, "coast", "parent"),
             host("s-origin", fleet.origin, "coast", "origin")});
    }
    Wire second = follow(log, last_event_id, "data: " + drain + "\n\n");
    CHECK(first.rest().empty());
    Wire client = Wire::to(daemon.port());
    check_served_only_by(fleet.b, fleet, client);
}

// Guards: an event that the new change log sends right after a reload stays applied, whatever the old change
// log still sends.
TEST_CASE("a drain right behind a reload holds") {
    TwoCaches fleet;
    Peer old_log, new_log;
    const Folder folder;
    const std::string file = folder.write("config.json", config_text(fleet.hosts(), old_log.address()));
    Daemon daemon(fleet.hosts(), old_log.address(), {}, {file, {}, {}});
    std::string last_event_id;
    Wire first = follow(old_log, last_event_id);
    folder.write("config.json", config_text(fleet.hosts(), new_log.address()));
    daemon.reload();
    Wire second = follow(
        new_log, last_event_id,
        "data: " + story::fleet(2, false, {host("s-a", fleet.a, "edge-1", "small", "DRAINING")}) + "\n\n");
    Wire client = Wire::to(daemon.port());
    check_served_only_by(fleet.b, fleet, client);
}

// Guards: a cache that is killed right after accepting a connection may have read nothing or the whole
// request.
TEST_CASE_FIXTURE(
    Served<TwoCaches>,
    "a cache killed right after its accept: a read goes elsewhere, what must not run twice does not") {
    client.send(dispatch(1, read("sheet", "00000000000000a1")));
    Peer& first = first_called({&fleet.a, &fleet.b});
    first.accept().reset();
    Wire cache = (&first == &fleet.a ? fleet.b : fleet.a).accept();
    const Req req = read_req(cache);
    cache.send(done(req.id, "ok"));
    CHECK(body(read_reply(client)) == "ok");
    cache.finish();
    client.send(dispatch(2, read("enrol", "00000000000000e1"), "form"));
    Peer& asked = first_called({&fleet.a, &fleet.b});
    Wire killed = asked.accept();
    REQUIRE(ready(killed.fd(), kBoundMs));  // request sent, but not read
    killed.reset();
    CHECK(read_reply(client).place == 2);
    CHECK_FALSE(fleet.a.called());
    CHECK_FALSE(fleet.b.called());
}

// ---- change log formats ----

// Guards: after an event stream that had ended while its connection stayed open, no event was received for
// 2.5 s.
TEST_CASE("a change log whose answer is over is called again at once") {
    OneCache fleet;
    Peer log;
    Daemon daemon(fleet.hosts(), log.address());
    Wire first = log.accept();
    while (!first.line().empty()) continue;
    first.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n:\n\n\r\n0\r\n\r\n");
    const auto over = std::chrono::steady_clock::now();
    log.accept();
    CHECK(std::chrono::steady_clock::now() - over < std::chrono::milliseconds(2000));
}

TEST_CASE("a change log's lines may end with CR, LF or both, and be cut anywhere") {
    for (const std::string& end : {std::string("\r"), std::string("\n"), std::string("\r\n")}) {
        const std::string text = "\xEF\xBB\xBF: hello" + end + end + "id: 1" + end + "data: {\"a\":1," + end +
                                 "data:\"b\":2}" + end + end + "retry: 10" + end + "data" + end + end;
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            std::vector<std::string> events;
            sumackeel::discovery::EventStreamReader reader(
                [&](const std::string& data) { events.push_back(data); });
            reader.append(text.substr(0, cut));
            reader.append(text.substr(cut));
            CHECK(events == std::vector<std::string>{"{\"a\":1,\n\"b\":2}", ""});
        }
    }
}
