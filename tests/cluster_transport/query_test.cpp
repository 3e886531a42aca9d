// Queries between two members over real datagrams on one loop.
#include "two_members.h"

namespace sumackeel::cluster_transport {
namespace {

using QueryTest = TwoMembers;

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
