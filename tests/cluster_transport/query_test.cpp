// Queries between two members over real datagrams on one loop.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"

namespace sumackeel::cluster_transport {
namespace {

using base::Micros;

constexpr Micros kTimeLimit = 5'000'000;

struct QueryTest : testing::Test {
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

struct Reply {
    std::string from;
    std::uint64_t number = 0;
    std::string body;
    bool operator==(const Reply&) const = default;
};

TEST_F(QueryTest, IsAnsweredWithItsNumber) {
    std::vector<Reply> replies;
    right->on_query("sum", [](const std::string& from, const std::string& body) {
        return std::optional(from + " asked " + body);
    });
    left->on_query_reply("sum", [&](const std::string& from, std::uint64_t number, const std::string& body) {
        replies.push_back({from, number, body});
    });
    left->send_query("right", "sum", 17, "1+1");
    left->send_query("nobody", "sum", 18, "");
    left->send_query("right", "other", 19, "");                     // has no handler
    left->send_query("right", "sum", 20, std::string(2'000, 'x'));  // fits into no datagram
    left->send_query("right", "sum", 21, "2");
    run_until([&] { return replies.size() >= 2; });
    EXPECT_EQ(replies, (std::vector<Reply>{{"right", 17, "left asked 1+1"}, {"right", 21, "left asked 2"}}));
}

TEST_F(QueryTest, MayBeLeftUnanswered) {
    int asked = 0;
    std::vector<Reply> replies;
    right->on_query("sum", [&](const std::string&, const std::string&) -> std::optional<std::string> {
        return ++asked == 1 ? std::nullopt : std::optional<std::string>("now");
    });
    left->on_query_reply("sum", [&](const std::string& from, std::uint64_t number, const std::string& body) {
        replies.push_back({from, number, body});
    });
    left->send_query("right", "sum", 1, {});
    left->send_query("right", "sum", 2, {});
    run_until([&] { return !replies.empty(); });
    EXPECT_EQ(replies, (std::vector<Reply>{{"right", 2, "now"}}));
    EXPECT_EQ(asked, 2);
}

}  // namespace
}  // namespace sumackeel::cluster_transport
