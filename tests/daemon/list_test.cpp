// Tests of starting from an endpoint list saved on disk, against cache stubs and change logs that are down,
// late, lagging or wrong.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>

#include "saved_list.h"

using namespace story;

// Guards: caches on an hour-old list may have been drained since without the proxy knowing. They get no
// request; reads go to the origin within its budget, requests executed at the origin go there, and all others
// are refused at once.
TEST_CASE("an hour-old list and dead discovery: no box gets work, each request gets its answer") {
    Box drained, serving, origin;
    const Snapshot list = list_of({{"s-drained", drained.address(), 0, EndpointState::draining},
                                   {"s-serving", serving.address()},
                                   {"s-origin", origin.address(), 2}},
                                  3600 * kSecond);
    SavedList saved(&list);
    saved.operator_config.endpoint_snapshot->origin_per_s = 10;
    Daemon daemon({}, unused_address(), saved.operator_config);
    Wire client = Wire::to(daemon.port());
    const auto start = std::chrono::steady_clock::now();
    int served = 0, refused = 0;
    for (int i = 1; i <= 200; ++i) {
        const int place = send_and_get_result(client, i, request_for(i % 2 ? "sheet" : "video", i));
        served += place == 0;
        refused += place == 1;
    }
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    CHECK(served >= 10);
    CHECK(served <= 10 + 10 * took + 1);
    CHECK(served + refused == 200);
    for (int i = 201; i <= 220; ++i) CHECK(send_and_get_result(client, i, request_for("enrol", i)) == 0);
    CHECK(drained.count() == 0);
    CHECK(serving.count() == 0);
    CHECK(origin.count() == static_cast<std::size_t>(served) + 20);
}

// The same if the operator trusts an hour-old list: a cache known to be draining still gets nothing, and a
// cache that starts cold after the proxies is never sent more than four times its capacity in 1.5 s by three
// instances together.
TEST_CASE(
    "three instances from an hour-old list: a cold box is not pushed over, a drained one gets nothing") {
    Box drained, cold, origin;
    cold.die();
    const Snapshot list = list_of({{"s-drained", drained.address(), 0, EndpointState::draining},
                                   {"s-cold", cold.address()},
                                   {"s-origin", origin.address(), 2}},
                                  3600 * kSecond);
    const auto config_for = [](int instance) {
        std::string text = config_text({}, unused_address());
        const auto put = [&](const std::string& what, const std::string& with) {
            const auto at = text.find(what);
            REQUIRE(at != std::string::npos);
            text.replace(at, what.size(), with);
        };
        put(R"("instances":1,"me":0)", R"("instances":3,"me":)" + std::to_string(instance));
        put(R"("count_by_zone":[0,1])", R"("count_by_zone":[0,3])");
        put(R"("seed":"2a")", R"("seed":"2)" + std::to_string(instance) + '"');
        return text;
    };
    std::vector<std::unique_ptr<SavedList>> folders;
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int instance = 0; instance < 3; ++instance) {
        folders.push_back(std::make_unique<SavedList>(&list));
        folders.back()->operator_config.endpoint_snapshot->unverified_until = 7200 * kSecond;
        daemons.push_back(
            std::make_unique<Daemon>(WithConfig{config_for(instance)}, folders.back()->operator_config));
    }
    std::atomic<int> answered = 0, served = 0, late = 0;
    std::vector<std::thread> clients;
    const auto start = std::chrono::steady_clock::now();
    for (int instance = 0; instance < 3; ++instance)
        clients.emplace_back([&, instance] {
            try {
                Wire client = Wire::to(daemons[instance]->port());
                // 4,000 KB take 0.44 s to send: 25 requests a second from each client load about eleven of
                // the cache's eight cores.
                for (int i = 1; i <= 100; ++i) {
                    const auto sent = std::chrono::steady_clock::now();
                    served += send_and_get_result(client, i,
                                                  request_for("video", 1000 * (instance + 1) + i, 4000)) == 0;
                    late += std::chrono::steady_clock::now() - sent > std::chrono::milliseconds(3000);
                    ++answered;
                    std::this_thread::sleep_until(start + std::chrono::milliseconds(40) * i);
                }
            } catch (const std::exception& lost) {
                fprintf(stderr, "client %d lost its connection: %s\n", instance, lost.what());
            }
        });
    std::this_thread::sleep_until(start + std::chrono::milliseconds(700));  // cache starts last
    cold.come_back();
    for (std::thread& client : clients) client.join();
    CHECK(answered == 300);
    CHECK(late == 0);
    CHECK(drained.count() == 0);
    const auto asked = cold.asked();
    CHECK(asked.size() > 5);
    // Compares the work sent in each window of 1.5 s with the cache's warm-up capacity.
    double max_load = 0;
    for (std::size_t first = 0; first < asked.size(); ++first) {
        double work = 0;
        std::size_t last = first;
        for (; last < asked.size() && asked[last].when < asked[first].when + std::chrono::milliseconds(1500);
             ++last)
            work += 4000.0 / 9100;
        const double warmed = std::min(
            1.0, 0.16 + 0.84 * std::chrono::duration<double>(asked[first].when - cold.since()).count() / 17);
        max_load = std::max(max_load, work / (8 * warmed * 1.5));
    }
    MESSAGE("the most in 1.5 s, as a multiple of what the box can do: " << max_load << ", served " << served);
    CHECK(max_load <= 4);
}

