// Two members that know each other, over real sockets on one loop.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"

namespace sumackeel::cluster_transport {

using base::Micros;

constexpr Micros kTimeLimit = 5'000'000;

struct TwoMembers : testing::Test {
    std::string folder = [] {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-query-XXXXXX").string();
        return std::string(mkdtemp(form.data()));
    }();
    net::Loop loop;
    net::SocketBudget sockets{64};
    std::unique_ptr<ClusterTransport> left, right;

    void SetUp() override {
        std::ofstream(folder + "/key") << "a key that all members share\n";
        left = make("left", {});
        right = make("right", left->setup().listen);
        run_until([this] { return knows(*left, "right") && knows(*right, "left"); });
    }
    void TearDown() override {
        left.reset();
        right.reset();
        std::filesystem::remove_all(folder);
    }

    static bool knows(const ClusterTransport& transport, const std::string& name) {
        return !transport.membership().address_of(name).empty();
    }
    // At an address of this process alone, as datagrams and streams have to share a port.
    std::unique_ptr<ClusterTransport> make(const std::string& name, const std::string& seed) {
        const int process = getpid() % 60'000;
        config::Cluster setup;
        setup.group = "test";
        setup.name = name;
        setup.listen = "127." + std::to_string(3 + process / 250) + "." + std::to_string(process % 250) +
                       "." + (name == "left" ? "201" : "202") + ":9002";
        setup.key_file = folder + "/key";
        setup.folder = folder + "/" + name;
        if (!seed.empty()) setup.seeds = {seed};
        setup.period = 50'000;
        setup.probe_timeout = 20'000;
        return std::make_unique<ClusterTransport>(loop, sockets, setup, "edge-1", "1", 1,
                                                  std::map<std::string, int>{}, false, [](const auto&) {});
    }
    // Looks once a millisecond.
    void run_until(const std::function<bool()>& done) {
        const Micros end = loop.clock().now() + kTimeLimit;
        std::function<void()> look = [&] {
            if (done() || loop.clock().now() >= end) return loop.stop();
            loop.timers().schedule(loop.clock().now() + 1'000, look);
        };
        look();
        loop.run();
        EXPECT_TRUE(done());
    }
};

}  // namespace sumackeel::cluster_transport
