#include "cli/rollout_command.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <json/json.h>

#include <algorithm>

#include "cli/admin_client.h"
#include "config/config.h"
#include "rollout/release_simulation.h"

namespace sumackeel::cli {

namespace {

void print(const Json::Value& root) {
    const auto text = [](const Json::Value& value, const char* name) { return value[name].asString(); };
    fmt::print("{} {}; leader {}; revision {}, last lease {}{}\n", text(root, "member"),
               root["votes"].asBool() ? "votes" : "asks those that vote",
               text(root, "leader").empty() ? "none: nobody may leave" : text(root, "leader"),
               root["revision"].asUInt64(), root["last_lease"].asUInt64(),
               root["known"].asBool() ? "" : " (not known yet)");
    std::vector<std::string> voters;
    for (const Json::Value& voter : root["voters"])
        voters.push_back(voter.asString().empty() ? "one not named here" : voter.asString());
    if (!voters.empty()) fmt::print("voters: {}\n", fmt::join(voters, ", "));
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

// A plan played through with the proxies and rules as they are there now; nobody is touched.
bool simulate(const std::string& path, const std::string& address, const RolloutFlags& flags) {
    const OpsAnswer answer = ops_call(address, "GET", "/ops/rollout");
    if (answer.status != 200) agreed_off(address);
    const Json::Value root = config::parse(answer.body, address);
    rollout::SimulationPlan given;
    given.budget.max_unavailable_in_zone = root["rules"]["school_out"].asInt();
    given.budget.max_zone_weight_share = root["rules"]["school_share"].asDouble();
    given.budget.max_unavailable = root["rules"]["fleet_out"].asInt();
    given.budget.min_interval_in_zone =
        static_cast<base::Micros>(root["rules"]["between_s"].asDouble() * 1e6);
    given.change = static_cast<base::Micros>(flags.change_s * 1e6);
    given.requests_per_s = flags.requests_per_s;
    std::vector<std::string> all;
    for (const Json::Value& one : root["proxies"]) {
        rollout::FleetMember seen;
        seen.name = one["member"].asString(), seen.zone = one["school"].asString();
        seen.weight = one["weight"].asDouble(), seen.unavailable = one["out"].asBool();
        given.fleet.push_back(seen);
        all.push_back(seen.name);
    }
    std::sort(all.begin(), all.end());
    given.plan = rollout::parse_plan(config::read_file(path), path, all);
    const rollout::SimulationResult end = rollout::simulate_release(given);
    const auto seconds = [](base::Micros span) { return static_cast<double>(span) / 1e6; };
    if (end.took == 0) return fmt::print("it would not start: {}\n", end.reason), false;
    fmt::print("{} after {:.0f} s ({}): {} of {} changed\n", name_of(end.stage), seconds(end.took),
               end.reason, end.changed, given.plan.members.size());
    fmt::print(
        "worst moment: {:.0f}% of {} by weight out, {:.0f} s after the start; {} proxies out at most\n",
        100 * end.worst_share, end.worst_zone, seconds(end.worst_at), end.most_out);
    if (!end.waited.empty())
        fmt::print("longest wait for a turn: {:.0f} s, {}\n", seconds(end.longest_wait), end.waited);
    return end.stage == rollout::ReleaseStage::done;
}

}  // namespace

bool rollout_command(const std::string& address, const std::vector<std::string>& words,
                     const RolloutFlags& flags) {
    const bool force = flags.force, json = flags.json;
    const std::string word = words.empty() ? "show" : words.front();
    const bool show = word == "show", drain = word == "drain" || word == "undrain";
    const bool explain = word == "explain", of_one = word == "down" || word == "up" || explain;
    if (word == "simulate" && words.size() == 2) return simulate(words[1], address, flags);
    if (words.size() > (of_one ? 2 : 1) || (of_one && words.size() < 2) || !(show || drain || of_one))
        throw config::ConfigError(
            "rollout takes show, explain MEMBER, simulate PLAN, down ID, up ID, drain or undrain");
    const std::string path = show      ? "/ops/rollout"
                             : explain ? "/ops/rollout/explain/" + words[1]
                             : of_one  ? "/ops/pop-caches/" + word + "/" + words[1]
                                       : std::string("/ops/drain/") + (word == "drain" ? "start" : "stop");
    const OpsAnswer answer =
        ops_call(address, show || explain ? "GET" : "POST", path + (force && !show ? "?force=1" : ""));
    if (show && answer.status == 404) agreed_off(address);
    if (!show || json || answer.status != 200)
        fmt::print("{}", answer.body);
    else
        print(config::parse(answer.body, address));
    return answer.status == 200;
}

}  // namespace sumackeel::cli
