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

constexpr std::chrono::milliseconds kPollInterval{200};

Json::Value fetch_status(const std::string& address) {
    const AdminResponse response = call_admin_api(address, "GET", "/ops/purge");
    if (response.status != 200) throw config::ConfigError(address + " knows no purges: [store] is off there");
    return config::parse(response.body, address);
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
    for (;; std::this_thread::sleep_for(kPollInterval)) {
        const Json::Value root = fetch_status(address);
        bool all = true;
        for (const Json::Value& has : root["members"]) all = all && !has.isNull() && has.asUInt64() >= number;
        if (all) return fmt::print("all {} members have purge {}\n", root["members"].size(), number), 0;
        if (std::chrono::steady_clock::now() >= end) return print(root), 1;
    }
}

}  // namespace

int purge_command(const std::string& address, const std::vector<std::string>& arguments, double timeout_s,
                  bool json) {
    const std::string subcommand = arguments.empty() ? "status" : arguments.front();
    if (subcommand == "status" && arguments.size() <= 1) {
        const Json::Value root = fetch_status(address);
        json ? fmt::print("{}\n", root.toStyledString()) : print(root);
        return 0;
    }
    if (subcommand == "wait" && arguments.size() == 2) {
        std::uint64_t number = 0;
        const std::string& text = arguments[1];
        if (std::from_chars(text.data(), text.data() + text.size(), number).ptr != text.data() + text.size())
            throw config::ConfigError("no purge's number: " + text);
        return wait(address, number, timeout_s);
    }
    const bool group = subcommand == "group" && arguments.size() == 2,
               object = subcommand == "object" && arguments.size() == 3;
    if (!group && !object)
        throw config::ConfigError("purge takes object GROUP ID, group NUMBER, status or wait NUMBER");
    const AdminResponse response = call_admin_api(
        address, "POST",
        "/ops/purge/" + subcommand + "/" + arguments[1] + (object ? "/" + arguments[2] : std::string{}));
    if (response.status == 404) throw config::ConfigError(address + " knows no purges: [store] is off there");
    fmt::print("{}", response.body);
    return response.status == 200 ? 0 : 1;
}

}  // namespace sumackeel::cli
