// Tests of the import of the legacy store's files and of one-time links through Redis, on one event loop
// over loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "net/listener.h"
#include "net/stream.h"
#include "store/legacy_store_import.h"
#include "store/redis_one_time_tokens.h"
#include "store/store_api.h"

using namespace sumackeel;

namespace {

class Folder {
  public:
    Folder() {
        std::string path_template = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        path_ = mkdtemp(path_template.data());
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    std::string at(const std::string& name) const { return path_ + '/' + name; }

  private:
    std::string path_;
};

// Runs the event loop until a condition holds; the time limit only turns a hang into a failure.
struct TestLoop {
    net::Loop loop;
    net::SocketBudget budget{64};

    template <typename Holds>
    bool run_until(Holds holds) {
        const auto bound = loop.clock().now() + 10'000'000;
        while (!holds()) {
            if (loop.clock().now() > bound) return false;
            loop.timers().schedule(loop.clock().now() + 1'000, [] {});
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
        return true;
    }
};

// A line with its checksum, as written by versions before 0.3.
std::string with_checksum(const std::string& text) {
    unsigned char digest[EVP_MAX_MD_SIZE];
    EVP_Digest(text.data(), text.size(), digest, nullptr, EVP_sha256(), nullptr);
    std::string sum;
    for (int i = 0; i < 8; ++i) sum += fmt::format("{:02x}", digest[i]);
    return sum + ' ' + text + '\n';
}
std::string log_record(int seq, const std::string& key, const std::string& value) {
    return with_checksum(
        fmt::format(R"({{"epoch":2,"key":"{}","seq":{},"value":"{}","version":{}}})", key, seq, value, seq));
}

}  // namespace

// Guards: writes acknowledged by the store of earlier versions must not be lost. A truncated last record was
// never acknowledged and is skipped; an invalid record before it was acknowledged, so the import fails
// instead of skipping it.
TEST_CASE("the old store is read whole, or named as damaged") {
    Folder folder;
    CHECK_FALSE(store::has_legacy_store(folder.at("")));
    const auto write = [&](const char* name, const std::string& text) {
        std::ofstream(folder.at(name), std::ios::binary | std::ios::trunc) << text;
    };
    write("promise", with_checksum(R"({"epoch":2,"leader":"b"})"));
    write("snapshot", with_checksum(R"({"epoch":1,"keys":{"key/k":{"value":"off","version":1}},"seq":2})"));
    const std::string log =
        log_record(2, "key/k", "off") + log_record(3, "revoked/j", "yes") + log_record(4, "key/k", "on");
    write("log", log);
    REQUIRE(store::has_legacy_store(folder.at("")));
    store::LegacyStore legacy = store::read_legacy_store(folder.at(""));
    CHECK(legacy.leader == "b");
    CHECK(legacy.values == std::map<std::string, std::string>{{"key/k", "on"}, {"revoked/j", "yes"}});
    for (std::size_t cut = 1; cut < log_record(4, "key/k", "on").size(); ++cut) {
        write("log", log.substr(0, log.size() - cut));
        CHECK(store::read_legacy_store(folder.at("")).values.at("key/k") == "off");
    }
    std::string corrupted = log;
    corrupted[log_record(2, "key/k", "off").size() + 30] ^= 1;
    write("log", corrupted);
    CHECK_THROWS_AS(store::read_legacy_store(folder.at("")), store::StoreError);
    write("log", log_record(3, "a", "b") + log_record(5, "a", "c"));
    CHECK_THROWS_AS(store::read_legacy_store(folder.at("")), store::StoreError);
    write("log", log);
    write("snapshot", "0123456789abcdef {}\n");
    CHECK_THROWS_AS(store::read_legacy_store(folder.at("")), store::StoreError);
}

namespace {

// A Redis stub that handles SET key 1 NX PX ms and DEL key in the Redis protocol (RESP).
struct RedisStub : net::Stream::Handler {
    std::map<std::string, std::string> keys;
    std::vector<net::Stream*> streams;
    std::string buffer;
    bool silent = false;
    net::Loop* loop = nullptr;
    base::Micros late = 0;  // 0: replies at once
    int waiting = 0;        // late replies that are not sent yet

