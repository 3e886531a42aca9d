// The list on disk: generations, crashes at any moment, disks that fail, and what each costs.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "endpoint_snapshot/snapshot_directory.h"
#include "endpoint_snapshot/snapshot_writer.h"

namespace sumackeel::endpoint_snapshot {
namespace {

using base::kSecond;
using endpoints::NameTables;
using endpoints::Snapshot;
using endpoints::SnapshotError;

std::string name_of(std::uint64_t generation) {
    return base::GenerationFiles("", "list-", ".sumlist").path_of(generation).substr(1);
}

const NameTables kNames{{"edge-1"}, {"small"}};

base::UnixTime wall() {
    return base::Clock().unix_now();
}

// A list that tells its number in each part, so that a mixture of two would be seen.
Snapshot list_of(std::int64_t number, base::UnixTime taken_at = {}, int members = 20) {
    Snapshot list;
    list.site = "school";
    list.taken_at = taken_at.micros ? taken_at : wall();
    list.confirmed_age = 0;
    list.last_sequence = number;
    for (int i = 0; i < members; ++i) {
        endpoints::EndpointRecord word;
        word.sequence = number;
        word.located.address = "10.0.0.1:" + std::to_string(number % 60'000);
        word.located.endpoint.name = "s-" + std::to_string(number) + '-' + std::to_string(i);
        word.located.endpoint.zone = word.located.endpoint.kind = 0;
        list.endpoints.push_back({std::make_shared<const endpoints::EndpointRecord>(word), 0});
    }
    return list;
}

bool is_whole(const Snapshot& list, int members = 20) {
    const auto expected = list_of(list.last_sequence, {1}, members);
    return list.endpoints.size() == expected.endpoints.size() &&
           std::equal(list.endpoints.begin(), list.endpoints.end(), expected.endpoints.begin(),
                      [](const auto& a, const auto& b) { return a.record->is_equivalent(*b.record); });
}

class ListFolder : public ::testing::Test {
  protected:
    ListFolder() {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        path_ = mkdtemp(form.data());
    }
    ~ListFolder() override { std::filesystem::remove_all(path_); }
    std::string put(std::uint64_t generation, const Snapshot& list) const {
        EXPECT_EQ(SnapshotDirectory(path_).write(encode(list, kNames), generation, generation - 1), "");
        return path_ + '/' + name_of(generation);
    }
    LoadedSnapshot read() const { return SnapshotDirectory(path_).read(kNames, "school", wall()); }
    std::size_t files() const {
        return static_cast<std::size_t>(
            std::distance(std::filesystem::directory_iterator(path_), std::filesystem::directory_iterator()));
    }
    std::string path_;
};

void spoil(const std::string& file, std::size_t at) {
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(static_cast<std::streamoff>(at));
    const int byte = stream.get();
    stream.seekp(static_cast<std::streamoff>(at));
    stream.put(static_cast<char>(byte ^ 1));
}

}  // namespace

TEST_F(ListFolder, TheNewestIsReadAndTwoAreKept) {
    EXPECT_FALSE(read().snapshot);
    for (std::uint64_t g = 1; g <= 5; ++g) put(g, list_of(static_cast<std::int64_t>(g)));
    const LoadedSnapshot found = read();
    EXPECT_EQ(found.snapshot->last_sequence, 5);
    EXPECT_EQ(found.generation, 5u);
    EXPECT_EQ(files(), 2u);
}

TEST_F(ListFolder, AGenerationThatCantBeUsedIsPassedOverForTheOlderOneWithTheReason) {
    const base::UnixTime now = wall();
    const auto passed = [&](const Snapshot& newer, auto&& change) {
        put(1, list_of(1, now));
        change(put(2, newer));
        const LoadedSnapshot found = read();
        EXPECT_TRUE(found.snapshot && found.snapshot->last_sequence == 1);
        EXPECT_EQ(found.generation, 2u);  // the next one is written above it
        return found.skipped.empty() ? SnapshotError::Code::unreadable : found.skipped[0].fault.code;
    };
    const auto as_it_is = [](const std::string&) {};
    EXPECT_EQ(passed(list_of(2, now + 3600 * kSecond), as_it_is), SnapshotError::Code::wrong_clock);
    EXPECT_EQ(read().warnings.size(), 1u);
    EXPECT_EQ(passed(list_of(2, {kSecond}), as_it_is), SnapshotError::Code::wrong_clock);  // 1970
    Snapshot foreign = list_of(2, now);
    foreign.site = "elsewhere";
    EXPECT_EQ(passed(foreign, as_it_is), SnapshotError::Code::other_site);
    EXPECT_EQ(passed(list_of(2, now), [](const std::string& file) { spoil(file, 100); }),
              SnapshotError::Code::damaged);
    EXPECT_EQ(passed(list_of(2, now), [](const std::string& file) { std::ofstream(file) << ""; }),
              SnapshotError::Code::not_a_list);
    EXPECT_EQ(
        passed(list_of(2, now), [](const std::string& file) { std::filesystem::resize_file(file, 200); }),
        SnapshotError::Code::damaged);
    EXPECT_EQ(passed(list_of(2, now),
                     [](const std::string& file) {
                         std::filesystem::remove(file);
                         std::filesystem::create_directory(file);
                     }),
              SnapshotError::Code::not_a_list);
}

// Guards: a crash at any byte of a write. What was written so far lies under a name that nobody reads.
TEST_F(ListFolder, AHalfWrittenFileIsNeverRead) {
    put(7, list_of(7));
    const std::string bytes = encode(list_of(8), kNames);
    for (std::size_t cut = 0; cut <= bytes.size(); cut += 13) {
        std::ofstream(path_ + "/list-unfinished.tmp", std::ios::binary) << bytes.substr(0, cut);
        const LoadedSnapshot found = read();
        ASSERT_EQ(found.snapshot->last_sequence, 7);
        ASSERT_TRUE(found.skipped.empty());
    }
    // And where the name made it to the disk before the bytes did, the older one is read.
    for (std::size_t cut = 0; cut < bytes.size(); cut += 13) {
        std::ofstream(path_ + '/' + name_of(8), std::ios::binary) << bytes.substr(0, cut);
        ASSERT_EQ(read().snapshot->last_sequence, 7);
    }
}

// Guards: a killed process must leave the old list or the new one, whenever it dies. The child tells each
// write it has finished through a pipe; what is read back may not be older than the last one told.
TEST_F(ListFolder, KilledTwoHundredTimesWhileWritingItLeavesTheOldListOrTheNewOne) {
    const unsigned seed = 20261201;
    std::mt19937 rng(seed);
    std::uint64_t generation = 0;
    std::int64_t told = 0;
    int newer = 0;
    for (int kill_number = 0; kill_number < 200; ++kill_number) {
        int ends[2];
        ASSERT_EQ(pipe(ends), 0);
        const pid_t child = fork();
        ASSERT_GE(child, 0);
        if (child == 0) {
            const SnapshotDirectory folder(path_);
            for (std::uint64_t g = generation + 1;; ++g) {
                const auto number = static_cast<std::int64_t>(g);
                if (!folder.write(encode(list_of(number), kNames), g, g - 1).empty()) _exit(1);
                if (::write(ends[1], &number, sizeof number) != sizeof number) _exit(0);
            }
        }
        ::close(ends[1]);
        std::int64_t number = 0;
        ASSERT_EQ(::read(ends[0], &number, sizeof number), static_cast<ssize_t>(sizeof number));
        usleep(static_cast<useconds_t>(rng() % 3000));  // anywhere in the writes that follow
        ::kill(child, SIGKILL);
        int status = 0;
        ::waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status));
        told = number;
        while (::read(ends[0], &number, sizeof number) == sizeof number) told = number;
        ::close(ends[0]);
        const LoadedSnapshot found = read();
        ASSERT_TRUE(found.snapshot) << "kill " << kill_number << ", seed " << seed;
        ASSERT_TRUE(found.skipped.empty()) << found.skipped[0].fault.text;
        ASSERT_TRUE(is_whole(*found.snapshot));
        ASSERT_TRUE(found.snapshot->last_sequence == told || found.snapshot->last_sequence == told + 1)
            << found.snapshot->last_sequence;
        newer += found.snapshot->last_sequence == told + 1;
        generation = found.generation;
    }
    RecordProperty("killed_after_the_rename", newer);
}

