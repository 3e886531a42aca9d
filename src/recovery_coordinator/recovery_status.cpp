// Recovery status as JSON for the admin API.
#include <json/json.h>

#include "base/json_line.h"
#include "recovery_coordinator/recovery_coordinator.h"

namespace sumackeel::recovery_coordinator {

using base::Micros;
using recovery::Phase;

namespace {

double seconds(Micros duration) {
    return static_cast<double>(duration) / 1e6;
}

template <typename Names>
Json::Value list_json(const Names& names) {
    Json::Value list(Json::arrayValue);
    for (const std::string& name : names) list.append(name);
    return list;
}

}  // namespace

std::string RecoveryCoordinator::as_json() const {
    const auto now = static_cast<Micros>(uv_hrtime() / 1000);
    Json::Value root;
    root["stage"] = name_of(phases_.phase());
    root["since_s"] = seconds(now - phases_.since());
    if (phases_.phase() != Phase::serving) root["latest_s"] = seconds(phases_.deadline() - now);
    root["waits_for"] = phases_.waits_for();
    root["reason"] = phases_.reason();
    root["ready"] = phases_.ready();
    root["sure_of_purges"] = phases_.purges_confirmed();
    root["back"] = Json::UInt64{phases_.members_back()};
    root["before"] = Json::UInt64{phases_.members_before()};
    Json::Value& kept = root["kept"];
    kept["file"] = directory_->last_good_file();
    kept["fault"] = writer_.unwritten_reason();
    kept["drain"] = persisted_.draining;
    kept["members"] = Json::UInt64{persisted_.members.size()};
    kept["bans"] = list_json(persisted_.bans);
    root["set_aside"] = list_json(rejected_files_);
    root["hands"] = list_json(operator_commands_);
    Json::Value& counters = root["counters"];
    counters["let_through"] = Json::UInt64{budget_.admitted()};
    counters["turned_away"] = Json::UInt64{budget_.rejected()};
    counters["too_large"] = Json::UInt64{budget_.too_large()};
    counters["asks"] = Json::UInt64{poller_.polls()};
    counters["answers"] = Json::UInt64{poller_.replies()};
    counters["pauses"] = Json::UInt64{phases_.pauses()};
    counters["written"] = Json::UInt64{writer_.written()};
    counters["longest_write_us"] = Json::UInt64{static_cast<std::uint64_t>(writer_.longest_write())};
    return base::to_json_line(root);
}

}  // namespace sumackeel::recovery_coordinator
