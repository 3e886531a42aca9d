// Verification of data from the wire and the disk: any changed byte is detected, and nothing of such data is
// used.
#include "cluster_transport/message_codec.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "cluster_transport/rate_limiter.h"
#include "cluster_transport/start_number.h"
#include "config/config.h"

namespace sumackeel::cluster_transport {
namespace {

const Keys kKeys{{"0123456789abcdef"}};

cluster::MemberRecord member_record(const std::string& name) {
    return {.name = name,
            .address = "127.0.0.1:9002",
            .zone = "edge-1",
            .software_version = "0.3.0",
            .incarnation = {3, 7},
            .instance_id = 0xfeedfacecafebeefULL,
            .phase = cluster::Phase::alive};
}

SequencedDatagram sequenced_datagram() {
    return {.datagram = {.kind = cluster::MessageKind::ping_request,
                         .from = "n1",
                         .to = "n2",
                         .number = 9,
                         .subject = "n3",
                         .records = {member_record("n1"), member_record("n4")},
                         .suspicions = {{.suspector = "n1",
                                         .subject = "n4",
                                         .suspector_start = 3,
                                         .incarnation = {3, 7},
                                         .number = 2,
                                         .active = true}}},
            .start = 3,
            .sequence = 77};
}

struct TempDirectory {
    TempDirectory() {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        path = mkdtemp(form.data());
    }
    ~TempDirectory() { std::filesystem::remove_all(path); }
    void write(const std::string& name, const std::string& text) const {
        std::ofstream(path + '/' + name, std::ios::binary) << text;
    }
    std::string read(const std::string& name) const {
        std::ifstream file(path + '/' + name, std::ios::binary);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }
    std::string path;
};

}  // namespace

TEST(MessageCodec, DatagramRoundTrips) {
    const MessageCodec codec("school", kKeys);
    DecodeError error{};
    const auto back = codec.decode_datagram(codec.encode_datagram(sequenced_datagram()), error);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->sequence, 77U);
    EXPECT_EQ(back->start, 3U);
    EXPECT_EQ(back->datagram.subject, "n3");
    EXPECT_EQ(back->datagram.records, sequenced_datagram().datagram.records);
    EXPECT_EQ(back->datagram.suspicions, sequenced_datagram().datagram.suspicions);
}

TEST(MessageCodec, LargestDatagramFitsItsBound) {
    SequencedDatagram full = sequenced_datagram();
    const std::string name(cluster::kMaxNameLength, 'n');
    full.datagram.from = full.datagram.to = full.datagram.subject = name;
    full.datagram.records = {member_record(name)};
    full.start = full.sequence = full.datagram.number = UINT64_MAX;
    std::size_t used =
        cluster::kMaxFrameOverheadBytes + 3 * name.size() + cluster::max_encoded_size(member_record(name));
    for (cluster::MemberRecord next = member_record("n5");
         used + cluster::max_encoded_size(next) <= cluster::kMaxDatagramBytes;) {
        next.incarnation = {UINT64_MAX, UINT64_MAX};
        next.instance_id = UINT64_MAX;
        used += cluster::max_encoded_size(next);
        full.datagram.records.push_back(next);
    }
    const MessageCodec codec(std::string(kMaxClusterNameLength, 'g'), kKeys);
    EXPECT_LE(codec.encode_datagram(full).size(), cluster::kMaxDatagramBytes);
}

TEST(MessageCodec, RejectsEachChangedByteAndEachTruncation) {
    const MessageCodec codec("school", kKeys);
    const std::string valid = codec.encode_datagram(sequenced_datagram());
    DecodeError error{};
    for (std::size_t at = 0; at < valid.size(); ++at) {
        std::string flipped = valid;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
        EXPECT_FALSE(codec.decode_datagram(flipped, error)) << at;
        EXPECT_FALSE(codec.decode_datagram(valid.substr(0, at), error)) << at;
    }
    EXPECT_FALSE(codec.decode_datagram(std::string(kMaxDatagramBytes + 1, 'S'), error));
    EXPECT_EQ(error, DecodeError::oversized);
}

TEST(MessageCodec, RejectsOtherKeysAndClustersAndAcceptsAnOldKey) {
    const std::string bytes = MessageCodec("school", kKeys).encode_datagram(sequenced_datagram());
    DecodeError error{};
    EXPECT_FALSE(MessageCodec("school", {{"another key of ours"}}).decode_datagram(bytes, error));
    EXPECT_EQ(error, DecodeError::wrong_mac);
    EXPECT_FALSE(MessageCodec("other", kKeys).decode_datagram(bytes, error));
    EXPECT_EQ(error, DecodeError::wrong_protocol);
    EXPECT_TRUE(
        MessageCodec("school", {{"another key of ours", kKeys.all[0]}}).decode_datagram(bytes, error));
}

