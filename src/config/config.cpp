#include "config/config.h"

#include <algorithm>
#include <charconv>

#include "base/files.h"
#include "base/system_error.h"
#include "config/read.h"

namespace sumackeel::config {

using Json::Value;
using routing::ClassSettings;
using routing::Micros;
using routing::Settings;

namespace {

const Value& section(const Value& object, const char* key) {
    static const Value empty(Json::objectValue);
    const Value& value = object[key];
    return value.isNull() ? empty : value;
}

int place_of(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

template <typename T>
T nth_or(const std::vector<T>& list, std::size_t n, T otherwise) {
    return n < list.size() ? list[n] : otherwise;
}

void read_classes(const Value& params, Site& site) {
    using routing::IdempotencyScope;
    using routing::RetrySafety;
    const std::string family_at = "params.family_info";
    const Value& family = section(params, "family_info");
    std::vector<Micros> fresh, grace;
    std::vector<double> stale_values;
    std::vector<bool> pieces, uncached;
    take(family, "good_for", fresh, family_at);
    take(family, "grace_for", grace, family_at);
    take(family, "class_stale_worth", stale_values, family_at);
    take(family, "in_pieces", pieces, family_at);
    take(family, "uncached", uncached, family_at);
    if (!params["classes"].isArray()) bad("params.classes", "missing or not a list");
    for (Json::ArrayIndex i = 0; i < params["classes"].size(); ++i) {
        const Value& item = params["classes"][i];
        const std::string where = "params.classes[" + std::to_string(i) + "]";
        ClassSettings service;
        const auto name = need<std::string>(item, "name", where);
        if (name.empty()) bad(where, "no name");
        take(item, "aim", service.latency_objective, where);
        take(item, "aim_stretch", service.latency_objective_stretch, where);
        take(item, "give_up", service.deadline, where);
        take(item, "late_value", service.late_value, where);
        take(item, "points", service.priority_weight, where);
        take(item, "window", service.idempotency_window, where);
        take(item, "stream", service.streaming, where);
        service.retry_safety = take_word<RetrySafety>(item, "semantics", "retryable", where,
                                                      {{"retryable", RetrySafety::idempotent},
                                                       {"dedup", RetrySafety::with_idempotency_key},
                                                       {"fragile", RetrySafety::not_idempotent}});
        service.idempotency_scope = take_word<IdempotencyScope>(item, "group", "all", where,
                                                                {{"all", IdempotencyScope::all},
                                                                 {"zone", IdempotencyScope::zone},
                                                                 {"cell", IdempotencyScope::cell}});
        service.freshness_lifetime = nth_or<Micros>(fresh, i, 0);
        service.stale_grace = nth_or<Micros>(grace, i, 0);
        service.stale_value = nth_or(stale_values, i, 1.0);
        service.chunked = i < pieces.size() && pieces[i];
        service.uncacheable = i < uncached.size() && uncached[i];
        site.classes.push_back(name);
        site.settings.classes.push_back(service);
    }
}

void read_family(const Value& params, Settings& settings) {
    using routing::CacheStatusDetail;
    using routing::SiblingFill;
    const Value& family = section(params, "family_info");
    const std::string where = "params.family_info";
    take(family, "count_by_zone", settings.instances_by_zone, where);
    take(family, "zone_hub", settings.region_by_zone, where);
    take(family, "inlet_kb_per_s", settings.ingress_kb_per_s_by_zone, where);
    take(family, "upper_kind", settings.parent_kind, where);
    take(family, "origin_kind", settings.origin_kind, where);
    take(family, "pace_kb_per_s", settings.transfer_rate_kb_per_s, where);
    take(family, "joins", settings.coalescing_allowed, where);
    take(family, "direct", settings.cache_bypass_allowed, where);
    settings.sibling_fill = take_word<SiblingFill>(
        family, "neighbours", "silent", where,
        {{"silent", SiblingFill::none}, {"location", SiblingFill::own_zone}, {"any", SiblingFill::any}});
    settings.cache_status_detail = take_word<CacheStatusDetail>(family, "notes_given", "silent", where,
                                                                {{"silent", CacheStatusDetail::none},
                                                                 {"hit", CacheStatusDetail::hits},
                                                                 {"all", CacheStatusDetail::all}});
    take(family, "obey_after", settings.notification_grace, where);
    take(family, "cleared_within", settings.purge_completes_within, where);
    take(family, "parent_cold_from", settings.parent_cold_fraction, where);
    take(family, "parent_ramp", settings.parent_slow_start, where);
    take(family, "parent_breaks_at", settings.parent_overload_multiple, where);
    take(family, "origin_stops_at", settings.origin_overload_multiple, where);
    take(family, "origin_over_for", settings.origin_overload_window, where);
}

void read_limits(const Value& params, Site& site) {
    Settings& settings = site.settings;
    std::string where = "params.contract";
    const Value& contract = section(params, "contract");
    take(contract, "answer_slack", settings.response_slack, where);
    take(contract, "ask_within", settings.poll_within, where);
    take(contract, "drain_grace", settings.drain_grace, where);
    take(contract, "cold_share", settings.cold_capacity_fraction, where);
    take(contract, "warm_after", settings.warm_up_duration, where);
    take(contract, "tip_multiple", settings.cold_overload_multiple, where);
    take(contract, "overload_for", settings.overload_window, where);
    where = "params.limits";
    const Value& limits = section(params, "limits");
    take(limits, "cancel", settings.cancellation_allowed, where);
    take(limits, "probes", settings.health_checks_allowed, where);
    take(limits, "peers", settings.gossip_allowed, where);
    take(limits, "second_copies", settings.hedging_allowed, where);
    take(limits, "retry_after", settings.retry_after_allowed, where);
    take(limits, "max_retry_after", settings.max_retry_after, where);
    take(limits, "most_tries", settings.max_attempts, where);
    take(limits, "most_held", settings.max_in_flight, where);
    take(limits, "connect_timeout", settings.connect_timeout, where);
    take(limits, "streams_per_conn", site.streams_per_conn, where);
    take(limits, "keepalive", site.keepalive, where);
    const Value& prices = section(params, "prices");
    take(prices, "handshake", site.handshake_price, "params.prices");
    take(prices, "waste", settings.wasted_work_cost, "params.prices");
    take(prices, "late_fail", settings.late_failure_cost, "params.prices");
}

LocatedEndpoint read_member(const Value& item, const Site& site) {
    using routing::EndpointState;
    const std::string where = "fleet.hosts";
    LocatedEndpoint placed;
    routing::Endpoint& entry = placed.endpoint;
    entry.name = need<std::string>(item, "host", where);
    const bool plain = !entry.name.empty() && entry.name.size() <= 128 &&
                       entry.name.find_first_of(" ,=\r\n") == std::string::npos;
    if (!plain) bad(where, "a host's name can't be used");
    take(item, "dial", placed.address, where);
    std::string zone, kind;
    take(item, "site", zone, where);
    take(item, "class", kind, where);
    entry.zone = place_of(site.zones, zone);
    entry.kind = place_of(site.kinds, kind);
    take(item, "block", entry.cell, where);
    take(item, "share", entry.weight, where);
    Micros born_ms = 0;
    take(item, "born_ms", born_ms, where);
    entry.started_at = born_ms * 1000;
    entry.state = take_word<EndpointState>(item, "health", "SERVING", where,
                                           {{"SERVING", EndpointState::ready},
                                            {"DRAINING", EndpointState::draining},
                                            {"DELETED", EndpointState::removed}});
    return placed;
}

}  // namespace

Value parse(const std::string& text, const std::string& what) {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = true;
    builder["rejectDupKeys"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)) return value;
    } catch (const Json::Exception& wrong) {
        errors = wrong.what();
    }
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    bad(what, "not JSON: " + errors);
}

