// The file with the position up to which a voter has acknowledged its log: its format, and the handling of a
// damaged file.
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
    const std::string complete = bytes();
    for (std::size_t offset = 0; offset < complete.size(); ++offset) {
        store(complete.substr(0, offset));
        EXPECT_EQ(file.read(fault), AcknowledgedPosition{}) << "cut at " << offset;
        EXPECT_NE(fault, "");
        std::string changed = complete;
        changed[offset] ^= 1;
        store(changed);
        EXPECT_EQ(file.read(fault), AcknowledgedPosition{}) << "changed at " << offset;
        EXPECT_NE(fault, "");
    }
}

// As Raft compares logs: the term takes precedence over the index.
TEST(LogPosition, IsOrderedByTermAndThenIndex) {
    EXPECT_LT((LogPosition{.term = 2, .index = 90}), (LogPosition{.term = 3, .index = 4}));
    EXPECT_LT((LogPosition{.term = 3, .index = 4}), (LogPosition{.term = 3, .index = 5}));
}

}  // namespace
}  // namespace sumackeel::consensus
