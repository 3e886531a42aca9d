// Stories of the day-to-day service over loopback: the operators' calls, a drain, a ban, the clients' socket
// handed in, and one process replacing another on that socket under a steady loop of requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>

#include "admin/state.h"
#include "support.h"

using namespace story;

namespace {

sumackeel::config::Config with_ops(const std::vector<std::string>& hosts, int inherited = -1,
                                   const std::string& changelog = {}) {
    auto config = sumackeel::config::parse_config(config_text(hosts, changelog));
    config.ops = "127.0.0.1:0";
    config.inherited_fd = inherited;
    return config;
}

// One call to the operators' address: its status, or 0 where none came; the body into `body` if given.
int call(int port, const std::string& method, const std::string& path, std::string* body = nullptr) {
    Wire wire = Wire::to(port);
    wire.send(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
    const std::string all = wire.rest();
    if (body) *body = all.substr(std::min(all.size(), all.find("\r\n\r\n") + 4));
    return all.starts_with("HTTP/1.1 ") ? std::stoi(all.substr(9, 3)) : 0;
}

// Until the proxy says that it is ready: before that it may not have read what was handed over, and no client
// is sent to it.
void wait_until_ready(int ops_port) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (call(ops_port, "GET", "/ops/readiness") != 200) REQUIRE(std::chrono::steady_clock::now() < end);
}

std::string answer_to(const Req& req) {
    return req.id + " DONE digest=ab12,dated=1764576000123,tell=pulled,meter=inflight:1;x1:0.1 2\r\nok\r\n";
}

// A pop cache that answers every request on every connection, each connection in a thread of its own.
class Answering {
  public:
    explicit Answering(Peer& peer) : peer_(peer), accepting_([this] { accept_all(); }) {}
    ~Answering() {
        done_ = true;
        accepting_.join();
        for (std::thread& one : serving_) one.join();
    }
    int requests() const { return requests_; }

  private:
    void accept_all() {
        while (!done_) {
            if (!ready(peer_.fd(), 50)) continue;
            serving_.emplace_back([this, wire = Wire(::accept(peer_.fd(), nullptr, nullptr))]() mutable {
                try {
                    for (;;) {
                        const Req req = read_req(wire);
                        ++requests_;
                        wire.send(answer_to(req));
                    }
                } catch (const std::exception&) {  // closed, or silent for the bound: its story is over
                }
            });
        }
    }
    Peer& peer_;
    std::atomic<bool> done_ = false;
    std::atomic<int> requests_ = 0;
    std::vector<std::thread> serving_;
    std::thread accepting_;
};

Fields read_of(int n) {
    char id[17], subject[17];
    const auto at = static_cast<unsigned>(n);
    std::snprintf(id, sizeof id, "%016x", 0x9b1f0000u + at);
    std::snprintf(subject, sizeof subject, "%016x", 0x7f3a0000u + at * 7919u);
    Fields fields = read("sheet", id);
    fields["subject"] = subject;
    return fields;
}

// Sends `count` reads of objects of their own, one after the other, and checks that each is served.
void served_reads(Wire& client, int count) {
    for (int i = 1; i <= count; ++i) {
        client.send(dispatch(i, read_of(i)));
        CHECK(read_reply(client).place == 0);
    }
}

}  // namespace

TEST_CASE("the operators' calls answer on their own address, each with its yes or no") {
    TwoCaches fleet;
    Folder folder;
    Daemon daemon(with_ops(fleet.hosts()), {{}, {}, folder.path() + "/handover"});
    const int ops = daemon.ops_port();
    wait_until_ready(ops);
    CHECK(call(ops, "POST", "/ops/pop-caches/down/s-a") == 200);
    CHECK(call(ops, "POST", "/ops/pop-caches/down/s-a") == 200);
    CHECK(call(ops, "POST", "/ops/pop-caches/down/s-never-listed") == 404);
    CHECK(call(ops, "POST", "/ops/pop-caches/up/s-a") == 200);
    CHECK(call(ops, "DELETE", "/ops/drain/start") == 405);
    CHECK(call(ops, "GET", "/ops/what") == 404);
    Wire broken = Wire::to(ops);
    broken.send("NOT HTTP AT ALL\r\n\r\n");
    CHECK(broken.rest().starts_with("HTTP/1.1 400"));
}