    // In the order of the commands.
    void reply(net::Stream& stream, const std::string& text) {
        if (late == 0) return stream.write(text);
        ++waiting;
        loop->timers().schedule(loop->clock().now() + late, [this, &stream, text] {
            --waiting;
            stream.write(text);
        });
    }
    void on_data(net::Stream& stream, std::string_view bytes) override {
        buffer += bytes;
        for (;;) {
            std::size_t at = 0;
            const auto read_number = [&](char mark) -> long {
                const auto end = buffer.find("\r\n", at);
                if (end == std::string::npos || buffer[at] != mark) return -1;
                const long value = std::stol(buffer.substr(at + 1, end - at - 1));
                at = end + 2;
                return value;
            };
            const long count = read_number('*');
            std::vector<std::string> arguments;
            for (long i = 0; i < count; ++i) {
                const long length = read_number('$');
                if (length < 0 || buffer.size() < at + static_cast<std::size_t>(length) + 2) return;
                arguments.push_back(buffer.substr(at, static_cast<std::size_t>(length)));
                at += static_cast<std::size_t>(length) + 2;
            }
            if (count < 1) return;
            buffer.erase(0, at);
            if (silent) continue;
            if (arguments[0] == "DEL")
                reply(stream, ":" + std::to_string(keys.erase(arguments[1])) + "\r\n");
            else if (arguments.size() == 6 && arguments[3] == "NX" && arguments[4] == "PX")
                reply(stream, keys.emplace(arguments[1], arguments[2]).second ? "+OK\r\n" : "$-1\r\n");
            else
                stream.write("-ERR not here\r\n");
        }
    }
    void on_close(net::Stream& stream, net::DisconnectCause) override { std::erase(streams, &stream); }
};

struct RedisLinks {
    TestLoop test_loop;
    RedisStub redis;
    std::unique_ptr<net::Listener> listener;
    std::vector<int> sockets;  // of all connections, in their order
    std::unique_ptr<store::RedisOneTimeTokens> one_time;

