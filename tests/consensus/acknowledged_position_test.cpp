// The file that says how far a voter has acknowledged its log: its bytes, and what becomes of a damaged one.
#include "consensus/acknowledged_position.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace sumackeel::consensus {
namespace {

class AcknowledgementFileTest : public ::testing::Test {
  protected:
    void SetUp() override {
        char name[] = "/tmp/sumackeel-acknowledged-XXXXXX";
        ASSERT_NE(mkdtemp(name), nullptr);
        directory = name;
    }
    void TearDown() override { std::filesystem::remove_all(directory); }

    std::string path() const { return directory + "/acknowledged"; }
    std::string bytes() const {
        std::ifstream in(path(), std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    void store(const std::string& text) const {
        std::ofstream(path(), std::ios::binary | std::ios::trunc) << text;
    }

    std::string directory;
    std::string fault;
};

constexpr AcknowledgedPosition kPosition{.history = 7, .position = {.term = 3, .index = 41}};
constexpr const char* kRecorded = "sumackeel-acknowledged 1 7 3 41 d8d47511a17a8ffd\n";

TEST_F(AcknowledgementFileTest, IsReadAsItWasWritten) {
    const AcknowledgementFile file(directory);
    EXPECT_EQ(file.read(fault), AcknowledgedPosition{});
    EXPECT_EQ(fault, "");
    EXPECT_EQ(file.write(kPosition), "");
    EXPECT_EQ(bytes(), kRecorded);
    EXPECT_EQ(file.read(fault), kPosition);
    EXPECT_EQ(fault, "");
}

TEST_F(AcknowledgementFileTest, CutOrChangedAnywhereItIsNotUsed) {
    const AcknowledgementFile file(directory);
    ASSERT_EQ(file.write(kPosition), "");
    const std::string whole = bytes();
    for (std::size_t at = 0; at < whole.size(); ++at) {
        store(whole.substr(0, at));
        EXPECT_EQ(file.read(fault), AcknowledgedPosition{}) << "cut at " << at;
        EXPECT_NE(fault, "");
        std::string changed = whole;
        changed[at] ^= 1;
        store(changed);
        EXPECT_EQ(file.read(fault), AcknowledgedPosition{}) << "changed at " << at;
        EXPECT_NE(fault, "");
    }
}

// As Raft compares logs: an entry of a later term tells more than many of an earlier one.
TEST(LogPosition, IsOrderedByTermAndThenIndex) {
    EXPECT_LT((LogPosition{.term = 2, .index = 90}), (LogPosition{.term = 3, .index = 4}));
    EXPECT_LT((LogPosition{.term = 3, .index = 4}), (LogPosition{.term = 3, .index = 5}));
}

}  // namespace
}  // namespace sumackeel::consensus
