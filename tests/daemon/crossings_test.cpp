// Stories of two events that cross, forced by scripted peers (docs/design/crossings.md lists the pairs).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>

#include <algorithm>

#include "daemon/shutdown_deadline.h"
#include "discovery/discovery_watch.h"
#include "support.h"

using namespace story;

namespace {

// Connections may take long to come up: what waits for one waits for seconds.
std::string patient(std::string config) {
    config = with(std::move(config), R"("connect_timeout":400000)", R"("connect_timeout":3000000)");
    return with(std::move(config), R"("drain_grace":2000000)", R"("drain_grace":8000000)");
}

// `enrol` is a keyed class: its repeats are dropped for `window_ms`.
std::string keyed(std::string config, int window_ms) {
    return with(std::move(config), R"("semantics":"fragile")",
                R"("semantics":"dedup","group":"all","window":)" + std::to_string(window_ms) + "000");
}

Fields with_key(Fields fields, const std::string& key) {
    fields["opkey"] = key;
    return fields;
}

constexpr const char* kKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

// A large object: its attempts are borne with for longer than a connection takes to come up.
Fields large(Fields fields) {
    fields["need"] = "6000";
    return fields;
}

// The daemon has worked off what reached it before this: the first answer comes in the turn of its loop that
// reads it, at whose end all is sent; the second comes in a later one.
void round_trip(Wire& client, int seqid) {
    for (int i = 0; i < 2; ++i) {
        client.send(alive(seqid));
        REQUIRE(read_reply(client).seqid == seqid);
    }
}

}  // namespace

// ---- a client that leaves, and a connection that comes up ----

// Guards: the first of two requests for one object leads its fill, and the module lets a leader's attempt go
// on for the others' sake. One that still waited for its connection was then sent up to a second after its
// client had gone, and reached a cache for nobody.
TEST_CASE("what waits for a connection is not sent once its client has left") {
    OneCache fleet;
    fleet.cache.clog();
    Daemon daemon(WithConfig{patient(config_text(fleet.hosts()))}, {});
    Wire leaver = Wire::to(daemon.port()), stayer = Wire::to(daemon.port());
    leaver.send(dispatch(1, large(read("sheet", "00000000000000a1", 6000))));
    round_trip(leaver, 2);
    stayer.send(dispatch(1, large(read("sheet", "00000000000000b1", 6000))));
    round_trip(stayer, 2);
    SUBCASE("cancelled") {
        leaver.send(cancel(3, 1));
        round_trip(leaver, 4);
    }
    SUBCASE("closed") {
        leaver.finish();
    }
    fleet.cache.unclog();
    // Both calls are repeated about now; the leader's was first.
    Wire first = fleet.cache.accept(), second = fleet.cache.accept();
    const bool by_first = ready(first.fd(), 200) || !ready(second.fd(), kBoundMs);
    Wire& used = by_first ? first : second;
    const Req req = read_req(used);
    CHECK(req.id == "00000000000000b1");
    used.send(done(req.id, "ok"));
    CHECK(body(read_reply(stayer)) == "ok");
    CHECK((by_first ? second : first).quiet());
}

// Guards: what waits for a connection is sent when that comes up, and the cache may have been told to drain
// long before. However long the settings let a connection take, half of the grace for drains is the most.
TEST_CASE("a connection that comes up after half of the grace for drains carries nothing") {
    TwoCaches fleet;
    std::string text = patient(config_text(fleet.hosts()));
    text = with(text, R"("drain_grace":8000000)", R"("drain_grace":400000)");
    Daemon daemon(WithConfig{text}, {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, large(read("sheet", "00000000000000a1", 8000))));
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
        dispatch(2, large(read("sheet", "00000000000000a2", 8000))));  // the same object: the same choice
    round_trip(client, 3);
    first.unclog();  // its connection would come up when the call is repeated, a second from now
    Peer& next = first_called({&fleet.a, &fleet.b, &fleet.parent});
    CHECK(&next != &first);
    CHECK(read_req(*std::make_unique<Wire>(next.accept())).id == "00000000000000a2");
}

// ---- keyed classes ----

