// What comes off the wire and the disk is checked: each byte that differs is noticed, nothing of it is used.
#include "peers/wire.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/config.h"
#include "peers/meter.h"
#include "peers/start_number.h"

namespace sumackeel::peers {
namespace {

const Keys kKeys{{"0123456789abcdef"}};

group::Word word(const std::string& name) {
    return {.name = name,
            .address = "127.0.0.1:9002",
            .zone = "edge-1",
            .version = "0.3.0",
            .stamp = {3, 7},
            .life = 0xfeedfacecafebeefULL,
            .phase = group::Phase::alive};
}

Numbered numbered() {
    return {.datagram =
                {.kind = group::Kind::ask,
                 .from = "n1",
                 .to = "n2",
                 .number = 9,
                 .about = "n3",
                 .words = {word("n1"), word("n4")},
                 .doubts =
                     {{.by = "n1", .about = "n4", .by_start = 3, .stamp = {3, 7}, .number = 2, .on = true}}},
            .start = 3,
            .sequence = 77};
}

struct Scratch {
    Scratch() {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        path = mkdtemp(form.data());
    }
    ~Scratch() { std::filesystem::remove_all(path); }
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

TEST(PeersWire, ADatagramComesBackAsItWas) {
    const Codec codec("school", kKeys);
    Bad bad{};
    const auto back = codec.read_datagram(codec.datagram(numbered()), bad);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->sequence, 77U);
    EXPECT_EQ(back->start, 3U);
    EXPECT_EQ(back->datagram.about, "n3");
    EXPECT_EQ(back->datagram.words, numbered().datagram.words);
    EXPECT_EQ(back->datagram.doubts, numbered().datagram.doubts);
}

TEST(PeersWire, TheLargestThatIsSentFitsWhatIsRead) {
    Numbered full = numbered();
    const std::string name(group::kLongestName, 'n');
    full.datagram.from = full.datagram.to = full.datagram.about = name;
    full.datagram.words = {word(name)};
    full.start = full.sequence = full.datagram.number = UINT64_MAX;
    std::size_t used = group::kFrameRoom + 3 * name.size() + group::room_of(word(name));
    for (group::Word next = word("n5"); used + group::room_of(next) <= group::kMostDatagram;) {
        next.stamp = {UINT64_MAX, UINT64_MAX}, next.life = UINT64_MAX;
        used += group::room_of(next);
        full.datagram.words.push_back(next);
    }
    const Codec codec(std::string(kLongestGroup, 'g'), kKeys);
    EXPECT_LE(codec.datagram(full).size(), group::kMostDatagram);
}

TEST(PeersWire, EachFlippedByteAndEachCutIsRefused) {
    const Codec codec("school", kKeys);
    const std::string sound = codec.datagram(numbered());
    Bad bad{};
    for (std::size_t at = 0; at < sound.size(); ++at) {
        std::string flipped = sound;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
        EXPECT_FALSE(codec.read_datagram(flipped, bad)) << at;
        EXPECT_FALSE(codec.read_datagram(sound.substr(0, at), bad)) << at;
    }
    EXPECT_FALSE(codec.read_datagram(std::string(kLongestDatagram + 1, 'S'), bad));
    EXPECT_EQ(bad, Bad::oversized);
}

TEST(PeersWire, OtherKeysAndGroupsAreTurnedAwayAndAnOldKeyIsStillRead) {
    const std::string bytes = Codec("school", kKeys).datagram(numbered());
    Bad bad{};
    EXPECT_FALSE(Codec("school", {{"another key of ours"}}).read_datagram(bytes, bad));
    EXPECT_EQ(bad, Bad::code);
    EXPECT_FALSE(Codec("other", kKeys).read_datagram(bytes, bad));
    EXPECT_EQ(bad, Bad::foreign);
    EXPECT_TRUE(Codec("school", {{"another key of ours", kKeys.all[0]}}).read_datagram(bytes, bad));
}

TEST(PeersWire, AFrameComesBackAsItWasAndIsNoDatagram) {
    const Codec codec("school", kKeys);
    Frame frame{
        .step = Step::state,
        .to = "n2",
        .digest = 5,
        .whole = {.from = "n1", .words = numbered().datagram.words, .doubts = numbered().datagram.doubts}};
    const std::string bytes = codec.frame(frame);
    Bad bad{};
    const auto back = codec.read_frame(std::string_view(bytes).substr(4), bad);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->whole.words, frame.whole.words);
    EXPECT_EQ(back->digest, 5U);
    EXPECT_FALSE(codec.read_datagram(std::string_view(bytes).substr(4), bad));
}

TEST(PeersSeen, EachNumberOfEachStartCountsOnceInAnyOrder) {
    Seen seen;
    EXPECT_TRUE(seen.fresh("a", 1, 10));
    EXPECT_FALSE(seen.fresh("a", 1, 10));
    EXPECT_TRUE(seen.fresh("a", 1, 8));
    EXPECT_FALSE(seen.fresh("a", 1, 8));
    EXPECT_TRUE(seen.fresh("a", 1, 74));
    EXPECT_FALSE(seen.fresh("a", 1, 10));  // the furthest that is remembered
    EXPECT_TRUE(seen.fresh("a", 1, 11));
    EXPECT_FALSE(seen.fresh("a", 1, 9));  // too far behind to know
    EXPECT_TRUE(seen.fresh("a", 2, 1));
    EXPECT_FALSE(seen.fresh("a", 1, 200));
    EXPECT_TRUE(seen.fresh("b", 1, 10));
}

TEST(PeersMeter, SavesUpNoMoreThanASecond) {
    Meter meter(1000);
    meter.spend(1500);
    EXPECT_DOUBLE_EQ(meter.left(0), -500);
    EXPECT_DOUBLE_EQ(meter.left(700'000), 200);
    EXPECT_DOUBLE_EQ(meter.left(60'000'000), 1000);
}

TEST(PeersStartNumber, IsKeptAndADamagedFileIsSetAside) {
    const Scratch scratch;
    const StartNumber number(scratch.path + "/state");
    std::string fault;
    EXPECT_EQ(number.read(fault), 0U);
    EXPECT_EQ(fault, "");
    ASSERT_EQ(number.write(41), "");
    EXPECT_EQ(number.read(fault), 41U);
    const std::string sound = scratch.read("state/start");
    for (std::size_t at = 0; at < sound.size(); ++at) {
        std::string flipped = sound;
        flipped[at] = static_cast<char>(flipped[at] ^ 1);
        scratch.write("state/start", flipped);
        EXPECT_EQ(number.read(fault), 0U) << at;
        EXPECT_NE(fault, "") << at;
        scratch.write("state/start", sound.substr(0, at));
        EXPECT_EQ(number.read(fault), 0U) << at;
    }
    EXPECT_TRUE(std::filesystem::exists(scratch.path + "/state/start.bad"));
}

TEST(PeersKeys, AShortOrMissingKeyIsRefusedInPlainWords) {
    const Scratch scratch;
    EXPECT_THROW(load_keys(scratch.path + "/none"), config::ConfigError);
    scratch.write("key", "short\n");
    EXPECT_THROW(load_keys(scratch.path + "/key"), config::ConfigError);
    scratch.write("key", "");
    EXPECT_THROW(load_keys(scratch.path + "/key"), config::ConfigError);
    scratch.write("key", "0123456789abcdef\n\nfedcba9876543210\n");
    EXPECT_EQ(load_keys(scratch.path + "/key").all.size(), 2U);
}

}  // namespace sumackeel::peers
