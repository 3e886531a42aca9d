// Stories of the replicated store and of links for one use through Redis, on one loop over loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include "store/member.h"
#include "store/redis_one_time.h"

using namespace sumackeel;
using store::Log;
using store::Member;
using store::Put;

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
    net::Budget budget{64};

    template <typename Holds>
    bool until(Holds holds) {
        const auto bound = loop.clock().now() + 10'000'000;
        while (!holds()) {
            if (loop.clock().now() > bound) return false;
            loop.deadlines().set(loop.clock().now() + 1'000, [] {});
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
        return true;
    }
};

struct Three : Turning {
    Folder folder;
    std::map<std::string, std::unique_ptr<Member>> members;

    Three() {
        for (const char* name : {"a", "b", "c"}) start(name);
    }
    // A member that starts is told where the others are, and they where it is.
    void start(const std::string& name) {
        config::Store setup;
        setup.name = name;
        setup.listen = "127.0.0.1:0";
        setup.folder = folder.at(name);
        setup.primary = "a";
        setup.members = {{"a", ""}, {"b", ""}, {"c", ""}};
        members[name] = std::make_unique<Member>(loop, budget, setup);
        for (const auto& [one, member] : members)
            for (const auto& [other, at] : members)
                member->place(other, "127.0.0.1:" + std::to_string(at->port()));
    }
    Put put(const std::string& at, const std::string& key, const std::string& value,
            std::int64_t expected = -1) {
        std::optional<Put> outcome;
        members.at(at)->put(key, value, expected, [&](Put how, std::int64_t) { outcome = how; });
        CHECK(until([&] { return outcome.has_value(); }));
        return outcome.value_or(Put::unknown);
    }
    std::string promote(const std::string& name) {
        std::optional<std::string> why_not;
        members.at(name)->promote([&](const std::string& why) { why_not = why; });
        CHECK(until([&] { return why_not.has_value(); }));
        return why_not.value_or("nothing came");
    }
    bool seen(const std::string& at, const std::string& key, const std::string& value) {
        return until([&] {
            const auto entry = members.at(at)->get(key);
            return entry && entry->value == value;
        });
    }
};

}  // namespace

// Guards: a write is acknowledged only once a majority has it, and one lost follower does not stop that.
TEST_CASE("a lost follower catches up by sequence, a new one by snapshot") {
    Three three;
    CHECK(three.put("a", "revoked/j1", "yes") == Put::done);
    CHECK(three.seen("b", "revoked/j1", "yes"));
    CHECK(three.put("b", "revoked/j2", "yes") == Put::not_primary);
    CHECK(three.put("a", "revoked/j1", "no", 7) == Put::conflict);
    three.members.erase("c");
    CHECK(three.put("a", "revoked/j2", "yes") == Put::done);
    three.start("c");
    CHECK(three.seen("c", "revoked/j2", "yes"));
    three.members.erase("c");
    std::filesystem::remove_all(three.folder.at("c"));
    for (int i = 0; i < 1010; ++i)
        three.members.at("a")->put("setting/n", std::to_string(i), -1, [](Put, auto) {});
    CHECK(three.seen("b", "setting/n", "1009"));
    three.start("c");  // its history is older than the snapshot of the others
    CHECK(three.seen("c", "setting/n", "1009"));
    CHECK(three.seen("c", "revoked/j1", "yes"));
}

TEST_CASE("without a majority a write is not acknowledged") {
    Three three;
    three.members.erase("b");
    three.members.erase("c");
    CHECK(three.put("a", "revoked/j1", "yes") == Put::unknown);
    CHECK_FALSE(three.members.at("a")->get("revoked/j1"));
}

// Guards: two primaries at once. What the old one took and nobody else has must not come back.
TEST_CASE("an old primary is fenced by the epoch and gives up what was never acknowledged") {
    Three three;
    CHECK(three.put("a", "revoked/j1", "yes") == Put::done);
    CHECK(three.seen("b", "revoked/j1", "yes"));
    CHECK(three.seen("c", "revoked/j1", "yes"));
    three.members.erase("a");
    CHECK(three.promote("b").empty());
    CHECK(three.put("b", "revoked/j1", "taken back") == Put::done);
    three.start("a");  // set up as the primary, but a later epoch is in force
    CHECK(three.until([&] { return !three.members.at("a")->primary(); }));
    CHECK(three.seen("a", "revoked/j1", "taken back"));
    CHECK(three.members.at("a")->epoch() == 2);
    CHECK(three.put("a", "revoked/j1", "again") == Put::not_primary);
}

TEST_CASE("a member that knows less is not promoted over one that knows more") {
    Three three;
    three.members.erase("c");
    CHECK(three.put("a", "revoked/j1", "yes") == Put::done);
    three.members.erase("a");
    three.start("c");
    CHECK(three.promote("c") == "another member knows more");
    CHECK(three.promote("b").empty());
    CHECK(three.seen("c", "revoked/j1", "yes"));
}

// Guards: the machine stops in the middle of a write. The torn end was never acknowledged and is cut off; a
// bad record further up was, so to go on without it would lose it.
TEST_CASE("a torn log") {
    Folder folder;
    const auto size = [&] { return std::filesystem::file_size(folder.at("log")); };
    {
        Log log(folder.at(""));
        for (int i = 1; i <= 3; ++i) log.append({i, 1, i, "key", "value " + std::to_string(i)});
    }
    std::filesystem::resize_file(folder.at("log"), size() - 5);
    {
        Log log(folder.at(""));
        CHECK(log.last().seq == 2);
        log.append({3, 1, 3, "key", "other"});
        log.commit(3);
        CHECK(log.state().at("key").value == "other");
    }
    {
        std::fstream file(folder.at("log"), std::ios::in | std::ios::out);
        file.seekp(30);
        file.put('~');
    }
    CHECK_THROWS_AS(Log(folder.at("")), store::StoreError);
}

namespace {

// A stand-in for Redis: SET key 1 NX PX ms and DEL key, as its protocol (RESP) words them.
struct Resp : net::Stream::Owner {
    std::map<std::string, std::string> keys;
    std::vector<net::Stream*> streams;
    std::string buffer;
    bool mute = false;

    void received(net::Stream& stream, std::string_view bytes) override {
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
    void gone(net::Stream& stream, net::Gone) override { std::erase(streams, &stream); }
};

}  // namespace

// Guards: with Redis down or late nobody knows whether a link was used, so its use is not granted.
TEST_CASE("links for one use through Redis") {
    Turning turning;
    Resp resp;
    auto listener = std::make_unique<net::Listener>(turning.loop, "127.0.0.1:0", [&](uv_stream_t* from) {
        resp.streams.push_back(net::Stream::accept(turning.loop, turning.budget, from, resp));
    });
    store::RedisOneTime one_time(turning.loop, "127.0.0.1:" + std::to_string(listener->port()));
    using core::Use;
    const auto use = [&](const std::string& name) {
        std::optional<Use> told;
        one_time.use(name, 0, 60, [&](Use how) { told = how; });
        CHECK(turning.until([&] { return told.has_value(); }));
        return told.value_or(Use::unknown);
    };
    Use first = Use::unknown;
    CHECK(turning.until([&] { return (first = use("j1")) != Use::unknown; }));
    CHECK(first == Use::first);
    CHECK(use("j1") == Use::again);
    one_time.give_back("j1");
    CHECK(use("j1") == Use::first);
    resp.mute = true;
    CHECK(use("j2") == Use::unknown);
    listener.reset();
    for (net::Stream* stream : std::exchange(resp.streams, {})) stream->close();
    CHECK(turning.until([&] { return use("j3") == Use::unknown; }));
}