// Guards: the origin drops repeats by the client's key alone. Without it on the wire a second attempt runs
// twice.
TEST_CASE("a keyed request carries its client's key on each attempt, and none goes out without") {
    TwoCaches fleet;
    Daemon daemon(WithConfig{keyed(config_text(fleet.hosts()), 5000)}, {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, with_key(read("enrol", "00000000000000e1"), kKey), "form"));
    Peer& first = first_called({&fleet.a, &fleet.b});
    Wire cache = first.accept();
    CHECK(read_req(cache).fields.at("nonce") == kKey);
    cache.reset();  // it may have run; a repeat under the key is dropped
    Wire other = (&first == &fleet.a ? fleet.b : fleet.a).accept();
    const Req again = read_req(other);
    CHECK(again.id == "00000000000000e1");
    CHECK(again.fields.at("nonce") == kKey);
    CHECK(again.body == "form");
    other.send(again.id + " DONE - 0\r\n\r\n");
    CHECK(read_reply(client).place == 0);

    int seqid = 1;
    const std::string too_long(65, 'a');
    for (const std::string& bad :
         {std::string{}, std::string("a b"), std::string("a,b=c"), std::string("a\r\n"), too_long}) {
        client.send(dispatch(++seqid, with_key(read("enrol", "00000000000000e2"), bad)));
        CHECK(read_reply(client).place == 2);
    }
    client.send(dispatch(++seqid, read("enrol", "00000000000000e3")));
    CHECK(read_reply(client).place == 2);
    // Where the class has no key, none goes on.
    client.send(dispatch(++seqid, with_key(read("sheet", "00000000000000a1"), kKey)));
    Wire third = first_called({&fleet.a, &fleet.b}).accept();
    const Req plain = read_req(third);
    CHECK_FALSE(plain.fields.contains("nonce"));
    third.send(plain.id + " DONE - 2\r\nok\r\n");
    CHECK(read_reply(client).place == 0);
}

// Guards: past the window the origin no longer knows the key, and a repeat runs a second time.
TEST_CASE("a keyed request goes out again within its window and not behind it") {
    TwoCaches fleet;
    Daemon daemon(WithConfig{patient(keyed(config_text(fleet.hosts()), 600))}, {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, with_key(large(read("enrol", "00000000000000e1", 6000)), kKey)));
    Peer& first = first_called({&fleet.a, &fleet.b});
    Peer& second = &first == &fleet.a ? fleet.b : fleet.a;
    Wire cache = first.accept();
    read_req(cache);
    SUBCASE("broken off behind the window") {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));  // the window itself is what passes
        cache.reset();
        CHECK(read_reply(client).place != 0);
    }
    // Called within the window, the second cache's connection comes up a second later.
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

// ---- one name used again ----

// Guards: a cache answers by the request's name. A second client under the name of one that was given up
// would get the first one's bytes, if they shared the connection.
TEST_CASE("a name used again after it was given up does not meet the first one's late answer") {
    OneCache fleet;
    std::string text = config_text(fleet.hosts());
    text = with(text, R"("report")", R"("prices":{"handshake":0.9},"report")");  // so that requests share
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

// Guards: half a line that comes on a resting connection would be read as the head of the next answer there.
TEST_CASE("a resting connection on which half a line came carries no further request") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire client = Wire::to(daemon.port());
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
    CHECK(cache.rest().empty());  // it is closed, with nothing more sent on it
}

// ---- ends ----

// Guards: the platform kills 0.7 s after the longest deadline; where all are short that is long before 3.7 s.
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
        // Requests come for 0.6 s: the last of them has its own deadline, or 2.3 s.
        CHECK(ending.final_responses >= std::min(600'000 + deadline_ms * 1000 - 100'000, 2'900'000));
    }
}

// ---- floods ----

// Guards: answers to whoever asks and never reads would take the memory in a moment; all other clients die of
// it.
TEST_CASE("a client that asks without end and reads nothing is not read any further") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire flood = Wire::to(daemon.port(), 4096);
    std::string calls;
    for (int i = 0; i < 4096; ++i) calls += alive(1);
    fcntl(flood.fd(), F_SETFL, O_NONBLOCK);
    // Until nothing more is taken for a second, while it is still borne with; or it is let go.
    constexpr std::size_t kFar = 64u << 20;  // several times what all buffers on the way hold
    bool taken = true, there = true;
    for (std::size_t at = 0, all = 0; taken && there && all < kFar;) {
        const ssize_t sent = ::send(flood.fd(), calls.data() + at, calls.size() - at, MSG_NOSIGNAL);
        if (sent > 0) {
            at = (at + static_cast<std::size_t>(sent)) % calls.size();
            all += static_cast<std::size_t>(sent);
        }
        pollfd room{flood.fd(), POLLOUT, 0};
        taken = poll(&room, 1, 1000) == 1;
        there = !(room.revents & (POLLERR | POLLHUP));
    }
    CHECK_FALSE(taken);
    CHECK(there);
    Wire honest = Wire::to(daemon.port());
    round_trip(honest, 1);
}

