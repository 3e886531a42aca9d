#include "expectations/counterexample_file.h"

#include <json/json.h>

#include <algorithm>

#include "config/read.h"

namespace sumackeel::expectations {

using config::bad;
using config::Node;
using Json::Value;

namespace {

constexpr int kVersion = 1;
constexpr std::size_t kMaxRequests = 1'000'000, kMaxFaultEvents = 100'000;
constexpr const char* kStateNames[] = {"SERVING", "DRAINING", "DELETED"};

Value json_of(const Node& node) {
    if (const auto flag = std::get_if<bool>(&node.value)) return *flag;
    if (const auto whole = std::get_if<std::int64_t>(&node.value)) return Json::Int64{*whole};
    if (const auto real = std::get_if<double>(&node.value)) return *real;
    if (const auto text = std::get_if<std::string>(&node.value)) return *text;
    if (const auto list = std::get_if<Node::List>(&node.value)) {
        Value all(Json::arrayValue);
        for (const Node& item : *list) all.append(json_of(item));
        return all;
    }
    Value all(Json::objectValue);
    if (const auto table = std::get_if<Node::Table>(&node.value))
        for (const auto& [key, item] : *table) all[key] = json_of(item);
    return all;
}

std::string text_of(const Value& value, bool compact) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = compact ? "" : " ";
    return Json::writeString(builder, value);
}

}  // namespace

std::string write_case(const FleetModel& fleet, const Expectation& expectation,
                       const Counterexample& example) {
    Value root;
    root["version"] = kVersion;
    root["settings"] = config::parse(fleet.settings_text, "settings");
    Value& hosts = root["hosts"] = Value(Json::arrayValue);
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        const auto& entry = fleet.members[i].endpoint;
        Value one;
        one["host"] = entry.name;
        one["dial"] = fleet.members[i].address;
        one["site"] = fleet.zone_of(i);
        if (entry.kind >= 0) one["class"] = fleet.site.kinds[entry.kind];
        one["block"] = Json::Int64{entry.cell};
        one["share"] = entry.weight;
        one["health"] = kStateNames[static_cast<std::size_t>(entry.state)];
        hosts.append(one);
    }
    root["expect"] = json_of(expectation.source);
    Value& scenario = root["world"];
    scenario["title"] = example.world.title;
    scenario["school"] = fleet.site.zones[example.world.zone];
    // A string, as JSON numbers do not hold all 64-bit values exactly.
    scenario["seed"] = std::to_string(example.world.seed);
    scenario["happenings"] = Value(Json::arrayValue);
    for (const FaultEvent& one : example.world.faults) {
        Value item;
        item["at_us"] = Json::Int64{one.at};
        item["trouble"] = name_of(one.fault);
        item["member"] = fleet.name(one.member);
        scenario["happenings"].append(item);
    }
    root["requests"] = Value(Json::arrayValue);
    for (const SimulatedRequest& request : example.asks) {
        Value item;
        item["at_us"] = Json::Int64{request.at};
        item["number"] = request.number;
        item["class"] = fleet.site.classes[request.class_index];
        item["object"] = request.object;
        item["part"] = request.part;
        item["size_kb"] = request.size_kb;
        root["requests"].append(item);
    }
    root["broken"]["request"] = example.broken.request;
    root["broken"]["at_us"] = Json::Int64{example.broken.at};
    root["broken"]["what"] = example.broken.what;
    return text_of(root, false) + "\n";
}

// NOLINTNEXTLINE(readability-function-size): not split yet
Case read_case(const std::string& text, const std::string& file) {
    const Value root = config::parse(text, file);
    if (!root.isObject()) bad(file, "no counterexample");
    const int version = config::need<int>(root, "version", file);
    if (version != kVersion) bad(file + ".version", "this program reads version 1");
    for (const char* key : {"settings", "expect", "world"})
        if (!root[key].isObject()) bad(file, std::string(key) + " is missing or not an object");
    for (const char* key : {"hosts", "requests"})
        if (!root[key].isArray()) bad(file, std::string(key) + " is missing or not a list");
    Case one;
    const std::string settings = text_of(root["settings"], true);
    const config::Site site = config::parse_site(settings);
    Value event;
    event["seq"] = 1;
    event["fleet"]["whole"] = true;
    event["fleet"]["hosts"] = root["hosts"];
    one.fleet = make_fleet(settings, {config::parse_watch_event(event, site)});
    Value suite;
    suite["expect"] = Value(Json::arrayValue);
    suite["expect"].append(root["expect"]);
    one.suite = read_suite(config::read_json(text_of(suite, true), file), file, one.fleet);
    const Value& scenario = root["world"];
    config::take(scenario, "title", one.world.title, file);
    const auto zone_name = config::need<std::string>(scenario, "school", file + ".world");
    const auto zone = std::find(site.zones.begin(), site.zones.end(), zone_name);
    if (zone == site.zones.end()) bad(file + ".world.school", "no school '" + zone_name + "'");
    one.world.zone = static_cast<int>(zone - site.zones.begin());
    const auto seed = config::need<std::string>(scenario, "seed", file + ".world");
    if (seed.empty() || seed.size() > 20 || seed.find_first_not_of("0123456789") != std::string::npos)
        bad(file + ".world.seed", "no whole number");
    one.world.seed = std::strtoull(seed.c_str(), nullptr, 10);
    if (scenario["happenings"].size() > kMaxFaultEvents || root["requests"].size() > kMaxRequests)
        bad(file, "more happenings or requests than any run has");
    const auto read_time = [&](const Value& item) {
        const auto at = config::need<std::int64_t>(item, "at_us", file);
        if (at < 0 || at > 86'400'000'000) bad(file + ".at_us", "not within a day");
        return at;
    };
    for (const Value& item : scenario["happenings"]) {
        FaultEvent fault_event;
        fault_event.at = read_time(item);
        const auto kind = fault_named(config::need<std::string>(item, "trouble", file));
        fault_event.member = one.fleet.find(config::need<std::string>(item, "member", file));
        if (!kind || fault_event.member < 0) bad(file + ".world.happenings", "an unknown trouble or member");
        fault_event.fault = *kind;
        one.world.faults.push_back(fault_event);
    }
    for (const Value& item : root["requests"]) {
        SimulatedRequest request;
        request.at = read_time(item);
        request.number = config::need<int>(item, "number", file);
        const auto service = config::need<std::string>(item, "class", file);
        const auto found = std::find(site.classes.begin(), site.classes.end(), service);
        if (found == site.classes.end()) bad(file + ".requests", "no class '" + service + "'");
        request.class_index = static_cast<int>(found - site.classes.begin());
        request.object = config::need<int>(item, "object", file);
        config::take(item, "part", request.part, file);
        request.size_kb = config::need<double>(item, "size_kb", file);
        if (!(request.size_kb >= 0 && request.size_kb <= 1e9)) bad(file + ".requests.size_kb", "no size");
        one.asks.push_back(request);
    }
    std::stable_sort(one.asks.begin(), one.asks.end(),
                     [](const SimulatedRequest& a, const SimulatedRequest& b) { return a.at < b.at; });
    return one;
}

}  // namespace sumackeel::expectations
