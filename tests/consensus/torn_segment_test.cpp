// Log files of a voter that were cut on disk. Guards against a start that ends the process: the raft library
// frees memory twice where a file ends within the entries of a batch.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "consensus/raft_node.h"

namespace sumackeel::consensus {
namespace {

namespace fs = std::filesystem;
using base::Micros;

constexpr int kEntries = 2;
constexpr Micros kTimeLimit = 5'000'000;

std::uintmax_t written_bytes(const fs::path& file) {
    std::ifstream in(file, std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    return bytes.find_last_not_of('\0') + 1;
}

struct OneVoter : testing::Test {
    fs::path folder = [] {
        std::string form = (fs::temp_directory_path() / "sumackeel-segment-XXXXXX").string();
        return fs::path(mkdtemp(form.data()));
    }();
    net::Loop loop;
    const MessageCodec codec{"test", {{"a key that all members share"}}};
    config::Consensus setup;

    void SetUp() override {
        setup.voters = {{"one", "127.0.0.1:0"}};
        setup.election_ms = 100;
    }
    void TearDown() override { fs::remove_all(folder); }

    std::unique_ptr<RaftNode> make(const std::string& name) {
        setup.folder = folder / name / "log";
        RaftNode::Hooks hooks{setup, setup.voters, folder / name / "marker", {}, {}, {}, {}, {}, {}};
        hooks.reachable_address = [](const std::string& address) { return address; };
        hooks.is_alive = [](const auto&) { return true; };
        hooks.state_changed = hooks.kv_store_changed = hooks.failed = [] {};
        hooks.newer_history_found = [](std::uint64_t) {};
        return std::make_unique<RaftNode>(loop, codec, "one", std::move(hooks));
    }
    void propose(RaftNode& node, int left) {
        if (left == 0) return loop.stop();
        const RaftNode::ResultCallback next = [this, &node, left](const auto& result) {
            loop.timers().schedule(loop.clock().now() + 1'000,
                                   [this, &node, left, result] { propose(node, result ? left - 1 : left); });
        };
        const rollout::LeaseReturn change{rollout::MemberKind::proxy, "one", "test", 1, {}};
        if (!node.propose(rollout::encode(change), next)) next(std::nullopt);
    }
    // Copies what is on disk while the voter runs, as a loss of power would leave it.
    void write_log_at_power_loss() {
        const auto node = make("running");
        ASSERT_EQ(node->open(LogStart::bootstrap), "");
        const auto limit = loop.timers().schedule(loop.clock().now() + kTimeLimit, [this] { loop.stop(); });
        propose(*node, kEntries);
        loop.run();
        loop.timers().cancel(limit);
        ASSERT_GE(node->last_applied(), kEntries);
        fs::copy(folder / "running", folder / "lost", fs::copy_options::recursive);
        node->close_now();
    }
    // A start does it.
    void close_open_segment() {
        fs::copy(folder / "lost", folder / "closed", fs::copy_options::recursive);
        const auto node = make("closed");
        ASSERT_EQ(node->open(LogStart::bootstrap), "");
        node->close_now();
        fs::remove_all(folder / "lost");
        fs::rename(folder / "closed", folder / "lost");
    }
    void cut_everywhere(const std::string& segment) {
        const std::uintmax_t written = written_bytes(folder / "lost" / "log" / segment);
        ASSERT_GT(written, 0U);
        for (std::uintmax_t length = 0; length < written; ++length) {
            SCOPED_TRACE(length);
            start_with(segment, length);
        }
    }
    // The result of a start with the segment cut to this length.
    std::string start_with(const std::string& segment, std::uintmax_t length) {
        fs::remove_all(folder / "cut");
        fs::copy(folder / "lost", folder / "cut", fs::copy_options::recursive);
        fs::resize_file(folder / "cut" / "log" / segment, length);
        const auto node = make("cut");
        std::string error = node->open(LogStart::bootstrap);
        EXPECT_EQ(error.empty(), !node->is_log_unreadable()) << error;
        node->close_now();
        return error;
    }
};

// fleet_agreed_torn_log, at each length: the voter starts, or says that its log can't be read.
TEST_F(OneVoter, StartsOrSaysWhyNotWhereverAnOpenSegmentIsCut) {
    write_log_at_power_loss();
    cut_everywhere("open-1");
}

TEST_F(OneVoter, StartsOrSaysWhyNotWhereverAClosedSegmentIsCut) {
    write_log_at_power_loss();
    close_open_segment();
    cut_everywhere("0000000000000002-0000000000000003");
}

// A segment of which the last eight bytes were never used, as it is until the next entry closes it.
TEST_F(OneVoter, StartsWithASegmentThatIsAlmostFull) {
    write_log_at_power_loss();
    const fs::path segment = folder / "lost" / "log" / "open-1";
    EXPECT_EQ(start_with("open-1", written_bytes(segment) + 8), "");
}

}  // namespace
}  // namespace sumackeel::consensus
