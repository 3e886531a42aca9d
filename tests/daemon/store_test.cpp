// Stories of what the old store left on disk and of links for one use through Redis, on one loop over
// loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include "net/listener.h"
#include "net/stream.h"
#include "store/legacy_store_import.h"
#include "store/redis_one_time_tokens.h"

using namespace sumackeel;

namespace {

class Folder {
  public:
    Folder() {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        path_ = mkdtemp(form.data());
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    std::string at(const std::string& name) const { return path_ + '/' + name; }

  private:
    std::string path_;
};

// Turns the loop until something holds; the bound only turns a hang into a failure.
struct Turning {
    net::Loop loop;
    net::SocketBudget budget{64};

    template <typename Holds>
    bool until(Holds holds) {
        const auto bound = loop.clock().now() + 10'000'000;
        while (!holds()) {
            if (loop.clock().now() > bound) return false;
            loop.timers().schedule(loop.clock().now() + 1'000, [] {});
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
        return true;
    }
};

// A line as versions before 0.3 sealed it.
std::string sealed(const std::string& text) {
    unsigned char digest[EVP_MAX_MD_SIZE];
    EVP_Digest(text.data(), text.size(), digest, nullptr, EVP_sha256(), nullptr);
    std::string sum;
    for (int i = 0; i < 8; ++i) sum += fmt::format("{:02x}", digest[i]);
    return sum + ' ' + text + '\n';
}
std::string record(int seq, const std::string& key, const std::string& value) {
    return sealed(
        fmt::format(R"({{"epoch":2,"key":"{}","seq":{},"value":"{}","version":{}}})", key, seq, value, seq));
}

}  // namespace

// Guards: what the store of earlier versions acknowledged. A torn end never was and is left out; a bad record
// further up was, so to go on without it would lose it.
TEST_CASE("the old store is read whole, or named as damaged") {
    Folder folder;
    CHECK_FALSE(store::has_legacy_store(folder.at("")));
    const auto write = [&](const char* name, const std::string& text) {
        std::ofstream(folder.at(name), std::ios::binary | std::ios::trunc) << text;
    };
    write("promise", sealed(R"({"epoch":2,"leader":"b"})"));
    write("snapshot", sealed(R"({"epoch":1,"keys":{"key/k":{"value":"off","version":1}},"seq":2})"));
    const std::string log =
        record(2, "key/k", "off") + record(3, "revoked/j", "yes") + record(4, "key/k", "on");
    write("log", log);
    REQUIRE(store::has_legacy_store(folder.at("")));
    store::LegacyStore old = store::read_legacy_store(folder.at(""));
    CHECK(old.leader == "b");
    CHECK(old.values == std::map<std::string, std::string>{{"key/k", "on"}, {"revoked/j", "yes"}});
    for (std::size_t cut = 1; cut < record(4, "key/k", "on").size(); ++cut) {
        write("log", log.substr(0, log.size() - cut));
        CHECK(store::read_legacy_store(folder.at("")).values.at("key/k") == "off");
    }
    std::string flipped = log;
    flipped[record(2, "key/k", "off").size() + 30] ^= 1;
    write("log", flipped);
    CHECK_THROWS_AS(store::read_legacy_store(folder.at("")), store::StoreError);
    write("log", record(3, "a", "b") + record(5, "a", "c"));
    CHECK_THROWS_AS(store::read_legacy_store(folder.at("")), store::StoreError);
    write("log", log);
    write("snapshot", "0123456789abcdef {}\n");
    CHECK_THROWS_AS(store::read_legacy_store(folder.at("")), store::StoreError);
}

namespace {

// A stand-in for Redis: SET key 1 NX PX ms and DEL key, as its protocol (RESP) words them.
struct Resp : net::Stream::Handler {
    std::map<std::string, std::string> keys;
    std::vector<net::Stream*> streams;
    std::string buffer;
    bool mute = false;

    void on_data(net::Stream& stream, std::string_view bytes) override {
        buffer += bytes;
        for (;;) {
            std::size_t at = 0;
            const auto number = [&](char mark) -> long {
                const auto end = buffer.find("\r\n", at);
                if (end == std::string::npos || buffer[at] != mark) return -1;
                const long value = std::stol(buffer.substr(at + 1, end - at - 1));
                at = end + 2;
                return value;
            };
            const long count = number('*');
            std::vector<std::string> words;
            for (long i = 0; i < count; ++i) {
                const long length = number('$');
                if (length < 0 || buffer.size() < at + static_cast<std::size_t>(length) + 2) return;
                words.push_back(buffer.substr(at, static_cast<std::size_t>(length)));
                at += static_cast<std::size_t>(length) + 2;
            }
            if (count < 1) return;
            buffer.erase(0, at);
            if (mute) continue;
            if (words[0] == "DEL")
                stream.write(":" + std::to_string(keys.erase(words[1])) + "\r\n");
            else if (words.size() == 6 && words[3] == "NX" && words[4] == "PX")
                stream.write(keys.emplace(words[1], words[2]).second ? "+OK\r\n" : "$-1\r\n");
            else
                stream.write("-ERR not here\r\n");
        }
    }
    void on_close(net::Stream& stream, net::DisconnectCause) override { std::erase(streams, &stream); }
};

}  // namespace

// Guards: with Redis down or late nobody knows whether a link was used, so its use is not granted.
TEST_CASE("links for one use through Redis") {
    Turning turning;
    Resp resp;
    std::unique_ptr<net::Listener> listener;
    listener = std::make_unique<net::Listener>(turning.loop, "127.0.0.1:0", [&] {
        resp.streams.push_back(net::Stream::adopt(turning.loop, turning.budget, listener->accept(), resp));
    });
    store::RedisOneTimeTokens one_time(turning.loop, "127.0.0.1:" + std::to_string(listener->port()));
    using core::TokenUse;
    const auto use = [&](const std::string& name) {
        std::optional<TokenUse> told;
        one_time.redeem(name, 0, 60, [&](TokenUse how) { told = how; });
        CHECK(turning.until([&] { return told.has_value(); }));
        return told.value_or(TokenUse::unknown);
    };
    TokenUse first = TokenUse::unknown;
    CHECK(turning.until([&] { return (first = use("j1")) != TokenUse::unknown; }));
    CHECK(first == TokenUse::first);
    CHECK(use("j1") == TokenUse::reused);
    one_time.release("j1");
    CHECK(use("j1") == TokenUse::first);
    resp.mute = true;
    CHECK(use("j2") == TokenUse::unknown);
    listener.reset();
    for (net::Stream* stream : std::exchange(resp.streams, {})) stream->close();
    CHECK(turning.until([&] { return use("j3") == TokenUse::unknown; }));
}
