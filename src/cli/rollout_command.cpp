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

// Simulates a plan with the proxy's current fleet and rules; changes nothing.
bool simulate(const std::string& path, const std::string& address, const RolloutFlags& flags) {
    const AdminResponse response = call_admin_api(address, "GET", "/ops/rollout");
    if (response.status != 200) throw_agreed_log_disabled(address);
    const Json::Value root = config::parse(response.body, address);
    rollout::SimulationPlan simulation;
    simulation.budget.max_unavailable_in_zone = root["rules"]["school_out"].asInt();
    simulation.budget.max_zone_weight_share = root["rules"]["school_share"].asDouble();
    simulation.budget.max_unavailable = root["rules"]["fleet_out"].asInt();
    simulation.budget.min_interval_in_zone =
        static_cast<base::Micros>(root["rules"]["between_s"].asDouble() * 1e6);
    simulation.change = static_cast<base::Micros>(flags.change_s * 1e6);
    simulation.requests_per_s = flags.requests_per_s;
    std::vector<std::string> all;
    for (const Json::Value& one : root["proxies"]) {
        rollout::FleetMember member;
        member.name = one["member"].asString(), member.zone = one["school"].asString();
        member.weight = one["weight"].asDouble(), member.unavailable = one["out"].asBool();
        simulation.fleet.push_back(member);
        all.push_back(member.name);
    }
    std::sort(all.begin(), all.end());
    simulation.plan = rollout::parse_plan(config::read_file(path), path, all);
    const rollout::SimulationResult result = rollout::simulate_release(simulation);
    const auto seconds = [](base::Micros span) { return static_cast<double>(span) / 1e6; };
    if (result.took == 0) return fmt::print("it would not start: {}\n", result.reason), false;
    fmt::print("{} after {:.0f} s ({}): {} of {} changed\n", name_of(result.stage), seconds(result.took),
               result.reason, result.changed, simulation.plan.members.size());
    fmt::print(
        "worst moment: {:.0f}% of {} by weight out, {:.0f} s after the start; {} proxies out at most\n",
        100 * result.worst_share, result.worst_zone, seconds(result.worst_at), result.most_out);
    if (!result.waited.empty())
        fmt::print("longest wait for a turn: {:.0f} s, {}\n", seconds(result.longest_wait), result.waited);
    return result.stage == rollout::ReleaseStage::done;
}

}  // namespace

bool rollout_command(const std::string& address, const std::vector<std::string>& arguments,
                     const RolloutFlags& flags) {
    const bool force = flags.force, json = flags.json;
    const std::string subcommand = arguments.empty() ? "show" : arguments.front();
    const bool show = subcommand == "show", drain = subcommand == "drain" || subcommand == "undrain";
    const bool explain = subcommand == "explain",
               takes_member = subcommand == "down" || subcommand == "up" || explain;
    if (subcommand == "simulate" && arguments.size() == 2) return simulate(arguments[1], address, flags);
    if (arguments.size() > (takes_member ? 2 : 1) || (takes_member && arguments.size() < 2) ||
        !(show || drain || takes_member))
        throw config::ConfigError(
            "rollout takes show, explain MEMBER, simulate PLAN, down ID, up ID, drain or undrain");
    const std::string path = show      ? "/ops/rollout"
                             : explain ? "/ops/rollout/explain/" + arguments[1]
                             : takes_member
                                 ? "/ops/pop-caches/" + subcommand + "/" + arguments[1]
                                 : std::string("/ops/drain/") + (subcommand == "drain" ? "start" : "stop");
    const AdminResponse response =
        call_admin_api(address, show || explain ? "GET" : "POST", path + (force && !show ? "?force=1" : ""));
    if (show && response.status == 404) throw_agreed_log_disabled(address);
    if (!show || json || response.status != 200)
        fmt::print("{}", response.body);
    else
        print(config::parse(response.body, address));
    return response.status == 200;
}

}  // namespace sumackeel::cli
