// Handshakes between voters that are late. Guards against connections that are given up before their greeting
// and made anew, so that none ever comes up (review/7 at the voters).
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "consensus/raft_handshake.h"
#include "consensus/raft_transport.h"

namespace sumackeel::consensus {
namespace {

using base::Micros;

constexpr Micros kLate = 2'500'000;
constexpr Micros kTimeLimit = 6'500'000;
constexpr std::uint64_t kHistory = 3;

// A transport that connects to a voter which this test plays.
struct LateHandshake : testing::Test {
    net::Loop loop;
    const MessageCodec codec{"test", {{"a key that all members share"}}};
    std::vector<int> accepted;  // sockets, in their order
    net::Listener peer{loop, "127.0.0.1:0", [this] { accept(); }};
    std::function<void(int socket, std::size_t number)> on_accepted = [](int, std::size_t) {};
    RaftTransport transport{loop, codec, "127.0.0.1:0", [](const std::string& address) { return address; },
                            [](std::uint64_t) {}};
    raft_uv_connect request{};
    struct Result {
        net::Loop& loop;
        int status = RAFT_CANCELED;
        uv_stream_t* stream = nullptr;
    } result{loop};

    void SetUp() override {
        transport.set_history(kHistory);
        transport.raw()->init(transport.raw(), 1, "127.0.0.1:0");
    }
    void TearDown() override {
        for (const int socket : accepted) ::close(socket);
        if (result.stream)
            uv_close(reinterpret_cast<uv_handle_t*>(result.stream),
                     [](uv_handle_t* handle) { raft_free(handle); });
        transport.raw()->close(transport.raw(), [](raft_uv_transport*) {});
        uv_run(loop.raw(), UV_RUN_NOWAIT);
        uv_run(loop.raw(), UV_RUN_NOWAIT);
    }
    void accept() {
        for (int socket = peer.accept(); socket >= 0; socket = peer.accept()) {
            accepted.push_back(socket);
            on_accepted(socket, accepted.size());
        }
    }
    void greet(int socket) const {
        Greeting greeting{};
        encode_greeting(codec, kHistory, greeting);
        ASSERT_EQ(::send(socket, greeting.data(), greeting.size(), MSG_NOSIGNAL), kGreetingBytes);
    }
    void greet_later(int socket, Micros after) {
        loop.timers().schedule(loop.clock().now() + after, [this, socket] { greet(socket); });
    }
    // The status, or RAFT_CANCELED at the time limit.
    int connect() {
        request.data = &result;
        const std::string address = "127.0.0.1:" + std::to_string(peer.port());
        transport.raw()->connect(transport.raw(), &request, 2, address.c_str(),
                                 [](raft_uv_connect* done, uv_stream_t* stream, int status) {
                                     auto* to = static_cast<Result*>(done->data);
                                     to->status = status;
                                     to->stream = stream;
                                     to->loop.stop();
                                 });
        loop.timers().schedule(loop.clock().now() + kTimeLimit, [this] { loop.stop(); });
        loop.run();
        return result.status;
    }
};

TEST_F(LateHandshake, IsDoneWhereEachGreetingIsLate) {
    on_accepted = [this](int socket, std::size_t) { greet_later(socket, kLate); };
    EXPECT_EQ(connect(), 0);
    EXPECT_LE(accepted.size(), 3U);
}

// The first connections are dead: they are accepted, and nothing comes.
TEST_F(LateHandshake, IsDoneByALaterConnectionWhereTheFirstAreSilent) {
    on_accepted = [this](int socket, std::size_t number) {
        if (number == 3) greet(socket);
    };
    EXPECT_EQ(connect(), 0);
}

TEST_F(LateHandshake, OfAPeerThatNeverGreetsAFewWaitAtATime) {
    EXPECT_EQ(connect(), RAFT_CANCELED);
    EXPECT_LE(accepted.size(), 7U);
    std::size_t open = 0;
    for (const int socket : accepted) {
        char byte = 0;
        open += ::recv(socket, &byte, 1, MSG_DONTWAIT) < 0 ? 1 : 0;  // 0: closed
    }
    EXPECT_EQ(open, base::PendingCalls::kMaxPending);
}

}  // namespace
}  // namespace sumackeel::consensus
