#include "cli/release_command.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

#include <chrono>
#include <cstdio>
#include <thread>

#include "cli/admin_client.h"
#include "config/config.h"

namespace sumackeel::cli {

namespace {

constexpr int kNothingToDo = 3;
constexpr std::chrono::milliseconds kPollInterval{500};

std::string text_of(const Json::Value& value, const char* name) {
    return value[name].asString();
}

void print_release(const Json::Value& one) {
    fmt::print("{:>4} {} of {} from {} to {}: {}{}, wave {} of {}, since {:%Y-%m-%d %H:%M:%S} UTC ({})\n",
               one["number"].asUInt64(), text_of(one, "name"), text_of(one, "what"), text_of(one, "from"),
               text_of(one, "to"), text_of(one, "stage"),
               one.isMember("held") ? " while " + text_of(one, "held") : "", one["wave"].asUInt64(),
               one["waves"].asUInt64(), fmt::gmtime(static_cast<std::time_t>(one["since"].asDouble())),
               text_of(one, "reason"));
}

void print_totals(const Json::Value& active, const char* name) {
    if (!active.isMember(name)) return;
    const Json::Value& sum = active[name];
    fmt::print("{:<8} {} members, {} requests: {} in time, {} refused, {} failed, own time {} us\n", name,
               sum["members"].asUInt64(), sum["requests"].asUInt64(), sum["in_time"].asUInt64(),
               sum["refused"].asUInt64(), sum["failed"].asUInt64(), sum["own_us"].asUInt64());
}

void print_status(const Json::Value& root) {
    if (!root.isMember("active")) return fmt::print("no release is under way\n");
    const Json::Value& active = root["active"];
    print_release(active);
    for (const Json::Value& one : active["members"])
        fmt::print("  wave {} {:<16} {:<10} runs {}{}\n", one["wave"].asUInt64(), text_of(one, "name"),
                   text_of(one, "state"), text_of(one, "runs"),
                   one.isMember("lease") ? fmt::format(", lease {}", one["lease"].asUInt64()) : "");
    print_totals(active, "changed"), print_totals(active, "others");
}

// Polls until it is the member's turn, there is nothing to do, or the timeout expires. The proxy may be
// unreachable meanwhile.
int wait(const ReleaseFlags& flags) {
    if (flags.member.empty()) throw config::ConfigError("release wait needs --member NAME");
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(flags.timeout_s);
    std::string response, before;
    for (;; std::this_thread::sleep_for(kPollInterval)) {
        try {
            const AdminResponse answer = call_admin_api(
                flags.at, "POST", "/ops/release/turn/" + flags.member + (flags.force ? "?force=1" : ""));
            response = answer.body;
            if (answer.status == 200) return fmt::print("{}", response), 0;
            if (answer.status == 404) return fmt::print("{}", response), kNothingToDo;
        } catch (const config::ConfigError& fault) {
            response = std::string(fault.what()) + "\n";
        }
        if (response != before) fmt::print(stderr, "{}", before = response);
        if (std::chrono::steady_clock::now() >= end) return fmt::print("{}", response), 1;
    }
}

}  // namespace

int release_command(const ReleaseFlags& flags) {
    const std::string subcommand = flags.arguments.empty() ? "status" : flags.arguments.front();
    const bool start = subcommand == "start", read_only = subcommand == "status" || subcommand == "list";
    const bool is_action = start || subcommand == "halt" || subcommand == "resume" || subcommand == "back";
    if (flags.arguments.size() != (start                     ? 2
                                   : flags.arguments.empty() ? 0
                                                             : 1) ||
        !(read_only || is_action || subcommand == "wait"))
        throw config::ConfigError("release takes start PLAN, status, list, halt, resume, back or wait");
    if (subcommand == "wait") return wait(flags);
    const AdminResponse answer = read_only
                                     ? call_admin_api(flags.at, "GET", "/ops/release")
                                     : call_admin_api(flags.at, "POST", "/ops/release/" + subcommand,
                                                      start ? config::read_file(flags.arguments[1]) : "");
    if (answer.status == 404) throw_agreed_log_disabled(flags.at);
    if (!read_only || flags.json || answer.status != 200) {
        fmt::print("{}", answer.body);
        return answer.status == 200 ? 0 : 1;
    }
    const Json::Value root = config::parse(answer.body, flags.at);
    if (subcommand == "status") return print_status(root), 0;
    for (const Json::Value& one : root["past"]) print_release(one);
    if (root.isMember("active")) print_release(root["active"]);
    return 0;
}

}  // namespace sumackeel::cli