Site parse_site(const Value& params) {
    using routing::LoadReporting;
    using routing::WeightQuality;
    if (!params.isObject()) bad("params", "not an object");
    Site site;
    Settings& settings = site.settings;
    take(params, "zones", site.zones, "params");
    take(params, "shapes", site.kinds, "params");
    for (const Value& tenant : section(params, "projects"))
        site.tenants.push_back(need<std::string>(tenant, "name", "params.projects"));
    read_classes(params, site);
    take(params, "instances", settings.instance_count, "params");
    take(params, "me", settings.instance_index, "params");
    take(params, "tick", settings.tick, "params");
    std::string zone;
    take(params, "my_zone", zone, "params");
    settings.own_zone = place_of(site.zones, zone);
    settings.endpoints_on_request =
        take_word<bool>(params, "discovery", "pushed", "params", {{"pushed", false}, {"on_request", true}});
    settings.weight_quality = take_word<WeightQuality>(params, "weights", "silent", "params",
                                                       {{"silent", WeightQuality::none},
                                                        {"nominal", WeightQuality::nominal},
                                                        {"rough", WeightQuality::rough},
                                                        {"live", WeightQuality::live}});
    settings.load_reporting =
        take_word<LoadReporting>(section(params, "report"), "via", "silent", "params.report",
                                 {{"silent", LoadReporting::none},
                                  {"piggyback", LoadReporting::with_responses},
                                  {"pull", LoadReporting::on_health_check}});
    read_family(params, settings);
    read_limits(params, site);
    return site;
}

