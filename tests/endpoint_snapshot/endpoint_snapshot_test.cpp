// Endpoint snapshots on disk: generations, crashes at any moment of a write, and failing disks.
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

std::string file_name_of(std::uint64_t generation) {
    return base::GenerationFiles("", "list-", ".sumlist").path_of(generation).substr(1);
}

const NameTables kNames{{"edge-1"}, {"small"}};

base::UnixTime wall_now() {
    return base::Clock().unix_now();
}

// A snapshot with its number in each part, so that a mixture of two is detected.
Snapshot numbered_snapshot(std::int64_t number, base::UnixTime taken_at = {}, int members = 20) {
    Snapshot snapshot;
    snapshot.site = "school";
    snapshot.taken_at = taken_at.micros ? taken_at : wall_now();
    snapshot.confirmed_age = 0;
    snapshot.last_sequence = number;
    for (int i = 0; i < members; ++i) {
        endpoints::EndpointRecord record;
        record.sequence = number;
        record.located.address = "10.0.0.1:" + std::to_string(number % 60'000);
        record.located.endpoint.name = "s-" + std::to_string(number) + '-' + std::to_string(i);
        record.located.endpoint.zone = record.located.endpoint.kind = 0;
        snapshot.endpoints.push_back({std::make_shared<const endpoints::EndpointRecord>(record), 0});
    }
    return snapshot;
}

bool is_complete(const Snapshot& snapshot, int members = 20) {
    const auto expected = numbered_snapshot(snapshot.last_sequence, {1}, members);
    return snapshot.endpoints.size() == expected.endpoints.size() &&
           std::equal(snapshot.endpoints.begin(), snapshot.endpoints.end(), expected.endpoints.begin(),
                      [](const auto& a, const auto& b) { return a.record->is_equivalent(*b.record); });
}

class ListFolder : public ::testing::Test {
  protected:
    ListFolder() {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        path_ = mkdtemp(form.data());
    }
    ~ListFolder() override { std::filesystem::remove_all(path_); }
    std::string write_generation(std::uint64_t generation, const Snapshot& snapshot) const {
        EXPECT_EQ(SnapshotDirectory(path_).write(encode(snapshot, kNames), generation, generation - 1), "");
        return path_ + '/' + file_name_of(generation);
    }
    LoadedSnapshot read() const { return SnapshotDirectory(path_).read(kNames, "school", wall_now()); }
    std::size_t files() const {
        return static_cast<std::size_t>(
            std::distance(std::filesystem::directory_iterator(path_), std::filesystem::directory_iterator()));
    }
    std::string path_;
};

void flip_bit(const std::string& file, std::size_t at) {
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(static_cast<std::streamoff>(at));
    const int byte = stream.get();
    stream.seekp(static_cast<std::streamoff>(at));
    stream.put(static_cast<char>(byte ^ 1));
}

}  // namespace

TEST_F(ListFolder, TheNewestIsReadAndTwoAreKept) {
    EXPECT_FALSE(read().snapshot);
    for (std::uint64_t g = 1; g <= 5; ++g)
        write_generation(g, numbered_snapshot(static_cast<std::int64_t>(g)));
    const LoadedSnapshot loaded = read();
    EXPECT_EQ(loaded.snapshot->last_sequence, 5);
    EXPECT_EQ(loaded.generation, 5u);
    EXPECT_EQ(files(), 2u);
}

TEST_F(ListFolder, AGenerationThatCantBeUsedIsPassedOverForTheOlderOneWithTheReason) {
    const base::UnixTime now = wall_now();
    const auto skip_reason = [&](const Snapshot& newer, auto&& change) {
        write_generation(1, numbered_snapshot(1, now));
        change(write_generation(2, newer));
        const LoadedSnapshot loaded = read();
        EXPECT_TRUE(loaded.snapshot && loaded.snapshot->last_sequence == 1);
        EXPECT_EQ(loaded.generation, 2u);  // the next one is written after it
        return loaded.skipped.empty() ? SnapshotError::Code::unreadable : loaded.skipped[0].fault.code;
    };
    const auto unchanged = [](const std::string&) {};
    EXPECT_EQ(skip_reason(numbered_snapshot(2, now + 3600 * kSecond), unchanged),
              SnapshotError::Code::wrong_clock);
    EXPECT_EQ(read().warnings.size(), 1u);
    EXPECT_EQ(skip_reason(numbered_snapshot(2, {kSecond}), unchanged),
              SnapshotError::Code::wrong_clock);  // 1970
    Snapshot foreign = numbered_snapshot(2, now);
    foreign.site = "elsewhere";
    EXPECT_EQ(skip_reason(foreign, unchanged), SnapshotError::Code::other_site);
    EXPECT_EQ(skip_reason(numbered_snapshot(2, now), [](const std::string& file) { flip_bit(file, 100); }),
              SnapshotError::Code::damaged);
    EXPECT_EQ(
        skip_reason(numbered_snapshot(2, now), [](const std::string& file) { std::ofstream(file) << ""; }),
        SnapshotError::Code::not_a_list);
    EXPECT_EQ(skip_reason(numbered_snapshot(2, now),
                          [](const std::string& file) { std::filesystem::resize_file(file, 200); }),
              SnapshotError::Code::damaged);
    EXPECT_EQ(skip_reason(numbered_snapshot(2, now),
                          [](const std::string& file) {
                              std::filesystem::remove(file);
                              std::filesystem::create_directory(file);
                          }),
              SnapshotError::Code::not_a_list);
}

