#include <json/json.h>

#include "base/json_line.h"
#include "cluster_transport/cluster_transport.h"

namespace sumackeel::cluster_transport {

namespace {

double to_seconds(base::Micros span) {
    return static_cast<double>(span) / 1e6;
}

Json::Value member_json(const cluster::MemberView& seen, base::Micros now) {
    Json::Value one;
    one["name"] = seen.record.name;
    one["address"] = seen.record.address;
    one["zone"] = seen.record.zone;
    one["version"] = seen.record.software_version;
    one["start"] = Json::UInt64{seen.record.incarnation.start};
    one["incarnation"] = Json::UInt64{seen.record.incarnation.refutations};
    one["state"] = name_of(seen.state);
    one["since_s"] = to_seconds(now - seen.since);
    if (seen.last_received_at >= 0) one["heard_s"] = to_seconds(now - seen.last_received_at);
    one["direct"] = seen.directly_reachable;
    one["doubted_by"] = Json::Value(Json::arrayValue);
    for (const std::string& by : seen.suspectors) one["doubted_by"].append(by);
    return one;
}

}  // namespace

std::string ClusterTransport::as_json() const {
    const base::Micros now = monotonic_now();
    Json::Value root;
    const cluster::MemberRecord& self = membership_.self();
    root["name"] = self.name;
    root["group"] = setup_.group;
    root["address"] = self.address;
    root["start"] = Json::UInt64{self.incarnation.start};
    root["incarnation"] = Json::UInt64{self.incarnation.refutations};
    root["state"] = stopped_                     ? "left"
                    : membership_.is_displaced() ? "displaced"
                    : joined_                    ? "alive"
                                                 : "joining";
    root["side"] = name_of(membership_.side());
    root["size"] = Json::UInt64{membership_.member_count()};
    root["reached"] = Json::UInt64{membership_.reachable_count()};
    root["health"] = membership_.local_health();
    root["up_s"] = to_seconds(now - started_at_);
    root["members"] = Json::Value(Json::arrayValue);
    for (const cluster::MemberView& seen : membership_.members()) {
        root["members"].append(member_json(seen, now));
    }
    root["counts"] = Json::Value(Json::objectValue);
    for (const auto& [zone, count] : reported_size_) root["counts"][zone] = count;
    root["counters"] = counters_json();
    return base::to_json_line(root);
}

Json::Value ClusterTransport::counters_json() const {
    Json::Value counters;
    const cluster::MembershipMetrics& membership = membership_.metrics();
    const std::pair<const char*, std::uint64_t> all[] = {{"datagrams_out", metrics_.datagrams_out},
                                                         {"datagrams_in", metrics_.datagrams_in},
                                                         {"queries_out", metrics_.queries_out},
                                                         {"queries_in", metrics_.queries_in},
                                                         {"bytes_out", metrics_.bytes_out},
                                                         {"bytes_in", metrics_.bytes_in},
                                                         {"not_sent", metrics_.not_sent},
                                                         {"exchanges", metrics_.exchanges},
                                                         {"exchanges_same", metrics_.exchanges_same},
                                                         {"exchanges_failed", metrics_.exchanges_failed},
                                                         {"capped_probe", metrics_.rate_limited[0]},
                                                         {"capped_indirect", metrics_.rate_limited[1]},
                                                         {"capped_news", metrics_.rate_limited[2]},
                                                         {"capped_exchange", metrics_.rate_limited[3]},
                                                         {"probes", membership.pings},
                                                         {"probes_failed", membership.failed_pings},
                                                         {"probes_indirect", membership.indirect_pings},
                                                         {"refuted", membership.refutations},
                                                         {"pauses", membership.pauses},
                                                         {"deaths", membership.deaths},
                                                         {"revived", membership.revivals},
                                                         {"merged", membership.merged_states},
                                                         {"refused", membership.rejected}};
    for (const auto& [name, value] : all) counters[name] = Json::UInt64{value};
    for (int i = 0; i < kDecodeErrorCount; ++i)
        counters[std::string("bad_") + name_of(static_cast<DecodeError>(i))] =
            Json::UInt64{metrics_.decode_errors[i]};
    return counters;
}

}  // namespace sumackeel::cluster_transport