TEST_F(ListFolder, TwoProgramsOnOneFolderAreToldApart) {
    const base::DirectoryLock first(path_);
    EXPECT_EQ(first.error(), "");
    const base::DirectoryLock second(path_);
    EXPECT_NE(second.error().find("held by another program"), std::string::npos);
}

// ---- the keeper ----

namespace {

// A loop with a keeper whose list is numbered by `number`, and the log's lines.
class Keeping {
  public:
    explicit Keeping(const std::string& folder,
                     WriteSchedule pace = {.save_every = 20'000, .refresh = 50'000})
        : keeper(loop, folder, kNames, pace, [this] { return list_of(number); }) {
        uv_async_init(loop.raw(), &awake_, nullptr);  // a loop with deadlines alone counts as done
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-log-XXXXXX").string();
        const int file = mkstemp(form.data());
        log_ = form;
        fflush(stderr);
        stderr_ = dup(2);
        dup2(file, 2);
        ::close(file);
    }
    ~Keeping() {
        restore();
        std::filesystem::remove(log_);
    }
    void restore() {
        if (stderr_ < 0) return;
        fflush(stderr);
        dup2(stderr_, 2);
        ::close(std::exchange(stderr_, -1));
    }
    template <typename Holds>
    bool until(Holds holds) {
        const Micros bound = loop.clock().now() + 20 * kSecond;
        while (!holds()) {
            if (loop.clock().now() > bound) return false;
            loop.timers().schedule(loop.clock().now() + 1'000, [] {});
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
        return true;
    }
    int lines_with(const std::string& words) {
        fflush(stderr);
        std::ifstream file(log_);
        int count = 0;
        for (std::string line; std::getline(file, line);) count += line.find(words) != std::string::npos;
        return count;
    }

    uv_async_t awake_{};  // outlives the loop
    std::int64_t number = 1;
    net::Loop loop;
    SnapshotWriter keeper;

  private:
    std::string log_;
    int stderr_ = -1;
};

}  // namespace

TEST_F(ListFolder, ChangesAreWrittenSoonAndNotTooOften) {
    Keeping keeping(path_);
    keeping.keeper.on_changed();
    EXPECT_FALSE(keeping.keeper.writing());  // not before it knows what is there
    keeping.keeper.start_after(4, 0);
    const Micros start = keeping.loop.clock().now();
    ASSERT_TRUE(keeping.until([&] {
        ++keeping.number;
        keeping.keeper.on_changed();
        return keeping.keeper.metrics().written >= 10;
    }));
    EXPECT_GE(keeping.loop.clock().now() - start, 9 * 20'000);
    EXPECT_EQ(read().generation, 4 + keeping.keeper.metrics().written);
    EXPECT_EQ(files(), 2u);
}

TEST_F(ListFolder, AConfirmedListIsWrittenAnewThoughNothingChanged) {
    Keeping keeping(path_);
    keeping.keeper.start_after(0, 0);
    ASSERT_TRUE(keeping.until([&] {
        keeping.keeper.on_confirmed();
        return keeping.keeper.metrics().written >= 3;
    }));
}

// Guards: a full disk costs one line when it begins and one when it ends, and the last good list stays.
TEST_F(ListFolder, AFullDiskCostsOneLineAndIsTriedAgain) {
    put(1, list_of(1));
    Keeping keeping(path_);
    signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit full{0, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);  // each write from here on fails
    keeping.keeper.start_after(1, 1);
    keeping.number = 2;
    keeping.keeper.on_changed();
    const bool failed = keeping.until([&] { return keeping.keeper.metrics().failed >= 3; });
    setrlimit(RLIMIT_FSIZE, &before);
    ASSERT_TRUE(failed);
    EXPECT_EQ(read().snapshot->last_sequence, 1);
    ASSERT_TRUE(keeping.until([&] { return keeping.keeper.metrics().written == 1; }));
    EXPECT_EQ(read().snapshot->last_sequence, 2);
    EXPECT_EQ(keeping.lines_with("saved list: written again"), 1);
}

TEST_F(ListFolder, AMissingFolderThatCantBeMadeCostsOneLine) {
    std::ofstream(path_ + "/file") << "no folder";
    Keeping keeping(path_ + "/file/list");
    keeping.keeper.start_after(0, 0);
    keeping.keeper.on_changed();
    ASSERT_TRUE(keeping.until([&] { return keeping.keeper.metrics().failed >= 4; }));
    EXPECT_EQ(keeping.lines_with("saved list: not written"), 1);
}

// Guards: a disk that hangs must hold up neither the loop nor the end of the program's work. A pipe that
// nobody reads stands in for it: opening it to write waits.
TEST_F(ListFolder, ADiskThatHangsHoldsNobodyUp) {
    ASSERT_EQ(mkfifo((path_ + "/list-unfinished.tmp").c_str(), 0600), 0);
    Keeping keeping(path_);
    keeping.keeper.start_after(0, 0);
    keeping.keeper.on_changed();
    int turns = 0;
    const Micros start = keeping.loop.clock().now();
    EXPECT_TRUE(keeping.until([&] { return ++turns > 50; }));
    EXPECT_LT(keeping.loop.clock().now() - start, 5 * kSecond);
    EXPECT_TRUE(keeping.keeper.writing());
    const int reader =
        ::open((path_ + "/list-unfinished.tmp").c_str(), O_RDONLY | O_NONBLOCK);  // it wakes up
    std::filesystem::remove(path_ + "/list-unfinished.tmp");
    EXPECT_TRUE(keeping.until([&] { return keeping.keeper.metrics().written > 0; }));
    ::close(reader);
}

TEST_F(ListFolder, AFolderIsReadAsideAndOnce) {
    put(3, list_of(3));
    SnapshotLoader loading(path_, kNames, "school", wall());
    const auto found = loading.take(std::chrono::seconds(20));
    ASSERT_TRUE(found);
    EXPECT_EQ(found->snapshot->last_sequence, 3);
    EXPECT_EQ(found->lock->error(), "");
    EXPECT_NE(base::DirectoryLock(path_).error(),
              "");  // locked before anything is written, however slow the disk
    EXPECT_FALSE(loading.take(std::chrono::milliseconds(0)));
}

}  // namespace sumackeel::endpoint_snapshot
