#include "expectations/fleet_diff.h"

#include <algorithm>
#include <map>
#include <set>

namespace sumackeel::expectations {

namespace {

constexpr double kConfidence = 0.95;

struct Choice {
    std::string target, source;
};

// The first attempt of each request.
class FirstChoices : public SimulationObserver {
  public:
    explicit FirstChoices(const FleetModel& fleet) : fleet_(fleet) {}
    void on_decision(const SimulatedRequest& ask, const Decision& made,
                     const std::vector<NotifiedStateSince>&) override {
        if (made.attempt > 0) return;
        by_request[ask.number] = {made.target < 0 ? "" : fleet_.name(made.target),
                                  made.source < 0 ? "" : fleet_.name(made.source)};
    }
    void on_request_finished(const SimulatedRequest&, const RequestResult&,
                             const std::vector<NotifiedStateSince>&) override {}
    std::map<int, Choice> by_request;

  private:
    const FleetModel& fleet_;
};

std::set<std::string> zone_names(const FleetModel& fleet) {
    std::set<std::string> names;
    for (const int zone : fleet.zones_with_caches()) names.insert(fleet.site.zones[zone]);
    return names;
}

int zone_named(const FleetModel& fleet, const std::string& name) {
    const auto& zones = fleet.site.zones;
    return static_cast<int>(std::find(zones.begin(), zones.end(), name) - zones.begin());
}

void only_in(const std::set<std::string>& these, const std::set<std::string>& those,
             std::vector<std::string>& into) {
    std::set_difference(these.begin(), these.end(), those.begin(), those.end(), std::back_inserter(into));
}

}  // namespace

FleetDiff compare(const FleetModel& before, const FleetModel& after, const Traffic& traffic,
                  std::uint64_t seed) {
    FleetDiff difference;
    const auto old_zones = zone_names(before), new_zones = zone_names(after);
    only_in(old_zones, new_zones, difference.only_old);
    only_in(new_zones, old_zones, difference.only_new);
    std::set<std::string> old_members, new_members;
    for (std::size_t i = 0; i < before.members.size(); ++i) old_members.insert(before.name(i));
    for (std::size_t i = 0; i < after.members.size(); ++i) new_members.insert(after.name(i));
    only_in(old_members, new_members, difference.only_old);
    only_in(new_members, old_members, difference.only_new);
    for (const std::string& zone : old_zones) {
        if (!new_zones.contains(zone)) continue;
        Scenario world;
        world.zone = zone_named(before, zone);
        world.seed = seed;
        const std::vector<SimulatedRequest> asks = traffic_of(world, before, traffic);
        FirstChoices old_choices(before), new_choices(after);
        simulate(world, before, asks, old_choices);
        world.zone = zone_named(after, zone);
        simulate(world, after, asks, new_choices);
        std::map<int, RoutingShift> by_service;
        std::map<std::pair<int, int>, bool> homes;  // the first request for each part tells its home
        for (const SimulatedRequest& ask : asks) {
            const auto was = old_choices.by_request.find(ask.number),
                       is = new_choices.by_request.find(ask.number);
            if (was == old_choices.by_request.end() || is == new_choices.by_request.end()) continue;
            RoutingShift& moved = by_service[ask.class_index];
            ++moved.requests;
            const bool other = was->second.target != is->second.target;
            moved.to_other_endpoint += other;
            moved.from_other_source += was->second.source != is->second.source;
            if (!before.site.settings.classes[ask.class_index].uncacheable &&
                homes.emplace(std::pair(ask.class_index, ask.object), other).second)
                ++moved.objects, moved.homes_moved += other;
        }
        for (auto& [service, moved] : by_service) {
            moved.zone = zone;
            moved.service = before.site.classes[service];
            moved.endpoint = bounds_of(moved.to_other_endpoint, moved.requests, kConfidence);
            moved.source = bounds_of(moved.from_other_source, moved.requests, kConfidence);
            moved.copies = bounds_of(moved.homes_moved, moved.objects, kConfidence);
            difference.moved.push_back(std::move(moved));
        }
    }
    return difference;
}

}  // namespace sumackeel::expectations