TEST(MessageCodec, FrameRoundTripsAndIsNoDatagram) {
    const MessageCodec codec("school", kKeys);
    ExchangeFrame frame{.step = ExchangeStep::state,
                        .to = "n2",
                        .digest = 5,
                        .state = {.from = "n1",
                                  .records = sequenced_datagram().datagram.records,
                                  .suspicions = sequenced_datagram().datagram.suspicions}};
    const std::string bytes = codec.encode_frame(frame);
    DecodeError error{};
    const auto back = codec.decode_frame(std::string_view(bytes).substr(4), error);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->state.records, frame.state.records);
    EXPECT_EQ(back->digest, 5U);
    EXPECT_FALSE(codec.decode_datagram(std::string_view(bytes).substr(4), error));
}

TEST(ReplayFilter, AcceptsEachSequenceNumberOfAStartOnceInAnyOrder) {
    ReplayFilter filter;
    EXPECT_TRUE(filter.accept("a", 1, 10));
    EXPECT_FALSE(filter.accept("a", 1, 10));
    EXPECT_TRUE(filter.accept("a", 1, 8));
    EXPECT_FALSE(filter.accept("a", 1, 8));
    EXPECT_TRUE(filter.accept("a", 1, 74));
    EXPECT_FALSE(filter.accept("a", 1, 10));  // the oldest one in the window
    EXPECT_TRUE(filter.accept("a", 1, 11));
    EXPECT_FALSE(filter.accept("a", 1, 9));  // below the window
    EXPECT_TRUE(filter.accept("a", 2, 1));
    EXPECT_FALSE(filter.accept("a", 1, 200));
    EXPECT_TRUE(filter.accept("b", 1, 10));
}

TEST(RateLimiter, AccumulatesAtMostOneSecond) {
    RateLimiter limiter(1000);
    limiter.spend(1500);
    EXPECT_DOUBLE_EQ(limiter.available(0), -500);
    EXPECT_DOUBLE_EQ(limiter.available(700'000), 200);
    EXPECT_DOUBLE_EQ(limiter.available(60'000'000), 1000);
}

TEST(StartNumber, IsStoredAndADamagedFileIsRenamed) {
    const TempDirectory directory;
    const StartNumber number(directory.path + "/state");
    std::string fault;
    EXPECT_EQ(number.read(fault), 0U);
    EXPECT_EQ(fault, "");
    ASSERT_EQ(number.write(41), "");
    EXPECT_EQ(number.read(fault), 41U);
    const std::string valid = directory.read("state/start");
    for (std::size_t at = 0; at < valid.size(); ++at) {
        std::string flipped = valid;
        flipped[at] = static_cast<char>(flipped[at] ^ 1);
        directory.write("state/start", flipped);
        EXPECT_EQ(number.read(fault), 0U) << at;
        EXPECT_NE(fault, "") << at;
        directory.write("state/start", valid.substr(0, at));
        EXPECT_EQ(number.read(fault), 0U) << at;
    }
    EXPECT_TRUE(std::filesystem::exists(directory.path + "/state/start.bad"));
}

// Guards against two processes of one member that start at the same time and claim the same number.
TEST(StartNumber, IsNeverGivenTwice) {
    const TempDirectory directory;
    const StartNumber number(directory.path + "/state");
    constexpr std::size_t kStarts = 12;
    std::vector<std::uint64_t> claimed(kStarts);
    std::vector<std::thread> starts;
    for (std::uint64_t& one : claimed)
        starts.emplace_back([&number, &one] { one = claim_start_number(number); });
    for (std::thread& start : starts) start.join();
    const std::set<std::uint64_t> distinct(claimed.begin(), claimed.end());
    EXPECT_EQ(distinct.size(), kStarts);
    EXPECT_EQ(*distinct.rbegin(), kStarts);
    std::string fault;
    EXPECT_EQ(number.raise_to(5), "");
    EXPECT_EQ(number.read(fault), kStarts);
    EXPECT_EQ(number.raise_to(kStarts + 1), "");
    EXPECT_EQ(number.read(fault), kStarts + 1);
}

TEST(Keys, RejectsAShortOrMissingKey) {
    const TempDirectory directory;
    EXPECT_THROW(load_keys(directory.path + "/none"), config::ConfigError);
    directory.write("key", "short\n");
    EXPECT_THROW(load_keys(directory.path + "/key"), config::ConfigError);
    directory.write("key", "");
    EXPECT_THROW(load_keys(directory.path + "/key"), config::ConfigError);
    directory.write("key", "0123456789abcdef\n\nfedcba9876543210\n");
    EXPECT_EQ(load_keys(directory.path + "/key").all.size(), 2U);
}

}  // namespace sumackeel::cluster_transport
