#include "cli/group_command.h"

#include <fmt/format.h>
#include <json/json.h>

#include <chrono>
#include <cstdio>
#include <thread>

#include "cli/admin_client.h"
#include "config/config.h"

namespace sumackeel::cli {

namespace {

std::string join_names(const Json::Value& list) {
    std::string text;
    for (const Json::Value& name : list) text += (text.empty() ? "" : ",") + name.asString();
    return text.empty() ? "-" : text;
}

void print(const Json::Value& root) {
    const Json::Value& counters = root["counters"];
    const double up = std::max(1.0, root["up_s"].asDouble());
    fmt::print(
        "{} of group {}: {}, {} ({} of {} reached), health {} (0 is sound), start {}, {:.0f} B/s out\n",
        root["name"].asString(), root["group"].asString(), root["state"].asString(), root["side"].asString(),
        root["reached"].asInt(), root["size"].asInt(), root["health"].asInt(), root["start"].asUInt64(),
        counters["bytes_out"].asDouble() / up);
    fmt::print("{:<16} {:<8} {:>9} {:>9} {:<8} {:<10} {:<8} {}\n", "member", "state", "since_s", "heard_s",
               "reached", "zone", "version", "doubted by");
    for (const Json::Value& one : root["members"])
        fmt::print("{:<16} {:<8} {:>9.1f} {:>9} {:<8} {:<10} {:<8} {}\n", one["name"].asString(),
                   one["state"].asString(), one["since_s"].asDouble(),
                   one.isMember("heard_s") ? fmt::format("{:.1f}", one["heard_s"].asDouble()) : "never",
                   one["direct"].asBool() ? "directly" : "not", one["zone"].asString(),
                   one["version"].asString(), join_names(one["doubted_by"]));
}

}  // namespace

bool group_command(const std::string& address, const std::vector<std::string>& arguments, bool json) {
    const std::string subcommand = arguments.empty() ? "show" : arguments.front();
    if (arguments.size() > 1 || (subcommand != "show" && subcommand != "watch" && subcommand != "leave"))
        throw config::ConfigError("group takes show, watch or leave");
    const bool leave = subcommand == "leave";
    for (;;) {
        const AdminResponse response =
            call_admin_api(address, leave ? "POST" : "GET", leave ? "/ops/group/leave" : "/ops/group");
        if (response.status == 404)
            throw config::ConfigError(address + " has no peers: [peers] is off there");
        if (leave || json || response.status != 200)
            fmt::print("{}", response.body);
        else
            print(config::parse(response.body, address));
        std::fflush(stdout);
        if (subcommand != "watch") return response.status == 200;
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

}  // namespace sumackeel::cli
