// Tests of the persisted state: damaged text, and a writer that is killed.
#include "recovery/persisted_state.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <string>

#include "base/files.h"
#include "base/generation_files.h"

namespace sumackeel::recovery {

TEST(PersistedStateTest, EachTruncationAndBitFlipIsAnErrorAndChangesNothing) {
    PersistedState state{.phase = Phase::priming,
                         .members = {"n0", "n1"},
                         .draining = true,
                         .bans = {"s-a", "s-b.example"},
                         .leased = {"s-c"}};
    const std::string text = encode(state);
    PersistedState read;
    ASSERT_EQ(decode(text, read), "");
    EXPECT_EQ(read, state);
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
        PersistedState other;
        EXPECT_NE(decode(text.substr(0, cut), other), "") << cut;
        EXPECT_EQ(other, PersistedState{});
    }
    for (std::size_t at = 0; at < text.size(); ++at)
        for (int bit = 0; bit < 8; ++bit) {
            std::string flipped = text;
            flipped[at] = static_cast<char>(flipped[at] ^ (1 << bit));
            PersistedState other;
            EXPECT_NE(decode(flipped, other), "") << at;
        }
}

// The writer is killed between any two of its system calls.
TEST(PersistedStateTest, AWriterKilledAtEachPointLeavesTheOldOrTheNewState) {
    const std::string folder = ::testing::TempDir() + "kept-" + std::to_string(::getpid());
    const base::GenerationFiles files(folder, "kept-", ".sumkept");
    const PersistedState before{.members = {"n0"}, .bans = {"s-a"}, .leased = {}};
    const PersistedState after{.members = {"n0"}, .bans = {"s-a", "s-b"}, .leased = {}};
    int killed = 0, new_states = 0;
    for (int point = 1; point <= 12; ++point) {
        std::filesystem::remove_all(folder);
        ASSERT_EQ(files.write(encode(before), 1, 0), "");
        ASSERT_EQ(files.write(encode(before), 2, 1), "");
        const pid_t child = ::fork();
        if (child == 0) {
            base::crash_at(point);
            files.write(encode(after), 3, 2);
            ::_exit(0);
        }
        int status = 0;
        ASSERT_EQ(::waitpid(child, &status, 0), child);
        killed += WEXITSTATUS(status) == 9 ? 1 : 0;
        // As at startup: the newest valid generation.
        PersistedState state;
        bool found = false;
        for (const std::uint64_t generation : files.generations()) {
            std::string text, error;
            ASSERT_EQ(base::read_regular_file(files.path_of(generation), kMaxStateBytes, text, error),
                      base::ReadStatus::ok);
            if (found = decode(text, state).empty(); found) break;
        }
        ASSERT_TRUE(found) << "point " << point;
        EXPECT_TRUE(state == before || state == after) << "point " << point;
        EXPECT_TRUE(WEXITSTATUS(status) == 9 || state == after);
        new_states += state == after ? 1 : 0;
    }
    EXPECT_GE(killed, 5) << "the writer has at least 5 crash points";
    EXPECT_GT(new_states, 0);
    std::filesystem::remove_all(folder);
}

}  // namespace sumackeel::recovery
