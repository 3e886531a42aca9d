// Loopback tests of operation: the operators' calls, a drain, a ban, an inherited client socket, and one
// process replacing another on that socket while requests arrive steadily.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>

#include "admin/state.h"
#include "admin_calls.h"
#include "support.h"

using namespace story;

namespace {

std::string response_to(const Req& req) {
    return req.id + " DONE digest=ab12,dated=1764576000123,tell=pulled,meter=inflight:1;x1:0.1 2\r\nok\r\n";
}

// A pop cache that answers every request on every connection, with one thread per connection.
class RespondingCache {
  public:
    explicit RespondingCache(Peer& peer) : peer_(peer), accepting_([this] { accept_all(); }) {}
    ~RespondingCache() {
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
                        wire.send(response_to(req));
                    }
                } catch (const std::exception&) {  // the connection was closed or timed out
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

// Sends `count` reads of distinct objects one after the other and checks that each is served.
void check_reads_served(Wire& client, int count) {
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
    CHECK(admin_request(ops, "POST", "/ops/pop-caches/down/s-a") == 200);
    CHECK(admin_request(ops, "POST", "/ops/pop-caches/down/s-a") == 200);
    CHECK(admin_request(ops, "POST", "/ops/pop-caches/down/s-never-listed") == 404);
    CHECK(admin_request(ops, "POST", "/ops/pop-caches/up/s-a") == 200);
    CHECK(admin_request(ops, "DELETE", "/ops/drain/start") == 405);
    CHECK(admin_request(ops, "GET", "/ops/what") == 404);
    Wire broken = Wire::to(ops);
    broken.send("NOT HTTP AT ALL\r\n\r\n");
    CHECK(broken.rest().starts_with("HTTP/1.1 400"));
}

TEST_CASE("a caller that sends half a call is let go, and the next caller is answered") {
    TwoCaches fleet;
    Daemon daemon(with_ops(fleet.hosts()), {});
    std::vector<Wire> silent;
    for (int i = 0; i < 40; ++i) {  // more than the connection limit of the address
        silent.push_back(Wire::to(daemon.ops_port()));
        if (i % 2) silent.back().send("GET /ops/readi");
    }
    const auto before = std::chrono::steady_clock::now();
    CHECK(admin_request(daemon.ops_port(), "GET", "/ops/readiness") == 200);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::milliseconds(1500));
    CHECK(silent.front().rest().empty());  // closed without an answer
}

TEST_CASE("a banned pop cache is given nothing new until it is put back") {
    TwoCaches fleet;
    RespondingCache b(fleet.b);
    Daemon daemon(with_ops(fleet.hosts()), {});
    REQUIRE(admin_request(daemon.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    Wire client = Wire::to(daemon.port());
    check_reads_served(client, 12);
    CHECK(b.requests() == 12);
    CHECK_FALSE(fleet.a.called());
}

TEST_CASE("a ban is handed over to the next process through its file") {
    TwoCaches fleet;
    Folder folder;
    const std::string file = folder.path() + "/handover";
    {
        Daemon old_process(with_ops(fleet.hosts()), {{}, {}, file});
        REQUIRE(admin_request(old_process.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    }
    RespondingCache b(fleet.b);
    Daemon new_process(with_ops(fleet.hosts()), {{}, {}, file});
    wait_until_ready(new_process.ops_port());
    Wire client = Wire::to(new_process.port());
    check_reads_served(client, 12);
    CHECK_FALSE(fleet.a.called());
    CHECK(admin_request(new_process.ops_port(), "POST", "/ops/pop-caches/up/s-a") == 200);
}

// Guards: operators call the old process until the platform has seen that the new one is ready. A call
// received in between was written to the old process's file after the new process had read it, and was lost.
TEST_CASE("a ban told to the process before, after its file was read, holds in the next one too") {
    TwoCaches fleet;
    Peer shared;
    Folder folder;
    const std::string file = folder.path() + "/handover";
    Daemon old_process(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    REQUIRE(admin_request(old_process.ops_port(), "POST", "/ops/pop-caches/down/s-parent") == 200);
    Daemon new_process(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    wait_until_ready(new_process.ops_port());
    REQUIRE(admin_request(new_process.ops_port(), "POST", "/ops/pop-caches/down/s-b") == 200);
    std::string stats;
    const auto has_down_count = [&](int count) {
        admin_request(new_process.ops_port(), "GET", "/ops/stats", &stats);
        return stats.find("gw_pop_caches_down " + std::to_string(count) + "\n") != std::string::npos;
    };
    const auto reaches = [&](int count) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
        while (!has_down_count(count) && std::chrono::steady_clock::now() < end) continue;
        return has_down_count(count);
    };
    // s-a and s-parent follow the calls to the old process; the ban of s-b was set in the new one.
    REQUIRE(has_down_count(2));
    REQUIRE(admin_request(old_process.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    CHECK(reaches(3));
    REQUIRE(admin_request(old_process.ops_port(), "POST", "/ops/pop-caches/up/s-parent") == 200);
    CHECK(reaches(2));
    CHECK(admin_request(new_process.ops_port(), "POST", "/ops/pop-caches/up/s-b") == 200);
    CHECK(has_down_count(1));
    CHECK(admin_request(new_process.ops_port(), "POST", "/ops/pop-caches/up/s-a") == 200);
    CHECK(has_down_count(0));
}

namespace {

// Replaces the hand-over file with one in format version 1, as a process of the previous version does on
// each call.
void write_as_earlier_version(const std::string& file, const std::vector<std::string>& bans) {
    sumackeel::admin::State state;
    for (const std::string& id : bans) state.ban(id, true);
    std::ofstream(file + ".next") << state.encode();
    REQUIRE(std::rename((file + ".next").c_str(), file.c_str()) == 0);
}

std::string down_count(int ops_port) {
    std::string stats;
    admin_request(ops_port, "GET", "/ops/stats", &stats);
    const std::string name = "gw_pop_caches_down ";
    const auto at = stats.find(name) + name.size();
    return stats.substr(at, stats.find('\n', at) - at);
}

bool down_count_reaches(int ops_port, const std::string& count) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
    while (down_count(ops_port) != count && std::chrono::steady_clock::now() < end) continue;
    return down_count(ops_port) == count;
}

}  // namespace

// Guards: calls received by an old process of the previous version and calls received by the new process
// overwrote each other.
TEST_CASE("calls to an old process of the version before and to the new one are put together") {
    TwoCaches fleet;
    Peer shared;
    Folder folder;
    const std::string file = folder.path() + "/handover";
    write_as_earlier_version(file, {"s-a", "s-b"});
    Daemon new_process(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    wait_until_ready(new_process.ops_port());
    CHECK(down_count(new_process.ops_port()) == "2");
    REQUIRE(admin_request(new_process.ops_port(), "POST", "/ops/pop-caches/up/s-a") == 200);
    write_as_earlier_version(file, {"s-a", "s-b", "s-parent"});  // does not include the call above
    CHECK(down_count_reaches(new_process.ops_port(), "2"));      // s-b and s-parent
    write_as_earlier_version(file, {"s-a", "s-parent"});
    CHECK(down_count_reaches(new_process.ops_port(), "1"));
    REQUIRE(admin_request(new_process.ops_port(), "POST", "/ops/pop-caches/up/s-parent") == 200);
    Daemon third_process(with_ops(fleet.hosts(), dup(shared.fd())), {{}, {}, file});
    wait_until_ready(third_process.ops_port());
    CHECK(down_count(third_process.ops_port()) == "0");
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
    RespondingCache a(fleet.a), b(fleet.b);
    Daemon daemon(with_ops(fleet.hosts()), {});
    const auto health_reply = [&] {
        Wire probe = Wire::to(daemon.port());
        probe.send(alive(1));
        return read_reply(probe).rest;
    };
    const std::string ready_reply = health_reply();
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, read_of(1)));
    CHECK(read_reply(client).place == 0);
    REQUIRE(admin_request(daemon.ops_port(), "POST", "/ops/drain/start") == 200);
    CHECK(admin_request(daemon.ops_port(), "GET", "/ops/readiness") == 503);
    CHECK(health_reply() != ready_reply);  // the health check on the client port is negative too
    CHECK(client.rest().empty());          // the idle connection was closed without further data
    REQUIRE(admin_request(daemon.ops_port(), "POST", "/ops/drain/stop") == 200);
    CHECK(admin_request(daemon.ops_port(), "GET", "/ops/readiness") == 200);
}

TEST_CASE("the clients' socket is taken from a descriptor handed in, and only from a listener") {
    TwoCaches fleet;
    Peer platform;  // owns the client socket, as the platform does
    const int fd = platform.fd(), port = platform.port();
    {
        RespondingCache a(fleet.a), b(fleet.b);
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
    RespondingCache a(fleet.a), b(fleet.b);
    Peer platform;
    const int fd = platform.fd(), port = platform.port();
    std::atomic<bool> running = true;
    std::atomic<int> answered = 0, lost = 0;
    auto old_process = std::make_unique<Daemon>(with_ops(fleet.hosts(), dup(fd)), sumackeel::daemon::Files{});
    std::thread client_thread([&] {
        for (int i = 1; running; ++i) {
            try {  // a new connection for each request, as real clients do
                Wire client = Wire::to(port);
                client.send(dispatch(1, read_of(i)));
                read_reply(client).place == 0 ? ++answered : ++lost;
            } catch (const std::exception&) {
                ++lost;
            }
        }
    });
    while (answered < 50) std::this_thread::yield();
    Daemon new_process(with_ops(fleet.hosts(), dup(fd)), {});
    wait_until_ready(new_process.ops_port());
    old_process->end();  // reports not ready from here on, and exits once its open requests are answered
    old_process->join();
    const int at_end = answered;
    while (answered < at_end + 50) std::this_thread::yield();
    running = false;
    client_thread.join();
    old_process.reset();
    CHECK(lost == 0);
    MESSAGE("answered " << answered.load() << ", lost " << lost.load());
}

TEST_CASE("on SIGTERM a request that its cache never answers gets its last word before the process leaves") {
    TwoCaches fleet;
    Daemon daemon(with_ops(fleet.hosts()), {});
    Wire client = Wire::to(daemon.port());
    client.send(dispatch(1, read("video", "00000000000000b1", 6000)));
    Wire silent = first_called({&fleet.a, &fleet.b}).accept();
    read_req(silent);  // received, but never answered
    const auto start = std::chrono::steady_clock::now();
    daemon.end();
    const Reply reply = read_reply(client);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    MESSAGE("answered " << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()
                        << " ms after, as " << reply.place);
    CHECK(reply.place != 0);
    CHECK(elapsed < std::chrono::milliseconds(3600));  // before the platform's SIGKILL at 3.7 s
    daemon.join();
}

TEST_CASE("a ban holds over news of the change log that lists the pop cache as serving") {
    TwoCaches fleet;
    Peer log;
    RespondingCache b(fleet.b);
    Daemon daemon(with_ops(fleet.hosts(), -1, log.address()), {});
    Wire log_stream = log.accept();
    while (!log_stream.line().empty()) continue;  // the change log request, which resumes after event 1
    log_stream.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
    REQUIRE(admin_request(daemon.ops_port(), "POST", "/ops/pop-caches/down/s-a") == 200);
    log_stream.send("id: 2\ndata: " +
                    story::fleet(2, false, {host("s-a", fleet.a, "edge-1", "small", "SERVING")}) + "\n\n");
    std::string stats;
    for (int i = 0; i < 500 && stats.find("gw_list_seq 2\n") == std::string::npos; ++i)
        admin_request(daemon.ops_port(), "GET", "/ops/stats", &stats);  // until the event was applied
    REQUIRE(stats.find("gw_list_seq 2\n") != std::string::npos);
    CHECK(stats.find("gw_pop_caches_down 1\n") != std::string::npos);
    Wire client = Wire::to(daemon.port());
    check_reads_served(client, 12);
    CHECK(b.requests() == 12);
    CHECK_FALSE(fleet.a.called());
}