// Guards against a crash at any byte of a write: the unfinished file has a name that is never read.
TEST_F(ListFolder, AHalfWrittenFileIsNeverRead) {
    write_generation(7, numbered_snapshot(7));
    const std::string bytes = encode(numbered_snapshot(8), kNames);
    for (std::size_t cut = 0; cut <= bytes.size(); cut += 13) {
        std::ofstream(path_ + "/list-unfinished.tmp", std::ios::binary) << bytes.substr(0, cut);
        const LoadedSnapshot loaded = read();
        ASSERT_EQ(loaded.snapshot->last_sequence, 7);
        ASSERT_TRUE(loaded.skipped.empty());
    }
    // If the rename reached the disk before the contents did, the older generation is read.
    for (std::size_t cut = 0; cut < bytes.size(); cut += 13) {
        std::ofstream(path_ + '/' + file_name_of(8), std::ios::binary) << bytes.substr(0, cut);
        ASSERT_EQ(read().snapshot->last_sequence, 7);
    }
}

// Guards against a process killed during a write leaving anything but the old or the new list. The child
// reports each finished write through a pipe; the list read back must not be older than the last reported
// one.
TEST_F(ListFolder, KilledTwoHundredTimesWhileWritingItLeavesTheOldListOrTheNewOne) {
    const unsigned seed = 20261201;
    std::mt19937 rng(seed);
    std::uint64_t generation = 0;
    std::int64_t last_reported = 0;
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
                if (!folder.write(encode(numbered_snapshot(number), kNames), g, g - 1).empty()) _exit(1);
                if (::write(ends[1], &number, sizeof number) != sizeof number) _exit(0);
            }
        }
        ::close(ends[1]);
        std::int64_t number = 0;
        ASSERT_EQ(::read(ends[0], &number, sizeof number), static_cast<ssize_t>(sizeof number));
        usleep(static_cast<useconds_t>(rng() % 3000));  // at any point of the writes that follow
        ::kill(child, SIGKILL);
        int status = 0;
        ::waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status));
        last_reported = number;
        while (::read(ends[0], &number, sizeof number) == sizeof number) last_reported = number;
        ::close(ends[0]);
        const LoadedSnapshot loaded = read();
        ASSERT_TRUE(loaded.snapshot) << "kill " << kill_number << ", seed " << seed;
        ASSERT_TRUE(loaded.skipped.empty()) << loaded.skipped[0].fault.text;
        ASSERT_TRUE(is_complete(*loaded.snapshot));
        ASSERT_TRUE(loaded.snapshot->last_sequence == last_reported ||
                    loaded.snapshot->last_sequence == last_reported + 1)
            << loaded.snapshot->last_sequence;
        newer += loaded.snapshot->last_sequence == last_reported + 1;
        generation = loaded.generation;
    }
    RecordProperty("killed_after_the_rename", newer);
}

TEST_F(ListFolder, TwoProgramsOnOneFolderAreToldApart) {
    const base::DirectoryLock first(path_);
    EXPECT_EQ(first.error(), "");
    const base::DirectoryLock second(path_);
    EXPECT_NE(second.error().find("held by another program"), std::string::npos);
}

// ---- SnapshotWriter ----

