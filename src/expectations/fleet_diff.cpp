#include "expectations/fleet_diff.h"

#include <algorithm>
#include <map>
#include <set>

namespace sumackeel::expectations {

namespace {

constexpr double kConfidence = 0.95;

struct FirstChoice {
    std::string target, source;
};

// Records the target and source of each request's first attempt.
class FirstChoiceRecorder : public SimulationObserver {
  public:
    explicit FirstChoiceRecorder(const FleetModel& fleet) : fleet_(fleet) {}
    void on_decision(const SimulatedRequest& request, const Decision& decision,
                     const std::vector<NotifiedStateSince>&) override {
        if (decision.attempt > 0) return;
        by_request[request.number] = {decision.target < 0 ? "" : fleet_.name(decision.target),
                                      decision.source < 0 ? "" : fleet_.name(decision.source)};
    }
    void on_request_finished(const SimulatedRequest&, const RequestResult&,
                             const std::vector<NotifiedStateSince>&) override {}
    std::map<int, FirstChoice> by_request;

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

void append_missing(const std::set<std::string>& names, const std::set<std::string>& other_names,
                    std::vector<std::string>& missing) {
    std::set_difference(names.begin(), names.end(), other_names.begin(), other_names.end(),
                        std::back_inserter(missing));
}

}  // namespace

FleetDiff compare(const FleetModel& before, const FleetModel& after, const Traffic& traffic,
                  std::uint64_t seed) {
    FleetDiff diff;
    const auto old_zones = zone_names(before), new_zones = zone_names(after);
    append_missing(old_zones, new_zones, diff.only_old);
    append_missing(new_zones, old_zones, diff.only_new);
    std::set<std::string> old_members, new_members;
    for (std::size_t i = 0; i < before.members.size(); ++i) old_members.insert(before.name(i));
    for (std::size_t i = 0; i < after.members.size(); ++i) new_members.insert(after.name(i));
    append_missing(old_members, new_members, diff.only_old);
    append_missing(new_members, old_members, diff.only_new);
    for (const std::string& zone : old_zones) {
        if (!new_zones.contains(zone)) continue;
        Scenario scenario;
        scenario.zone = zone_named(before, zone);
        scenario.seed = seed;
        const std::vector<SimulatedRequest> requests = traffic_of(scenario, before, traffic);
        FirstChoiceRecorder old_choices(before), new_choices(after);
        simulate(scenario, before, requests, old_choices);
        scenario.zone = zone_named(after, zone);
        simulate(scenario, after, requests, new_choices);
        std::map<int, RoutingShift> shifts_by_class;
        // By class and object; only the first request for each counts.
        std::map<std::pair<int, int>, bool> first_targets;
        for (const SimulatedRequest& request : requests) {
            const auto old_choice = old_choices.by_request.find(request.number),
                       new_choice = new_choices.by_request.find(request.number);
            if (old_choice == old_choices.by_request.end() || new_choice == new_choices.by_request.end())
                continue;
            RoutingShift& shift = shifts_by_class[request.class_index];
            ++shift.requests;
            const bool target_changed = old_choice->second.target != new_choice->second.target;
            shift.to_other_endpoint += target_changed;
            shift.from_other_source += old_choice->second.source != new_choice->second.source;
            if (!before.site.settings.classes[request.class_index].uncacheable &&
                first_targets.emplace(std::pair(request.class_index, request.object), target_changed).second)
                ++shift.objects, shift.homes_moved += target_changed;
        }
        for (auto& [service, shift] : shifts_by_class) {
            shift.zone = zone;
            shift.service = before.site.classes[service];
            shift.endpoint = bounds_of(shift.to_other_endpoint, shift.requests, kConfidence);
            shift.source = bounds_of(shift.from_other_source, shift.requests, kConfidence);
            shift.copies = bounds_of(shift.homes_moved, shift.objects, kConfidence);
            diff.moved.push_back(std::move(shift));
        }
    }
    return diff;
}

}  // namespace sumackeel::expectations