Site parse_site(const std::string& params) {
    return parse_site(parse(params, "params"));
}

WatchEvent parse_watch_event(const Value& event, const Site& site) {
    WatchEvent change;
    change.sequence = need<std::int64_t>(event, "seq", "change");
    const Value& fleet = event["fleet"];
    if (!fleet.isNull()) {
        change.has_endpoints = true;
        take(fleet, "seq", change.version, "fleet");
        take(fleet, "whole", change.is_full_list, "fleet");
        if (!fleet["hosts"].isArray()) bad("fleet.hosts", "missing or not a list");
        for (const Value& item : fleet["hosts"]) change.endpoints.push_back(read_member(item, site));
    }
    const Value& purge = event["invalidate"];
    if (!purge.isNull()) {
        change.has_purge = true;
        take(purge, "object", change.object, "invalidate");
        take(purge, "bucket", change.purge_group, "invalidate");
        change.purge_time = {1000 * need<std::int64_t>(purge, "time", "invalidate")};
    }
    return change;
}

Config parse_config(const std::string& text) {
    const Value root = parse(text, "configuration");
    if (!root.isObject()) bad("configuration", "not an object");
    Config config;
    take(root, "name", config.name, "configuration");
    config.listen = need<std::string>(root, "listen", "configuration");
    take(root, "changelog", config.changelog, "configuration");
    take(root, "ops", config.ops, "configuration");
    std::string seed = "0";
    take(root, "seed", seed, "configuration");
    const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
    if (read.ec != std::errc{} || read.ptr != seed.data() + seed.size())
        bad("configuration.seed", "not hex digits");
    const Value& limits = section(root, "limits");
    take(limits, "sockets", config.sockets, "configuration.limits");
    take(limits, "memory_mb", config.memory_mb, "configuration.limits");
    if (config.sockets < 32) bad("configuration.limits.sockets", "under 32");
    if (root["settings"].isNull()) bad("configuration", "settings is missing");
    config.site = parse_site(root["settings"]);
    const Value& known = section(root, "known");
    take(known, "seq", config.known_seq, "configuration.known");
    for (const Value& event : section(known, "results"))
        config.known.push_back(parse_watch_event(event, config.site));
    return config;
}

std::string read_file(const std::string& path) {
    constexpr std::size_t kLongest = 256u << 20;  // more than any change log's file; a device has no end
    std::string text;
    const int error = base::read_entire_file(path, kLongest, text);
    const std::string line = path + ": can't be read: " + base::describe_error(error);
    if (error != 0 && base::is_transient(error)) throw TransientError(line, error);
    if (error != 0) throw ConfigError(line);
    if (text.empty()) bad(path, "can't be read: it is empty");
    return text;
}

Config load_config(const std::string& path) {
    return parse_config(read_file(path));
}

}  // namespace sumackeel::config
