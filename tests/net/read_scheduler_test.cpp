// The scheduling of reads, on a clock of the test.
#include "net/read_scheduler.h"

#include <gtest/gtest.h>

#include <vector>

namespace sumackeel::net {
namespace {

constexpr Micros kReadTime = 100;  // us that the test lets each read take

// Streams whose input never ends, read in the same order in each iteration.
struct EndlessStreams {
    explicit EndlessStreams(std::size_t count, ReadPriority priority = ReadPriority::fair)
        : readers(count, ReadScheduler::Reader(priority)), reads(count, 0) {}

    // Returns how long the reads of one iteration took.
    Micros iterate() {
        const Micros began = now;
        for (std::size_t i = 0; i < readers.size(); ++i)
            while (scheduler.may_read(readers[i], now)) {
                ++reads[i];
                now += kReadTime;
            }
        scheduler.end_iteration();
        return now - began;
    }

    ReadScheduler scheduler;
    std::vector<ReadScheduler::Reader> readers;
    std::vector<int> reads;
    Micros now = 1'000'000;
};

TEST(ReadScheduler, OneStreamGetsOneSliceInEachIteration) {
    EndlessStreams streams(1);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(streams.iterate(), ReadScheduler::kSlice);
}

TEST(ReadScheduler, AnIterationStaysWithinItsBudget) {
    EndlessStreams streams(300);
    for (int i = 0; i < 50; ++i)
        EXPECT_LE(streams.iterate(), ReadScheduler::kIterationBudget + ReadScheduler::kSlice);
}

// Guards against a fixed order of the streams, in which the first ones would use up every iteration.
TEST(ReadScheduler, EachStreamIsReadOnceInARound) {
    EndlessStreams streams(100);
    const auto slices_per_iteration = ReadScheduler::kIterationBudget / ReadScheduler::kSlice;
    const int iterations = static_cast<int>(100 / slices_per_iteration);
    for (int i = 0; i < 3 * iterations; ++i) streams.iterate();
    const int reads_per_slice = static_cast<int>(ReadScheduler::kSlice / kReadTime);
    for (const int reads : streams.reads) EXPECT_EQ(reads, 3 * reads_per_slice);
}

TEST(ReadScheduler, StreamsThatAreReadImmediatelyAreNeverDeferred) {
    EndlessStreams streams(100, ReadPriority::immediate);
    streams.iterate();
    const int reads_per_slice = static_cast<int>(ReadScheduler::kSlice / kReadTime);
    for (const int reads : streams.reads) EXPECT_EQ(reads, reads_per_slice);
}

// An iteration that begins with its time spent already must not end without a read.
TEST(ReadScheduler, EachIterationReadsAtLeastOneStream) {
    EndlessStreams streams(2);
    for (int i = 0; i < 4; ++i) {
        const int before = streams.reads[0] + streams.reads[1];
        streams.now += 10 * ReadScheduler::kIterationBudget;
        streams.iterate();
        EXPECT_GT(streams.reads[0] + streams.reads[1], before);
    }
}

TEST(ReadScheduler, CountsDeferredReads) {
    EndlessStreams streams(1);
    streams.iterate();
    EXPECT_EQ(streams.scheduler.deferred_reads(), 1);
}

}  // namespace
}  // namespace sumackeel::net
