// What writes hold until they are done. Guards against answers to a client that never reads taking several
// times the memory that is counted for them, until the process is killed.
#include <gtest/gtest.h>

#include "net/loop.h"
#include "net/stream.h"
#include "socket_pair.h"

namespace sumackeel::net {
namespace {

constexpr int kWrites = 20'000;
constexpr std::size_t kSmallAnswer = 40;               // bytes, as the answer to `alive`
constexpr std::size_t kFillsSystemBuffers = 16 << 20;  // bytes

struct IdleHandler : Stream::Handler {
    void on_data(Stream&, std::string_view) override {}
    void on_close(Stream&, DisconnectCause) override {}
};

}  // namespace

TEST(WriteMemory, SmallWritesCountWithAllThatTheyHold) {
    Loop loop;
    SocketBudget budget(8);
    IdleHandler handler;
    const SocketPair sockets = connect_pair();
    Stream* stream = Stream::adopt(loop, budget, sockets.server, handler);
    ASSERT_NE(stream, nullptr);
    stream->write(std::string(kFillsSystemBuffers, 'x'));
    const std::size_t before = stream->write_memory();
    EXPECT_GE(before, kFillsSystemBuffers);
    for (int i = 0; i < kWrites; ++i) stream->write(std::string(kSmallAnswer, 'x'));
    EXPECT_GE(stream->write_memory() - before, kWrites * (kSmallAnswer + sizeof(uv_write_t)));
    EXPECT_EQ(budget.write_memory(), stream->write_memory());
    stream->close();
    loop.timers().schedule(loop.clock().now() + 10'000, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(budget.write_memory(), 0) << "given back with the connection";
    close(sockets.client);
}

}  // namespace sumackeel::net