    RedisLinks() {
        listener = std::make_unique<net::Listener>(test_loop.loop, "127.0.0.1:0", [this] {
            sockets.push_back(listener->accept());
            redis.streams.push_back(
                net::Stream::adopt(test_loop.loop, test_loop.budget, sockets.back(), redis));
        });
        one_time = std::make_unique<store::RedisOneTimeTokens>(
            test_loop.loop, "127.0.0.1:" + std::to_string(listener->port()));
    }
    ~RedisLinks() { close_streams(); }
    void close_streams() {
        for (net::Stream* stream : std::exchange(redis.streams, {})) stream->close();
    }
    core::TokenUse redeem_token(const std::string& name) {
        std::optional<core::TokenUse> result;
        one_time->redeem(name, 0, 60, [&](core::TokenUse token_use) { result = token_use; });
        CHECK(test_loop.run_until([&] { return result.has_value(); }));
        return result.value_or(core::TokenUse::unknown);
    }
    // The first use that is not unknown, as Redis is connected by then.
    core::TokenUse redeem_once_connected(const std::string& name) {
        core::TokenUse use = core::TokenUse::unknown;
        CHECK(test_loop.run_until([&] { return (use = redeem_token(name)) != core::TokenUse::unknown; }));
        return use;
    }
};

}  // namespace

// Guards: while Redis is down or slow it is unknown whether a link has been used, so its use is not granted.
TEST_CASE_FIXTURE(RedisLinks, "links for one use through Redis") {
    using core::TokenUse;
    CHECK(redeem_once_connected("j1") == TokenUse::first);
    CHECK(redeem_token("j1") == TokenUse::reused);
    one_time->release("j1");
    CHECK(redeem_token("j1") == TokenUse::first);
    // Granted after it was refused as unknown: the link is not used up (a late grant was not heard).
    redis.loop = &test_loop.loop;
    redis.late = 300'000;
    CHECK(redeem_token("late") == TokenUse::unknown);
    redis.late = 100'000;
    CHECK(redeem_token("late") == TokenUse::unknown);  // answered in time, while the grant is given back
    CHECK(test_loop.run_until([&] { return redis.waiting == 0; }));
    redis.late = 0;
    CHECK(redeem_token("late") == TokenUse::first);
    CHECK(redeem_token("late") == TokenUse::reused);
    redis.silent = true;
    CHECK(redeem_token("j2") == TokenUse::unknown);
    listener.reset();
    close_streams();
    CHECK(test_loop.run_until([&] { return redeem_token("j3") == TokenUse::unknown; }));
}

// Guards against a reset that is not noticed: Redis was never connected again.
TEST_CASE_FIXTURE(RedisLinks, "links for one use after Redis has reset the connection") {
    CHECK(redeem_once_connected("j1") == core::TokenUse::first);
    const linger reset{.l_onoff = 1, .l_linger = 0};
    REQUIRE(setsockopt(sockets.front(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset) == 0);
    close_streams();
    CHECK(redeem_once_connected("j2") == core::TokenUse::first);
}

namespace {

// A store API whose requests each take a millisecond and have a response of 100 KB, and one client.
struct SlowStoreApi {
    static constexpr std::size_t kResponseBytes = 100'000;
    static constexpr std::size_t kMaxUnreadResponses = 60;  // 1 MB, and what the system holds

    explicit SlowStoreApi(bool respond) : responding(respond) {
        sockaddr_in address{};
        net::parse_address(fmt::format("127.0.0.1:{}", api.port()), address);
        client = socket(AF_INET, SOCK_STREAM, 0);
        set_receive_buffer(4'096);
        REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~SlowStoreApi() { close(client); }

    void set_receive_buffer(int bytes) const {
        setsockopt(client, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
    void send_requests(std::size_t count) const {
        std::string requests;
        for (std::size_t i = 0; i < count; ++i) requests += "{}\n";
        REQUIRE(send(client, requests.data(), requests.size(), 0) == static_cast<ssize_t>(requests.size()));
    }
    // Reads all responses that have arrived; returns their bytes.
    std::size_t read_responses() const {
        std::vector<char> bytes(1 << 16);
        const ssize_t count = recv(client, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    TestLoop test_loop;
    bool responding;
    std::size_t handled = 0;
    store::StoreApi api{test_loop.loop, test_loop.budget, "127.0.0.1:0",
                        [this](const Json::Value&, base::Micros, const store::StoreApi::Answer& respond) {
                            const std::uint64_t end = uv_hrtime() + 1'000'000;
                            while (uv_hrtime() < end) continue;
                            ++handled;
                            if (responding) respond(Json::Value(std::string(kResponseBytes, 'x')));
                        }};
    int client = -1;
};

}  // namespace

// Guards against a caller whose requests, sent all at once, keep the loop from its timers.
TEST_CASE("timers run while the store's API handles many requests") {
    SlowStoreApi slow(true);
    slow.send_requests(200);
    REQUIRE(slow.test_loop.run_until([&] { return slow.handled > 0; }));
    CHECK(slow.handled <= 20);
}

// Guards against a caller that reads nothing and fills the memory with responses; once it reads, it gets all.
TEST_CASE("the store's API handles no more requests while responses are not read") {
    SlowStoreApi slow(true);
    slow.send_requests(200);
    std::size_t before = 0;
    REQUIRE(slow.test_loop.run_until([&] {
        const bool stands_still = slow.handled > 0 && slow.handled == before;
        before = slow.handled;
        return stands_still;
    }));
    CHECK(slow.handled <= SlowStoreApi::kMaxUnreadResponses);
    slow.set_receive_buffer(1 << 20);  // through a small window 20 MB take 6 s, more than half of the bound
    std::size_t received = 0;
    REQUIRE(slow.test_loop.run_until([&] {
        received += slow.read_responses();
        return received >= 200 * SlowStoreApi::kResponseBytes;
    }));
    CHECK(slow.handled == 200);
}

TEST_CASE("the store's API has a bound on the requests of one caller that wait for a response") {
    SlowStoreApi slow(false);
    slow.send_requests(200);
    REQUIRE(slow.test_loop.run_until([&] { return slow.handled >= 64; }));
    for (int i = 0; i < 20; ++i) uv_run(slow.test_loop.loop.raw(), UV_RUN_NOWAIT);
    CHECK(slow.handled == 64);
}

// Guards against requests that are dropped as their caller closes behind the last one.
TEST_CASE("the store's API handles the requests of a caller that has closed") {
    SlowStoreApi slow(true);
    slow.send_requests(30);
    shutdown(slow.client, SHUT_WR);
    REQUIRE(slow.test_loop.run_until([&] { return slow.handled == 30; }));
}

// Guards against a connection that is neither read nor closed, as its buffer is full of half a line.
TEST_CASE("the store's API closes a connection whose line is too long, also behind waiting requests") {
    SlowStoreApi slow(true);
    slow.send_requests(200);
    REQUIRE(slow.test_loop.run_until([&] { return slow.handled > 10; }));
    const std::string line(300 * 1024, 'x');
    std::size_t sent = 0;
    for (int i = 0; i < 100 && sent < line.size(); ++i) {
        const ssize_t count = send(slow.client, line.data() + sent, line.size() - sent, MSG_DONTWAIT);
        if (count > 0) sent += static_cast<std::size_t>(count);
        uv_run(slow.test_loop.loop.raw(), UV_RUN_NOWAIT);
    }
    std::vector<char> bytes(1 << 16);
    REQUIRE(slow.test_loop.run_until([&] {
        const ssize_t count = recv(slow.client, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno == ECONNRESET);
    }));
    CHECK(slow.handled == 200);
}