namespace {

// A loop with a writer whose snapshots carry `number`, and the captured log lines.
class WriterHarness {
  public:
    explicit WriterHarness(const std::string& folder,
                           WriteSchedule schedule = {.save_every = 20'000, .refresh = 50'000})
        : writer(loop, folder, kNames, schedule, [this] { return numbered_snapshot(number); }) {
        uv_async_init(loop.raw(), &awake_, nullptr);  // deadlines alone do not keep the loop running
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-log-XXXXXX").string();
        const int file = mkstemp(form.data());
        log_ = form;
        fflush(stderr);
        stderr_ = dup(2);
        dup2(file, 2);
        ::close(file);
    }
    ~WriterHarness() {
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
    bool run_until(Holds holds) {
        const Micros bound = loop.clock().now() + 20 * kSecond;
        while (!holds()) {
            if (loop.clock().now() > bound) return false;
            loop.timers().schedule(loop.clock().now() + 1'000, [] {});
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
        return true;
    }
    int count_log_lines(const std::string& words) {
        fflush(stderr);
        std::ifstream file(log_);
        int count = 0;
        for (std::string line; std::getline(file, line);) count += line.find(words) != std::string::npos;
        return count;
    }

    uv_async_t awake_{};  // outlives the loop
    std::int64_t number = 1;
    net::Loop loop;
    SnapshotWriter writer;

  private:
    std::string log_;
    int stderr_ = -1;
};

}  // namespace

TEST_F(ListFolder, ChangesAreWrittenSoonAndNotTooOften) {
    WriterHarness harness(path_);
    harness.writer.on_changed();
    EXPECT_FALSE(harness.writer.writing());  // not before start_after()
    harness.writer.start_after(4, 0);
    const Micros start = harness.loop.clock().now();
    ASSERT_TRUE(harness.run_until([&] {
        ++harness.number;
        harness.writer.on_changed();
        return harness.writer.metrics().written >= 10;
    }));
    EXPECT_GE(harness.loop.clock().now() - start, 9 * 20'000);
    EXPECT_EQ(read().generation, 4 + harness.writer.metrics().written);
    EXPECT_EQ(files(), 2u);
}

TEST_F(ListFolder, AConfirmedListIsWrittenAnewThoughNothingChanged) {
    WriterHarness harness(path_);
    harness.writer.start_after(0, 0);
    ASSERT_TRUE(harness.run_until([&] {
        harness.writer.on_confirmed();
        return harness.writer.metrics().written >= 3;
    }));
}

// Guards against a full disk that floods the log or destroys the last good list: one line is logged when the
// failure begins and one when it ends.
TEST_F(ListFolder, AFullDiskCostsOneLineAndIsTriedAgain) {
    write_generation(1, numbered_snapshot(1));
    WriterHarness harness(path_);
    signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit full{0, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);  // each write from here on fails
    harness.writer.start_after(1, 1);
    harness.number = 2;
    harness.writer.on_changed();
    const bool failed = harness.run_until([&] { return harness.writer.metrics().failed >= 3; });
    setrlimit(RLIMIT_FSIZE, &before);
    ASSERT_TRUE(failed);
    EXPECT_EQ(read().snapshot->last_sequence, 1);
    ASSERT_TRUE(harness.run_until([&] { return harness.writer.metrics().written == 1; }));
    EXPECT_EQ(read().snapshot->last_sequence, 2);
    EXPECT_EQ(harness.count_log_lines("endpoint_snapshot: writes_resumed failures="), 1);
}

TEST_F(ListFolder, AMissingFolderThatCantBeMadeCostsOneLine) {
    std::ofstream(path_ + "/file") << "no folder";
    WriterHarness harness(path_ + "/file/list");
    harness.writer.start_after(0, 0);
    harness.writer.on_changed();
    ASSERT_TRUE(harness.run_until([&] { return harness.writer.metrics().failed >= 4; }));
    EXPECT_EQ(harness.count_log_lines("endpoint_snapshot: write_failed reason="), 1);
}

// Guards against a disk that hangs blocking the loop or the end of the program. A FIFO without a reader
// simulates it: opening it for writing blocks.
TEST_F(ListFolder, ADiskThatHangsHoldsNobodyUp) {
    ASSERT_EQ(mkfifo((path_ + "/list-unfinished.tmp").c_str(), 0600), 0);
    WriterHarness harness(path_);
    harness.writer.start_after(0, 0);
    harness.writer.on_changed();
    int turns = 0;
    const Micros start = harness.loop.clock().now();
    EXPECT_TRUE(harness.run_until([&] { return ++turns > 50; }));
    EXPECT_LT(harness.loop.clock().now() - start, 5 * kSecond);
    EXPECT_TRUE(harness.writer.writing());
    const int reader =
        ::open((path_ + "/list-unfinished.tmp").c_str(), O_RDONLY | O_NONBLOCK);  // unblocks the write
    std::filesystem::remove(path_ + "/list-unfinished.tmp");
    EXPECT_TRUE(harness.run_until([&] { return harness.writer.metrics().written > 0; }));
    ::close(reader);
}

TEST_F(ListFolder, AFolderIsReadAsideAndOnce) {
    write_generation(3, numbered_snapshot(3));
    SnapshotLoader loader(path_, kNames, "school", wall_now());
    const auto loaded = loader.take(std::chrono::seconds(20));
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->snapshot->last_sequence, 3);
    EXPECT_EQ(loaded->lock->error(), "");
    EXPECT_NE(base::DirectoryLock(path_).error(),
              "");  // locked before anything is written, even on a slow disk
    EXPECT_FALSE(loader.take(std::chrono::milliseconds(0)));
}

}  // namespace sumackeel::endpoint_snapshot
