#include "cli/purge_command.h"

#include <fmt/format.h>
#include <json/json.h>

#include <charconv>
#include <chrono>
#include <thread>

#include "cli/admin_client.h"
#include "config/config.h"

namespace sumackeel::cli {

namespace {

constexpr std::chrono::milliseconds kLookAgain{200};

Json::Value progress(const std::string& address) {
    const OpsAnswer answer = ops_call(address, "GET", "/ops/purge");
    if (answer.status != 200) throw config::ConfigError(address + " knows no purges: [store] is off there");
    return config::parse(answer.body, address);
}

void print(const Json::Value& root) {
    fmt::print("last purge {}\n", root["last"].asUInt64());
    for (const std::string& name : root["members"].getMemberNames()) {
        const Json::Value& has = root["members"][name];
        fmt::print("  {:<16} {}\n", name,
                   has.isNull() ? "does not answer" : "has " + std::to_string(has.asUInt64()));
    }
}

int wait(const std::string& address, std::uint64_t number, double timeout_s) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout_s);
    for (;; std::this_thread::sleep_for(kLookAgain)) {
        const Json::Value root = progress(address);
        bool all = true;
        for (const Json::Value& has : root["members"]) all = all && !has.isNull() && has.asUInt64() >= number;
        if (all) return fmt::print("all {} members have purge {}\n", root["members"].size(), number), 0;
        if (std::chrono::steady_clock::now() >= end) return print(root), 1;
    }
}

}  // namespace

int purge_command(const std::string& address, const std::vector<std::string>& words, double timeout_s,
                  bool json) {
    const std::string word = words.empty() ? "status" : words.front();
    if (word == "status" && words.size() <= 1) {
        const Json::Value root = progress(address);
        json ? fmt::print("{}\n", root.toStyledString()) : print(root);
        return 0;
    }
    if (word == "wait" && words.size() == 2) {
        std::uint64_t number = 0;
        const std::string& text = words[1];
        if (std::from_chars(text.data(), text.data() + text.size(), number).ptr != text.data() + text.size())
            throw config::ConfigError("no purge's number: " + text);
        return wait(address, number, timeout_s);
    }
    const bool group = word == "group" && words.size() == 2, object = word == "object" && words.size() == 3;
    if (!group && !object)
        throw config::ConfigError("purge takes object GROUP ID, group NUMBER, status or wait NUMBER");
    const OpsAnswer answer = ops_call(
        address, "POST", "/ops/purge/" + word + "/" + words[1] + (object ? "/" + words[2] : std::string{}));
    if (answer.status == 404) throw config::ConfigError(address + " knows no purges: [store] is off there");
    fmt::print("{}", answer.body);
    return answer.status == 200 ? 0 : 1;
}

}  // namespace sumackeel::cli
