#include "consensus/consensus_status.h"

#include <json/json.h>

#include "base/json_line.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::MemberKind;

namespace {

double seconds(Micros duration) {
    return static_cast<double>(duration) / 1e6;
}

Json::Value lease_json(const rollout::Lease& lease) {
    Json::Value json;
    json["number"] = Json::UInt64{lease.number};
    json["kind"] = name_of(lease.kind);
    json["member"] = lease.member;
    json["school"] = lease.zone;
    json["by"] = lease.requested_by;
    json["since"] = seconds(lease.since);
    json["forced"] = lease.forced;
    return json;
}

Json::Value registry_json(const kv_store::State& kv_store) {
    Json::Value json;
    json["revision"] = Json::UInt64{kv_store.revision()};
    json["keys"] = Json::UInt64{kv_store.entries().size()};
    json["last_purge"] = Json::UInt64{kv_store.last_purge()};
    return json;
}

// The unavailable members, with or without a lease.
Json::Value unavailable_json(const FleetView& fleet) {
    Json::Value list(Json::arrayValue);
    for (const MemberKind kind : {MemberKind::proxy, MemberKind::pop_cache})
        for (const rollout::FleetMember& member : fleet(kind)) {
            if (!member.unavailable) continue;
            Json::Value json;
            json["member"] = member.name;
            json["kind"] = name_of(kind);
            json["school"] = member.zone;
            json["why"] = member.unavailable_reason;
            list.append(json);
        }
    return list;
}

Json::Value rules_json(const config::DisruptionBudget& budget) {
    Json::Value json;
    json["school_out"] = budget.max_unavailable_in_zone;
    json["school_share"] = budget.max_zone_weight_share;
    json["fleet_out"] = budget.max_unavailable;
    json["between_s"] = seconds(budget.min_interval_in_zone);
    return json;
}

Json::Value proxy_json(const rollout::FleetMember& member) {
    Json::Value json;
    json["member"] = member.name;
    json["school"] = member.zone;
    json["weight"] = member.weight;
    json["out"] = member.unavailable;
    return json;
}

}  // namespace

std::string status_json(const std::string& self, const LocalVoter& voter, const StateView& view,
                        const config::Consensus& setup, const FleetView& fleet, Micros now) {
    Json::Value root;
    root["member"] = self;
    root["votes"] = voter.votes();
    root["leads"] = voter.is_leader();
    root["leader"] = view.leader();
    if (voter.votes()) {
        root["voters"] = Json::Value(Json::arrayValue);
        for (const std::string& name : voter.node().voters()) root["voters"].append(name);
    }
    root["known"] = view.is_known();
    root["revision"] = Json::UInt64{view.state().revision()};
    root["registry"] = registry_json(view.kv_store());
    if (const auto age = view.confirmed_age(now)) root["sure_age_s"] = seconds(*age);
    root["last_lease"] = Json::UInt64{view.state().last_number()};
    root["leases"] = Json::Value(Json::arrayValue);
    for (const auto& [key, lease] : view.state().leases()) root["leases"].append(lease_json(lease));
    root["forced"] = Json::Value(Json::arrayValue);
    for (const rollout::Lease& lease : view.state().forced()) root["forced"].append(lease_json(lease));
    root["out"] = unavailable_json(fleet);
    // `rollout simulate` reads these two fields.
    root["rules"] = rules_json(setup.proxies);
    for (const rollout::FleetMember& member : fleet(MemberKind::proxy))
        root["proxies"].append(proxy_json(member));
    return base::to_json_line(root);
}

}  // namespace sumackeel::consensus
