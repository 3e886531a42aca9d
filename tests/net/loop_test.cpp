// The loop beside streams whose input never ends, on real sockets.
#include "net/loop.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/stream.h"
#include "socket_pair.h"

namespace sumackeel::net {
namespace {

// Handling input takes this long for each byte.
constexpr std::uint64_t kNanosecondsPerByte = 16;       // as small requests do
constexpr std::uint64_t kSlowNanosecondsPerByte = 400;  // so that all of the input takes about a second
constexpr std::size_t kInputBytes = 4 << 20;  // of each flooded stream, as far as the system takes it
constexpr int kFloodedStreams = 20;

void spend(std::uint64_t nanoseconds) {
    const std::uint64_t end = uv_hrtime() + nanoseconds;
    while (uv_hrtime() < end) continue;
}

struct LoopTest : testing::Test {
    struct Counter : Stream::Handler {
        LoopTest& test;
        Stream* stream = nullptr;
        int client = -1;
        std::size_t received = 0;
        std::size_t received_before = 0;  // by all streams, before this one's last bytes
        Micros arrived_after = 0;         // of the last bytes

        explicit Counter(LoopTest& owner) : test(owner) {}
        void on_data(Stream& from, std::string_view bytes) override {
            received += bytes.size();
            received_before = std::exchange(test.received, test.received + bytes.size());
            arrived_after = from.arrived_after();
            spend(bytes.size() * test.nanoseconds_per_byte);
        }
        void on_close(Stream&, DisconnectCause) override { stream = nullptr; }
    };

    Counter& add_stream() {
        const SocketPair pair = connect_pair();
        EXPECT_GE(pair.server, 0);
        Counter& counter = *streams.emplace_back(std::make_unique<Counter>(*this));
        counter.client = pair.client;
        counter.stream = Stream::adopt(loop, budget, pair.server, counter);
        return counter;
    }

    void flood(const Counter& counter) {
        const std::string input(kInputBytes, 'x');
        for (std::size_t at = 0; at < input.size();) {
            const ssize_t sent = send(counter.client, input.data() + at, input.size() - at, MSG_DONTWAIT);
            if (sent <= 0) return;
            at += static_cast<std::size_t>(sent);
            flooded += static_cast<std::size_t>(sent);
        }
    }

    ~LoopTest() override {
        for (const auto& counter : streams) {
            close(counter->client);
            if (counter->stream) counter->stream->close();
        }
    }

    Loop loop;
    SocketBudget budget{100};
    std::vector<std::unique_ptr<Counter>> streams;
    std::uint64_t nanoseconds_per_byte = kNanosecondsPerByte;
    std::size_t flooded = 0;   // bytes, to all streams
    std::size_t received = 0;  // bytes, by all streams
};

// The most that the loop reads in an iteration, by the time that handling it takes.
constexpr std::size_t kMaxBytesPerIteration =
    (ReadScheduler::kIterationBudget + 4 * ReadScheduler::kSlice) * 1'000 / kNanosecondsPerByte;

// Guards against clients at full speed that keep timers, and with them every deadline, from running.
TEST_F(LoopTest, TimersRunBesideEndlessInput) {
    for (int i = 0; i < kFloodedStreams; ++i) flood(add_stream());
    std::size_t received_at_timer = 0;
    loop.timers().schedule(loop.clock().now(), [&] { received_at_timer = received; });
    loop.on_each_iteration([&] {
        if (received == flooded) loop.stop();
    });
    loop.run();
    EXPECT_GT(received_at_timer, 0);
    EXPECT_LE(received_at_timer, kMaxBytesPerIteration);
}

// Guards against clients at full speed whose input is read again and again ahead of another's one request.
TEST_F(LoopTest, AStreamIsReadWithinARoundBesideEndlessInput) {
    for (int i = 0; i < kFloodedStreams; ++i) flood(add_stream());
    Counter& usual = add_stream();
    ASSERT_EQ(send(usual.client, "x", 1, 0), 1);
    const Micros sent_at = loop.clock().now();
    loop.on_each_iteration([&] {
        if (usual.received > 0) loop.stop();
    });
    loop.timers().schedule(loop.clock().now() + 5'000'000, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(usual.received, 1);
    constexpr std::size_t kMaxBytesPerRound =
        kFloodedStreams * 2 * ReadScheduler::kSlice * 1'000 / kNanosecondsPerByte;
    EXPECT_LE(usual.received_before, kMaxBytesPerRound);
    EXPECT_LE(usual.arrived_after, sent_at);
}

// Guards against a catch-up after a stall that begins anew for as long as input is waiting.
TEST_F(LoopTest, TimersRunSoonAfterAStallBesideEndlessInput) {
    constexpr Micros kStall = 200'000;
    constexpr Micros kMaxTimerDelay = 150'000;  // after the stall
    nanoseconds_per_byte = kSlowNanosecondsPerByte;
    for (int i = 0; i < kFloodedStreams; ++i) flood(add_stream());
    std::size_t received_at_stall = 0, received_at_timer = 0;
    const Micros start = loop.clock().now();
    loop.timers().schedule(start, [&] {
        spend(kStall * 1'000);
        received_at_stall = received;
    });
    loop.timers().schedule(start + kStall, [&] {
        received_at_timer = received;
        loop.stop();
    });
    loop.run();
    EXPECT_GE(loop.metrics().catch_up_iterations, 1);
    EXPECT_LE(received_at_timer - received_at_stall, kMaxTimerDelay * 1'000 / kSlowNanosecondsPerByte);
}

// Guards against a stall that is counted again in each iteration of the catch-up: it is deducted from the
// time that servers took.
TEST_F(LoopTest, AStallIsCountedOnceBesideEndlessInput) {
    constexpr Micros kStall = 200'000;
    for (int i = 0; i < kFloodedStreams; ++i) flood(add_stream());
    const Micros start = loop.clock().now();
    loop.timers().schedule(start, [&] { spend(kStall * 1'000); });
    loop.timers().schedule(start + 1, [&] { static_cast<void>(0); });
    loop.on_each_iteration([&] {
        if (received == flooded) loop.stop();
    });
    loop.run();
    const Micros elapsed = loop.clock().now() - start;
    EXPECT_LE(loop.clock().total_stall_time(), elapsed);
}

}  // namespace
}  // namespace sumackeel::net