// Guards: a purge received before a crash still applies after the restart, with discovery down.
TEST_CASE("a purge told before a crash still binds after the restart") {
    Box box, origin;
    SavedList saved;
    ChangeLog log;
    log.tell(1, fleet(1, true,
                      {host_at("s-box", box.address()), host_at("s-origin", origin.address(), "origin")}));
    {
        Daemon daemon({}, log.address(), saved.operator_config);
        CHECK(saved.wait_until([](const Snapshot& list) { return list.last_sequence == 1; }));
        const auto ms = wall_time().micros / 1000;
        log.tell(2, R"({"seq":2,"invalidate":{"bucket":17,"time":)" + std::to_string(ms) + "}}");
        CHECK(saved.wait_until(
            [](const Snapshot& list) { return list.last_sequence == 2 && list.purges.size() == 1; }));
        daemon.crash();
    }
    log.die();
    Daemon restarted({}, log.address(), saved.operator_config);
    Wire client = Wire::to(restarted.port());
    CHECK(send_and_get_result(client, 1, request_for("video", 77)) == 0);  // in group 17
    const auto asked = box.asked();
    REQUIRE(asked.size() == 1);
    REQUIRE(asked[0].fields.contains("accept"));
    CHECK(std::stol(asked[0].fields.at("accept")) < 10'000);  // ms since the purge; absent: any age
}

// Guards: when discovery returns, the list is replaced within a second and the event numbers continue.
TEST_CASE("discovery comes back: the view is replaced, the log is taken up by its number") {
    Box old_box, kept_box, new_box, origin;
    const Snapshot list = list_of(
        {{"s-old", old_box.address()}, {"s-kept", kept_box.address()}, {"s-origin", origin.address(), 2}},
        60 * kSecond);
    SavedList saved(&list);
    ChangeLog log;
    log.die();
    Daemon daemon({}, log.address(), saved.operator_config);
    Wire client = Wire::to(daemon.port());
    for (int i = 1; i <= 20; ++i) CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
    CHECK(old_box.count() + kept_box.count() == 20);
    log.tell(40, fleet(40, false, {host_at("s-kept", kept_box.address())}));
    log.tell(41, fleet(41, true,
                       {host_at("s-kept", kept_box.address()), host_at("s-fresh", new_box.address()),
                        host_at("s-origin", origin.address(), "origin")}));
    log.come_back();
    CHECK(saved.wait_until(
        [](const Snapshot& now) { return now.last_sequence == 41 && now.confirmed_age >= 0; }));
    CHECK(log.asked_behind().front() == 39);  // one less: a source that has 40 must resend it
    const auto before = old_box.count();
    for (int i = 21; i <= 80; ++i) CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
    CHECK(old_box.count() == before);
    CHECK(new_box.count() > 0);
}

// Guards: a lagging change log sends a keep-alive each second; these must not confirm the list as current.
TEST_CASE("of two change logs one lags behind: the other's newer word is taken, and only it confirms") {
    Box a, b, origin;
    SavedList saved;
    ChangeLog lagging, current;
    const auto hosts = [&](const std::string& a_health) {
        return std::vector<std::string>{host_at("s-a", a.address(), "small", a_health),
                                        host_at("s-b", b.address()),
                                        host_at("s-origin", origin.address(), "origin")};
    };
    lagging.tell(1, fleet(1, true, hosts("SERVING")));
    current.tell(1, fleet(1, true, hosts("SERVING")));
    current.tell(2, fleet(2, true, hosts("DRAINING")));
    saved.operator_config.discovery.emplace();
    saved.operator_config.discovery->sources = {lagging.address(), current.address()};
    saved.operator_config.discovery->follow = 2;
    Daemon daemon({}, "", saved.operator_config);
    REQUIRE(saved.wait_until([](const Snapshot& list) { return list.last_sequence == 2; }));
    Wire client = Wire::to(daemon.port());
    for (int i = 1; i <= 20; ++i) CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
    CHECK(a.count() == 0);
    CHECK(b.count() == 20);
    // The current change log fails: the lagging one is still alive, but the list is no longer confirmed.
    current.die();
    lagging.tell(1, fleet(1, true, hosts("SERVING")));  // goes back to an earlier event, which is ignored
    for (int i = 21; i <= 40; ++i) CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
    CHECK(a.count() == 0);
    // During thirty more keep-alives of the lagging change log, which take three seconds, the age on disk
    // must keep growing.
    const auto comments = lagging.comments();
    while (lagging.comments() < comments + 30) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const auto found = saved.read();
    REQUIRE(found.snapshot);
    CHECK(sumackeel::endpoints::age_of(*found.snapshot, wall_time()) > 800'000);
}

// Guards: a list without any cache, as sent by a discovery service that starts empty, would stop all service
// at once.
TEST_CASE("an empty list from discovery is not believed at once") {
    Box box, origin;
    SavedList saved;
    saved.operator_config.discovery.emplace();
    saved.operator_config.discovery->empty_list_delay = 600'000;
    ChangeLog log;
    log.tell(1, fleet(1, true,
                      {host_at("s-box", box.address()), host_at("s-origin", origin.address(), "origin")}));
    Daemon daemon({}, log.address(), saved.operator_config);
    REQUIRE(saved.wait_until([](const Snapshot& list) { return list.last_sequence == 1; }));
    Wire client = Wire::to(daemon.port());
    const auto update_time = std::chrono::steady_clock::now();
    log.tell(2, fleet(2, true, {host_at("s-origin", origin.address(), "origin")}));
    int seqid = 0;
    bool old_list_kept = false;
    // Each read is served by the cache until the empty list is applied; after that the cache gets no more
    // requests.
    while (std::chrono::steady_clock::now() < update_time + std::chrono::milliseconds(kBoundMs)) {
        ++seqid;
        const auto before = box.count();
        send_and_get_result(client, seqid, request_for("sheet", seqid));
        if (box.count() == before) break;
        old_list_kept =
            old_list_kept || std::chrono::steady_clock::now() > update_time + std::chrono::milliseconds(300);
    }
    CHECK(old_list_kept);
    CHECK(std::chrono::steady_clock::now() - update_time >= std::chrono::milliseconds(600));
    CHECK(std::chrono::steady_clock::now() - update_time < std::chrono::milliseconds(kBoundMs));
}

TEST_CASE("a box under its old id at a new address, and a new id at an old address") {
    Box first, second, origin;
    SavedList saved;
    ChangeLog log;
    log.tell(1, fleet(1, true,
                      {host_at("s-box", first.address()), host_at("s-origin", origin.address(), "origin")}));
    Daemon daemon({}, log.address(), saved.operator_config);
    REQUIRE(saved.wait_until([](const Snapshot& list) { return list.last_sequence == 1; }));
    Wire client = Wire::to(daemon.port());
    CHECK(send_and_get_result(client, 1, request_for("sheet", 1)) == 0);
    CHECK(first.count() == 1);
    log.tell(2, fleet(2, false, {host_at("s-box", second.address()), host_at("s-new", first.address())}));
    REQUIRE(saved.wait_until([](const Snapshot& list) { return list.last_sequence == 2; }));
    for (int i = 2; i <= 60; ++i) CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
    CHECK(second.count() > 0);
    CHECK(first.count() > 1);
    CHECK(first.count() + second.count() == 60);
}

// Guards: a disk that fails or hangs must not fail any request.
TEST_CASE("without a disk, or with one that hangs, requests are served all the same") {
    Box box, origin;
    ChangeLog log;
    log.tell(1, fleet(1, true,
                      {host_at("s-box", box.address()), host_at("s-origin", origin.address(), "origin")}));
    SavedList saved;
    SUBCASE("the folder can't be made") {
        saved.folder.write("file", "no folder");
        saved.operator_config.endpoint_snapshot->folder = saved.folder.path() + "/file/list";
    }
    SUBCASE("a write never ends") {
        std::filesystem::create_directories(saved.operator_config.endpoint_snapshot->folder);
        REQUIRE(mkfifo((saved.operator_config.endpoint_snapshot->folder + "/list-unfinished.tmp").c_str(),
                       0600) == 0);
    }
    {
        Daemon daemon({}, log.address(), saved.operator_config);
        Wire client = Wire::to(daemon.port());
        const auto bound = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
        int seqid = 0;
        while (box.count() == 0 && std::chrono::steady_clock::now() < bound) {
            ++seqid;
            send_and_get_result(client, seqid, request_for("sheet", seqid));
        }
        for (int i = seqid + 1; i <= seqid + 100; ++i)
            CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
        // Unblocks the hanging write, so that the event loop can be stopped in this process.
        const std::string pipe = saved.operator_config.endpoint_snapshot->folder + "/list-unfinished.tmp";
        if (std::filesystem::is_fifo(pipe)) {
            const int reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
            std::filesystem::remove(pipe);
            daemon.crash();
            ::close(reader);
        }
    }
}

// Guards: without operator settings no file is written and an old list has no effect.
TEST_CASE("off by default: no folder is made, and the configuration's list is used in full") {
    Box box, origin;
    Daemon daemon({host_at("s-box", box.address()), host_at("s-origin", origin.address(), "origin")});
    Wire client = Wire::to(daemon.port());
    for (int i = 1; i <= 10; ++i) CHECK(send_and_get_result(client, i, request_for("sheet", i)) == 0);
    CHECK(box.count() == 10);
}
