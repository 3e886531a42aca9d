#include "cli/rollout_command.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

#include "cli/ops_call.h"
#include "config/config.h"

namespace sumackeel::cli {

namespace {

void print(const Json::Value& root) {
    const auto text = [](const Json::Value& value, const char* name) { return value[name].asString(); };
    fmt::print("{} {}; leader {}; revision {}, last lease {}{}\n", text(root, "member"),
               root["votes"].asBool() ? "votes" : "asks those that vote",
               text(root, "leader").empty() ? "none: nobody may leave" : text(root, "leader"),
               root["revision"].asUInt64(), root["last_lease"].asUInt64(),
               root["known"].asBool() ? "" : " (not known yet)");
    for (const Json::Value& lease : root["leases"])
        fmt::print("out by lease {:>5}: {} {} of {}, asked by {}, since {:%Y-%m-%d %H:%M:%S} UTC{}\n",
                   lease["number"].asUInt64(), text(lease, "kind"), text(lease, "member"),
                   text(lease, "school"), text(lease, "by"),
                   fmt::gmtime(static_cast<std::time_t>(lease["since"].asDouble())),
                   lease["forced"].asBool() ? ", by force" : "");
    for (const Json::Value& one : root["out"])
        fmt::print("out by itself: {} {} of {}: {}\n", text(one, "kind"), text(one, "member"),
                   text(one, "school"), text(one, "why"));
    if (root["leases"].empty() && root["out"].empty()) fmt::print("nobody is out\n");
}

}  // namespace

bool rollout_command(const std::string& address, const std::vector<std::string>& words, bool force,
                     bool json) {
    const std::string word = words.empty() ? "show" : words.front();
    const bool show = word == "show", drain = word == "drain" || word == "undrain";
    const bool explain = word == "explain", of_one = word == "down" || word == "up" || explain;
    if (words.size() > (of_one ? 2 : 1) || (of_one && words.size() < 2) || !(show || drain || of_one))
        throw config::ConfigError("rollout takes show, explain MEMBER, down ID, up ID, drain or undrain");
    const std::string path = show      ? "/ops/rollout"
                             : explain ? "/ops/rollout/explain/" + words[1]
                             : of_one  ? "/ops/pop-caches/" + word + "/" + words[1]
                                       : std::string("/ops/drain/") + (word == "drain" ? "start" : "stop");
    const OpsAnswer answer =
        ops_call(address, show || explain ? "GET" : "POST", path + (force && !show ? "?force=1" : ""));
    if (show && answer.status == 404)
        throw config::ConfigError(address + " agrees on nothing: [agreed] is off there");
    if (!show || json || answer.status != 200)
        fmt::print("{}", answer.body);
    else
        print(config::parse(answer.body, address));
    return answer.status == 200;
}

}  // namespace sumackeel::cli