// Guards: a client that is slow to read has its connection not read either, and what it cancels was not
// heard: attempts for it went on.
TEST_CASE("a cancellation is heard though the client has many answers to read") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire client = Wire::to(daemon.port(), 4096);
    Fields patient_one = read("sheet", "00000000000000a1", 20'000);
    patient_one["need"] = "40000";  // its attempt is not given up by itself before
    client.send(dispatch(1, patient_one));
    Wire held = fleet.cache.accept();
    REQUIRE(read_req(held).id == "00000000000000a1");
    const std::string big(240'000, 'x');
    // More than every buffer on the way takes, and than one client may leave unread; what it sends then is
    // refused.
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
    CHECK(held.line() == "STOP 00000000000000a1");
}

// Guards: one client that floods, and those that write slowly, must not keep others from their answers.
TEST_CASE("beside a flood a request that comes a few bytes at a time is answered") {
    OneCache fleet;
    Daemon daemon(fleet.hosts());
    Wire flood = Wire::to(daemon.port(), 4096), other = Wire::to(daemon.port()),
         slow = Wire::to(daemon.port());
    std::string calls;
    for (int i = 0; i < 4096; ++i) calls += alive(1);
    fcntl(flood.fd(), F_SETFL, O_NONBLOCK);
    std::size_t at = 0;
    const std::string text = dispatch(1, read("sheet", "00000000000000a1"));
    constexpr std::size_t kPiece = 16;
    for (std::size_t from = 0; from < text.size(); from += kPiece) {
        const ssize_t sent = ::send(flood.fd(), calls.data() + at, calls.size() - at, MSG_NOSIGNAL);
        if (sent > 0) at = (at + static_cast<std::size_t>(sent)) % calls.size();
        slow.send(text.substr(from, kPiece));
        round_trip(other, 1);
    }
    Wire cache = fleet.cache.accept();
    const Req req = read_req(cache);
    cache.send(done(req.id, "ok"));
    CHECK(body(read_reply(slow)) == "ok");
}

// ---- the change log ----

// Reads of several objects, each of which `one` alone is asked for; the other cache of the fleet is out.
void served_by(Peer& one, TwoCaches& fleet, Wire& client) {
    // The event was on its way before the client was: behind a round trip it has been read.
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

// Guards: a watch that says nothing looks like one with nothing to say. It is called anew, as often as it
// takes.
TEST_CASE("a watch that fell silent is called anew, and the drain told then holds") {
    TwoCaches fleet;
    Peer log;
    Daemon daemon(fleet.hosts(), log.address());
    std::string behind, drain;
    Wire first = follow(log, behind);  // and not a byte more
    SUBCASE("by a change") {
        drain = story::fleet(2, false, {host("s-a", fleet.a, "edge-1", "small", "DRAINING")});
    }
    SUBCASE("by a whole list that no longer names it") {
        drain = story::fleet(
            2, true,
            {host("s-b", fleet.b, "edge-1", "small"), host("s-parent", fleet.parent, "coast", "parent"),
             host("s-origin", fleet.origin, "coast", "origin")});
    }
    Wire second = follow(log, behind, "data: " + drain + "\n\n");
    CHECK(first.rest().empty());
    Wire client = Wire::to(daemon.port());
    served_by(fleet.b, fleet, client);
}

// Guards: what the new change log tells right behind a reload counts as told, whatever the old one still
// says.
TEST_CASE("a drain right behind a reload holds") {
    TwoCaches fleet;
    Peer old_log, new_log;
    const Folder folder;
    const std::string file = folder.write("config.json", config_text(fleet.hosts(), old_log.address()));
    Daemon daemon(fleet.hosts(), old_log.address(), {}, {file, {}, {}});
    std::string behind;
    Wire first = follow(old_log, behind);
    folder.write("config.json", config_text(fleet.hosts(), new_log.address()));
    daemon.reload();
    Wire second = follow(
        new_log, behind,
        "data: " + story::fleet(2, false, {host("s-a", fleet.a, "edge-1", "small", "DRAINING")}) + "\n\n");
    Wire client = Wire::to(daemon.port());
    served_by(fleet.b, fleet, client);
}

// Guards: a cache that is killed in the moment in which it has accepted may have read nothing or all.
TEST_CASE("a cache killed right after its accept: a read goes elsewhere, what must not run twice does not") {
    TwoCaches fleet;
    Daemon daemon(fleet.hosts());
    Wire client = Wire::to(daemon.port());
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
    REQUIRE(ready(killed.fd(), kBoundMs));  // written, not read
    killed.reset();
    CHECK(read_reply(client).place == 2);
    CHECK_FALSE(fleet.a.called());
    CHECK_FALSE(fleet.b.called());
}

// ---- what the change log may look like ----

// Guards: a stream of events that is over, on a connection that stays open, told nothing more for 2.5 s.
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
            std::vector<std::string> told;
            sumackeel::discovery::EventStreamReader reader(
                [&](const std::string& data) { told.push_back(data); });
            reader.append(text.substr(0, cut));
            reader.append(text.substr(cut));
            CHECK(told == std::vector<std::string>{"{\"a\":1,\n\"b\":2}", ""});
        }
    }
}
