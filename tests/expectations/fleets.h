// Fleets for the tests of expectations: schools spread over three hubs in a ring, parents at each hub, one
// library.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <string>
#include <vector>

#include "expectations/evaluator.h"

namespace sumackeel::expectations {

struct Shape {
    int schools = 3, boxes = 4, parents_per_hub = 2;
};

// The settings as a value that mistakes can be made in.
struct Sketch {
    Shape shape;
    std::vector<std::string> zones{"coast", "valley", "hinterland"};
    std::vector<int> zone_hub{0, 1, 2};
    std::vector<int> proxies{0, 0, 0};
    std::string enrol = "fragile", uncached = "[false,false,true]";
    int most_tries = 8;
    int video_aim = 600'000, video_give_up = 6'000'000, sheet_give_up = 3'000'000;
    double pace = 9100;
    bool direct = true;
    int parent_kind = 1, origin_kind = 2;
    std::vector<config::LocatedEndpoint> members;

    explicit Sketch(Shape s = {}) : shape(s) {
        for (int school = 0; school < s.schools; ++school) {
            zones.push_back(fmt::format("school-{}", school + 1));
            zone_hub.push_back(school % 3);
            proxies.push_back(2);
            for (int box = 0; box < s.boxes; ++box)
                add(fmt::format("s{}-{}", school + 1, box + 1), 3 + school, 0, 8);
        }
        const char* hubs[] = {"coast", "valley", "hinterland"};
        for (int hub = 0; hub < 3; ++hub)
            for (int parent = 0; parent < s.parents_per_hub; ++parent)
                add(fmt::format("p-{}-{}", hubs[hub], parent + 1), hub, 1, 20);
        add("library", 0, 2, 20);
    }
    void add(const std::string& name, int zone, int kind, double weight) {
        config::LocatedEndpoint one;
        one.address = "127.0.0.1:1";
        one.endpoint.name = name;
        one.endpoint.zone = zone;
        one.endpoint.kind = kind;
        one.endpoint.weight = weight;
        members.push_back(std::move(one));
    }
    config::LocatedEndpoint& at(const std::string& name) {
        for (config::LocatedEndpoint& member : members)
            if (member.endpoint.name == name) return member;
        throw std::logic_error("no member " + name);
    }
    void remove(const std::string& start) {
        std::erase_if(members, [&](const auto& member) { return member.endpoint.name.starts_with(start); });
    }

    std::string settings() const {
        const auto quoted = [](const std::vector<std::string>& names) {
            std::string all;
            for (const std::string& name : names) all += (all.empty() ? "\"" : ",\"") + name + '"';
            return all;
        };
        return fmt::format(
            R"({{"classes":[
 {{"name":"video","aim":{},"aim_stretch":1.6,"give_up":{},"late_value":0.15,"points":2,"semantics":"retryable"}},
 {{"name":"sheet","aim":300000,"aim_stretch":2,"give_up":{},"points":1,"semantics":"retryable"}},
 {{"name":"enrol","aim":800000,"give_up":3000000,"points":3,"semantics":"{}"}}],
 "contract":{{"cold_share":0.16,"drain_grace":2000000,"overload_for":1500000,"tip_multiple":4,"warm_after":17000000}},
 "family_info":{{"cleared_within":6000000,"count_by_zone":[{}],"direct":{},"good_for":[0,8000000,0],
 "grace_for":[0,0,0],"joins":true,"notes_given":"all","obey_after":300000,"origin_kind":{},"pace_kb_per_s":{},
 "uncached":{},"upper_kind":{},"zone_hub":[{}],"parent_cold_from":0.06,"parent_ramp":21000000,
 "parent_breaks_at":2}},
 "instances":{},"me":0,"zones":[{}],"shapes":["small","parent","origin"],
 "limits":{{"cancel":true,"connect_timeout":400000,"most_tries":{},"retry_after":true,"max_retry_after":500000,
 "second_copies":true}},"report":{{"via":"piggyback"}},"weights":"nominal"}})",
            video_aim, video_give_up, sheet_give_up, enrol, fmt::join(proxies, ","), direct, origin_kind,
            pace, uncached, parent_kind, fmt::join(zone_hub, ","), 2 * shape.schools, quoted(zones),
            most_tries);
    }
    FleetModel fleet() const {
        config::WatchEvent list;
        list.has_endpoints = list.is_full_list = true;
        list.endpoints = members;
        return make_fleet(settings(), {list});
    }
};

}  // namespace sumackeel::expectations
