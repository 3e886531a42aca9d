#include "consensus/release_status.h"

#include <json/json.h>

#include <algorithm>

#include "base/json_line.h"

namespace sumackeel::consensus {

using rollout::Release;

namespace {

Json::Value release_json(const Release& release) {
    Json::Value json;
    json["number"] = Json::UInt64{release.number};
    json["name"] = release.plan.name;
    json["what"] = release.plan.subject;
    json["from"] = release.plan.from;
    json["to"] = release.plan.to;
    json["stage"] = name_of(release.stage);
    json["reason"] = release.reason;
    json["by"] = release.by;
    if (release.stage == rollout::ReleaseStage::halted) json["held"] = name_of(release.halted_stage);
    json["wave"] = Json::UInt64{release.wave + 1};
    json["waves"] = Json::UInt64{release.plan.waves.size()};
    json["since"] = static_cast<double>(release.since) / 1e6;
    json["without"] = Json::Value(Json::arrayValue);
    for (const std::string& member : release.skipped_members) json["without"].append(member);
    return json;
}

Json::Value metrics_json(const rollout::MetricsSum& sum) {
    Json::Value json;
    json["members"] = Json::UInt64{sum.members};
    json["requests"] = Json::UInt64{sum.requests};
    json["in_time"] = Json::UInt64{sum.in_time};
    json["refused"] = Json::UInt64{sum.rejected};
    json["failed"] = Json::UInt64{sum.failed};
    json["own_us"] = Json::UInt64{sum.dispatched ? sum.dispatch_time_us / sum.dispatched : 0};
    return json;
}

// `status` is null if the member is unknown to the cluster.
const char* member_state(const rollout::MemberStatus* status, const rollout::Lease* lease) {
    if (!status || status->gone) return "lost";
    if (lease) return "out";
    return status->serving ? "serving" : "not ready";
}

Json::Value member_json(const ReleaseStatus& status, const std::string& name, std::size_t wave) {
    const auto found = std::find_if(status.members.begin(), status.members.end(),
                                    [&](const rollout::MemberStatus& member) { return member.name == name; });
    const rollout::MemberStatus* member = found == status.members.end() ? nullptr : &*found;
    const rollout::Lease* lease = status.state.find(rollout::MemberKind::proxy, name);
    Json::Value json;
    json["name"] = name;
    json["wave"] = Json::UInt64{wave + 1};
    if (lease) json["lease"] = Json::UInt64{lease->number};
    json["runs"] = member ? member->version : "";
    json["state"] = member_state(member, lease);
    return json;
}

// Lists the members in the order of the plan, wave by wave.
Json::Value members_json(const ReleaseStatus& status, const Release& release) {
    Json::Value list(Json::arrayValue);
    std::size_t position = 0;
    std::size_t wave = 0;
    for (const std::string& name : release.plan.members) {
        while (position >= release.plan.members_through(wave)) ++wave;
        ++position;
        list.append(member_json(status, name, wave));
    }
    return list;
}

Json::Value active_json(const ReleaseStatus& status, const Release& release) {
    Json::Value json = release_json(release);
    json["members"] = members_json(status, release);
    if (status.watch && release.stage == rollout::ReleaseStage::soaking) {
        json["changed"] = metrics_json(status.watch->changed());
        json["others"] = metrics_json(status.watch->others());
    }
    return json;
}

}  // namespace

std::string release_status_json(const ReleaseStatus& status) {
    const rollout::Releases& releases = status.state.releases();
    Json::Value root;
    root["leader"] = status.leader;
    root["known"] = status.known;
    root["past"] = Json::Value(Json::arrayValue);
    for (const Release& release : releases.past()) root["past"].append(release_json(release));
    if (const Release* release = releases.active()) root["active"] = active_json(status, *release);
    return base::to_json_line(root);
}

}  // namespace sumackeel::consensus