TEST_CASE("a caller that sends half a call is let go, and the next caller is answered") {
    TwoCaches fleet;
    Daemon daemon(with_ops(fleet.hosts()), {});
    std::vector<Wire> silent;
    for (int i = 0; i < 40; ++i) {  // more than the places of the address
        silent.push_back(Wire::to(daemon.ops_port()));
        if (i % 2) silent.back().send("GET /ops/readi");
    }
    const auto before = std::chrono::steady_clock::now();
    CHECK(call(daemon.ops_port(), "GET", "/ops/readiness") == 200);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::milliseconds(1500));
    CHECK(silent.front().rest().empty());  // closed without an answer
}

TEST_CASE("a banned pop cache is given nothing new until it is put back") {
    TwoCaches fleet;
    Answering b(fleet.b);
    Daemon daemon(with_ops(fleet.hosts()), {});
    REQUIRE(call(daemon.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    Wire client = Wire::to(daemon.port());
    served_reads(client, 12);
    CHECK(b.requests() == 12);
    CHECK_FALSE(fleet.a.called());
}

TEST_CASE("a ban is handed over to the next process through its file") {
    TwoCaches fleet;
    Folder folder;
    const std::string file = folder.path() + "/handover";
    {
        Daemon old(with_ops(fleet.hosts()), {{}, {}, file});
        REQUIRE(call(old.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    }
    Answering b(fleet.b);
    Daemon fresh(with_ops(fleet.hosts()), {{}, {}, file});
    wait_until_ready(fresh.ops_port());
    Wire client = Wire::to(fresh.port());
    served_reads(client, 12);
    CHECK_FALSE(fleet.a.called());
    CHECK(call(fresh.ops_port(), "POST", "/ops/pop-caches/up/s-a") == 200);
}

// Guards: operators call the process before until the platform has heard the next one's yes. A call that came
// in between was in the file of a process that had been read already, and went with it.
TEST_CASE("a ban told to the process before, after its file was read, holds in the next one too") {
    TwoCaches fleet;
    Peer shared;
    Folder folder;
    const std::string file = folder.path() + "/handover";
    Daemon old(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    REQUIRE(call(old.ops_port(), "POST", "/ops/pop-caches/down/s-parent") == 200);
    Daemon fresh(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    wait_until_ready(fresh.ops_port());
    REQUIRE(call(fresh.ops_port(), "POST", "/ops/pop-caches/down/s-b") == 200);
    std::string stats;
    const auto down = [&](int count) {
        call(fresh.ops_port(), "GET", "/ops/stats", &stats);
        return stats.find("gw_pop_caches_down " + std::to_string(count) + "\n") != std::string::npos;
    };
    const auto comes_to = [&](int count) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
        while (!down(count) && std::chrono::steady_clock::now() < end) continue;
        return down(count);
    };
    // s-a and s-parent follow the one before; s-b is this one's own.
    REQUIRE(down(2));
    REQUIRE(call(old.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    CHECK(comes_to(3));
    REQUIRE(call(old.ops_port(), "POST", "/ops/pop-caches/up/s-parent") == 200);
    CHECK(comes_to(2));
    CHECK(call(fresh.ops_port(), "POST", "/ops/pop-caches/up/s-b") == 200);
    CHECK(down(1));
    CHECK(call(fresh.ops_port(), "POST", "/ops/pop-caches/up/s-a") == 200);
    CHECK(down(0));
}

namespace {

// Puts a hand-over text of form version 1 in place, as a process of the version before does on each call.
void write_as_earlier_version(const std::string& file, const std::vector<std::string>& bans) {
    sumackeel::admin::State state;
    for (const std::string& id : bans) state.ban(id, true);
    std::ofstream(file + ".next") << state.encode();
    REQUIRE(std::rename((file + ".next").c_str(), file.c_str()) == 0);
}

std::string bans_of(int ops_port) {
    std::string stats;
    call(ops_port, "GET", "/ops/stats", &stats);
    const std::string name = "gw_pop_caches_down ";
    const auto at = stats.find(name) + name.size();
    return stats.substr(at, stats.find('\n', at) - at);
}

bool bans_come_to(int ops_port, const std::string& count) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
    while (bans_of(ops_port) != count && std::chrono::steady_clock::now() < end) continue;
    return bans_of(ops_port) == count;
}

}  // namespace

// Guards: calls that an old process of the version before got, and those of the new one, replaced each other.
TEST_CASE("calls to an old process of the version before and to the new one are put together") {
    TwoCaches fleet;
    Peer shared;
    Folder folder;
    const std::string file = folder.path() + "/handover";
    write_as_earlier_version(file, {"s-a", "s-b"});
    Daemon fresh(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    wait_until_ready(fresh.ops_port());
    CHECK(bans_of(fresh.ops_port()) == "2");
    REQUIRE(call(fresh.ops_port(), "POST", "/ops/pop-caches/up/s-a") == 200);
    write_as_earlier_version(file, {"s-a", "s-b", "s-parent"});  // knows nothing of the call above
    CHECK(bans_come_to(fresh.ops_port(), "2"));                  // s-b and s-parent
    write_as_earlier_version(file, {"s-a", "s-parent"});
    CHECK(bans_come_to(fresh.ops_port(), "1"));
    REQUIRE(call(fresh.ops_port(), "POST", "/ops/pop-caches/up/s-parent") == 200);
    Daemon later(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    wait_until_ready(later.ops_port());
    CHECK(bans_of(later.ops_port()) == "0");
}

TEST_CASE("a torn hand-over file is passed over and the proxy starts without it") {
    TwoCaches fleet;
    Folder folder;
    const std::string file = folder.write("handover", "sumackeel ops hand-over 1\ndown s-a\nsum 00");
    Daemon daemon(with_ops(fleet.hosts()), {{}, {}, file});
    wait_until_ready(daemon.ops_port());
}

TEST_CASE("a drain says no, sends idle clients away and ends with a yes") {
    TwoCaches fleet;
    Answering a(fleet.a), b(fleet.b);
    Daemon daemon(with_ops(fleet.hosts()), {});
    const auto alive_says = [&] {
        Wire probe = Wire::to(daemon.port());
        probe.send(alive(1));
        return read_reply(probe).rest;
    };
    const std::string yes = alive_says();
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, read_of(1)));
    CHECK(read_reply(client).place == 0);
    REQUIRE(call(daemon.ops_port(), "POST", "/ops/drain/start") == 200);
    CHECK(call(daemon.ops_port(), "GET", "/ops/readiness") == 503);
    CHECK(alive_says() != yes);    // the front's own question gets a no too
    CHECK(client.rest().empty());  // the idle connection was closed, with nothing in it
    REQUIRE(call(daemon.ops_port(), "POST", "/ops/drain/stop") == 200);
    CHECK(call(daemon.ops_port(), "GET", "/ops/readiness") == 200);
}

TEST_CASE("the clients' socket is taken from a descriptor handed in, and only from a listener") {
    TwoCaches fleet;
    Peer platform;  // holds the clients' socket as the platform does
    const int fd = platform.fd(), port = platform.port();
    {
        Answering a(fleet.a), b(fleet.b);
        Daemon daemon(with_ops(fleet.hosts(), dup(fd)), {});
        CHECK(daemon.port() == port);
        Wire client = Wire::to(port);
        client.send(dispatch(1, read_of(1)));
        CHECK(read_reply(client).place == 0);
    }
    const int udp = socket(AF_INET, SOCK_DGRAM, 0), unbound = socket(AF_INET, SOCK_STREAM, 0);
    for (const int wrong : {udp, unbound, 999}) {
        auto config = with_ops(fleet.hosts(), wrong);
        const sumackeel::config::Operator none;
        CHECK_THROWS_AS(sumackeel::daemon::Daemon(config, none), std::runtime_error);
    }
}

TEST_CASE("a new process takes over the handed-in socket and no request of a steady client is lost") {
    TwoCaches fleet;
    Answering a(fleet.a), b(fleet.b);
    Peer platform;
    const int fd = platform.fd(), port = platform.port();
    std::atomic<bool> going = true;
    std::atomic<int> answered = 0, lost = 0;
    auto old = std::make_unique<Daemon>(with_ops(fleet.hosts(), dup(fd)), sumackeel::daemon::Files{});
    std::thread steady([&] {
        for (int i = 1; going; ++i) {
            try {  // a new connection for each request, as the crowd's clients do
                Wire client = Wire::to(port);
                client.send(dispatch(1, read_of(i)));
                read_reply(client).place == 0 ? ++answered : ++lost;
            } catch (const std::exception&) {
                ++lost;
            }
        }
    });
    while (answered < 50) std::this_thread::yield();
    Daemon fresh(with_ops(fleet.hosts(), dup(fd)), {});
    wait_until_ready(fresh.ops_port());
    old->end();  // it says no from here on, and leaves once what it took is answered
    old->join();
    const int at_end = answered;
    while (answered < at_end + 50) std::this_thread::yield();
    going = false;
    steady.join();
    old.reset();
    CHECK(lost == 0);
    MESSAGE("answered " << answered.load() << ", lost " << lost.load());
}

TEST_CASE("on SIGTERM a request that its cache never answers gets its last word before the process leaves") {
    TwoCaches fleet;
    Daemon daemon(with_ops(fleet.hosts()), {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, read("video", "00000000000000b1", 6000)));
    Wire silent = first_called({&fleet.a, &fleet.b}).accept();
    read_req(silent);  // taken, and never answered
    const auto told = std::chrono::steady_clock::now();
    daemon.end();
    const Reply reply = read_reply(client);
    const auto took = std::chrono::steady_clock::now() - told;
    MESSAGE("answered " << std::chrono::duration_cast<std::chrono::milliseconds>(took).count()
                        << " ms after, as " << reply.place);
    CHECK(reply.place != 0);
    CHECK(took < std::chrono::milliseconds(3600));  // before the platform's SIGKILL at 3.7 s
    daemon.join();
}

TEST_CASE("a ban holds over news of the change log that lists the pop cache as serving") {
    TwoCaches fleet;
    Peer log;
    Answering b(fleet.b);
    Daemon daemon(with_ops(fleet.hosts(), -1, log.address()), {});
    Wire feed = log.accept();
    while (!feed.line().empty()) continue;  // the call for the change log, taken up behind 1
    feed.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
    REQUIRE(call(daemon.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    feed.send("id: 2\ndata: " + story::fleet(2, false, {host("s-a", fleet.a, "edge-1", "small", "SERVING")}) +
              "\n\n");
    std::string stats;
    for (int i = 0; i < 500 && stats.find("gw_list_seq 2\n") == std::string::npos; ++i)
        call(daemon.ops_port(), "GET", "/ops/stats", &stats);  // until the news was taken up
    REQUIRE(stats.find("gw_list_seq 2\n") != std::string::npos);
    CHECK(stats.find("gw_pop_caches_down 1\n") != std::string::npos);
    Wire client = Wire::to(daemon.port());
    served_reads(client, 12);
    CHECK(b.requests() == 12);
    CHECK_FALSE(fleet.a.called());
}
