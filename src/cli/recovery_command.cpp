#include "cli/recovery_command.h"

#include <fmt/format.h>
#include <json/json.h>

#include <ctime>

#include "base/files.h"
#include "base/generation_files.h"
#include "cli/admin_client.h"
#include "config/config.h"
#include "recovery/persisted_state.h"

namespace sumackeel::cli {

namespace {

// Checks each generation, newest first; a start loads the first valid one.
int verify(const std::string& folder) {
    const base::GenerationFiles files(folder, "kept-", ".sumkept");
    bool sound = false, newest = true;
    for (const std::uint64_t generation : files.generations()) {
        std::string text, fault;
        recovery::PersistedState state;
        if (base::read_regular_file(files.path_of(generation), recovery::kMaxStateBytes, text, fault) ==
            base::ReadStatus::ok)
            fault = recovery::decode(text, state);
        if (fault.empty())
            fmt::print("{}: sound, written while {}, {} members, {} bans, drain {}\n",
                       files.path_of(generation), name_of(state.phase), state.members.size(),
                       state.bans.size(), state.draining ? "on" : "off");
        else
            fmt::print("{}: {}\n", files.path_of(generation), fault);
        sound = sound || (newest && fault.empty());
        newest = false;
    }
    if (newest) fmt::print("{}: nothing is kept there\n", folder);
    return sound ? 0 : 1;
}

// Run on the only remaining voter, before it is restarted.
int force(const std::string& folder) {
    const std::string fault =
        base::replace_file(folder, "force.new", "force",
                           fmt::format("sumackeel-force 1 {}\n", static_cast<long long>(std::time(nullptr))));
    if (!fault.empty()) throw config::ConfigError(fault);
    fmt::print(
        "{}: the next start goes on alone, with what this voter has; empty the folders of all other voters\n",
        folder);
    return 0;
}

void print(const Json::Value& root) {
    fmt::print("{} for {:.1f} s ({}){}\n", root["stage"].asString(), root["since_s"].asDouble(),
               root["reason"].asString(), root["ready"].asBool() ? ", ready" : ", not ready");
    if (!root["waits_for"].asString().empty())
        fmt::print("waits for {}; goes on without in {:.1f} s\n", root["waits_for"].asString(),
                   root["latest_s"].asDouble());
    fmt::print(
        "{} of {} back; purges {}\n", root["back"].asUInt64(), root["before"].asUInt64(),
        root["sure_of_purges"].asBool() ? "surely known" : "not surely known: no copy from before the start");
    const Json::Value& state = root["kept"];
    fmt::print(
        "kept in {}: {} bans, drain {}{}\n", state["file"].asString(), state["bans"].size(),
        state["drain"].asBool() ? "on" : "off",
        state["fault"].asString().empty() ? "" : "; nothing can be kept now: " + state["fault"].asString());
    for (const Json::Value& one : root["set_aside"]) fmt::print("set aside: {}\n", one.asString());
    for (const Json::Value& one : root["hands"]) fmt::print("by hand: {}\n", one.asString());
    fmt::print("let through {}, turned away {}, {} of them as too large for now\n",
               root["counters"]["let_through"].asUInt64(), root["counters"]["turned_away"].asUInt64(),
               root["counters"]["too_large"].asUInt64());
}

}  // namespace

int recovery_command(const std::string& address, const std::vector<std::string>& arguments, bool json) {
    const std::string subcommand = arguments.empty() ? "show" : arguments.front();
    const bool show = subcommand == "show", go = subcommand == "go";
    if (subcommand == "verify" && arguments.size() == 2) return verify(arguments[1]);
    if (subcommand == "force" && arguments.size() == 2) return force(arguments[1]);
    if (!(show || go) || arguments.size() != (go ? 2 : arguments.empty() ? 0 : 1))
        throw config::ConfigError("recovery takes show, go STAGE, verify FOLDER or force FOLDER");
    if (address.empty()) throw config::ConfigError("no proxy: give --at ADDRESS, its operators' address");
    const AdminResponse response = call_admin_api(address, go ? "POST" : "GET",
                                                  go ? "/ops/recovery/go/" + arguments[1] : "/ops/recovery");
    if (response.status == 404) throw config::ConfigError(address + " has no [recovery]: it is off there");
    if (go || json || response.status != 200)
        fmt::print("{}", response.body);
    else
        print(config::parse(response.body, address));
    return response.status == 200 ? 0 : 1;
}

}  // namespace sumackeel::cli
