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

// Each generation, the newest first; what a start would take is the first sound one.
int verify(const std::string& folder) {
    const base::GenerationFiles files(folder, "kept-", ".sumkept");
    bool sound = false, newest = true;
    for (const std::uint64_t generation : files.generations()) {
        std::string text, fault;
        recovery::PersistedState kept;
        if (base::read_regular_file(files.path_of(generation), recovery::kMaxStateBytes, text, fault) ==
            base::ReadStatus::ok)
            fault = recovery::decode(text, kept);
        if (fault.empty())
            fmt::print("{}: sound, written while {}, {} members, {} bans, drain {}\n",
                       files.path_of(generation), name_of(kept.phase), kept.members.size(), kept.bans.size(),
                       kept.draining ? "on" : "off");
        else
            fmt::print("{}: {}\n", files.path_of(generation), fault);
        sound = sound || (newest && fault.empty());
        newest = false;
    }
    if (newest) fmt::print("{}: nothing is kept there\n", folder);
    return sound ? 0 : 1;
}

// At the one voter that is left, before it is started again.
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
    const Json::Value& kept = root["kept"];
    fmt::print(
        "kept in {}: {} bans, drain {}{}\n", kept["file"].asString(), kept["bans"].size(),
        kept["drain"].asBool() ? "on" : "off",
        kept["fault"].asString().empty() ? "" : "; nothing can be kept now: " + kept["fault"].asString());
    for (const Json::Value& one : root["set_aside"]) fmt::print("set aside: {}\n", one.asString());
    for (const Json::Value& one : root["hands"]) fmt::print("by hand: {}\n", one.asString());
    fmt::print("let through {}, turned away {}, {} of them as too large for now\n",
               root["counters"]["let_through"].asUInt64(), root["counters"]["turned_away"].asUInt64(),
               root["counters"]["too_large"].asUInt64());
}

}  // namespace

int recovery_command(const std::string& address, const std::vector<std::string>& words, bool json) {
    const std::string word = words.empty() ? "show" : words.front();
    const bool show = word == "show", go = word == "go";
    if (word == "verify" && words.size() == 2) return verify(words[1]);
    if (word == "force" && words.size() == 2) return force(words[1]);
    if (!(show || go) || words.size() != (go ? 2 : words.empty() ? 0 : 1))
        throw config::ConfigError("recovery takes show, go STAGE, verify FOLDER or force FOLDER");
    if (address.empty()) throw config::ConfigError("no proxy: give --at ADDRESS, its operators' address");
    const OpsAnswer answer =
        ops_call(address, go ? "POST" : "GET", go ? "/ops/recovery/go/" + words[1] : "/ops/recovery");
    if (answer.status == 404) throw config::ConfigError(address + " has no [recovery]: it is off there");
    if (go || json || answer.status != 200)
        fmt::print("{}", answer.body);
    else
        print(config::parse(answer.body, address));
    return answer.status == 200 ? 0 : 1;
}

}  // namespace sumackeel::cli
