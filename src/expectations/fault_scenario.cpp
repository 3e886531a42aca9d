#include "expectations/fault_scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <set>

namespace sumackeel::expectations {

namespace {

constexpr std::array<const char*, 7> kFaultNames{"drain",       "dies", "vanishes",    "back_cold",
                                                 "fails_fills", "full", "stale_report"};

std::uint64_t mix64(std::uint64_t x) {  // the finaliser of splitmix64
    x ^= x >> 30, x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27, x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// A fault of one subject: an endpoint, or all endpoints of a zone or region at once.
struct NamedFault {
    std::string title;
    std::vector<FaultEvent> events;
    std::set<int> members;
};

NamedFault make_fault(const std::string& subject, const std::vector<int>& members, FaultKind kind,
                      Micros at) {
    NamedFault fault{fmt::format("{} {}", subject, kFaultNames[static_cast<std::size_t>(kind)]), {}, {}};
    for (const int member : members) fault.events.push_back({at, kind, member}), fault.members.insert(member);
    return fault;
}

// Down before the first request, and back at `back_at`.
NamedFault make_restart(const std::string& subject, const std::vector<int>& members, Micros back_at) {
    NamedFault fault{subject + " is back cold", {}, {}};
    for (const int member : members) {
        fault.events.push_back({0, FaultKind::dies, member});
        fault.events.push_back({back_at, FaultKind::back_cold, member});
        fault.members.insert(member);
    }
    return fault;
}

}  // namespace

const char* name_of(FaultKind kind) {
    return kFaultNames[static_cast<std::size_t>(kind)];
}

std::optional<FaultKind> fault_named(const std::string& name) {
    const auto found = std::find(kFaultNames.begin(), kFaultNames.end(), name);
    if (found == kFaultNames.end()) return std::nullopt;
    return static_cast<FaultKind>(found - kFaultNames.begin());
}

std::string object_name(int object) {
    return fmt::format("{:016x}", mix64(static_cast<std::uint64_t>(object) + 1));
}

int group_of(int object) {
    return static_cast<int>(mix64(static_cast<std::uint64_t>(object) + 77) % 256);
}

// Every fault alone for each zone that it can affect, then pairs of faults, drawn by seed. The title includes
// the zone, whose proxy makes the decisions. NOLINTNEXTLINE(readability-function-size): not split yet
std::vector<Scenario> enumerate(const FleetModel& fleet, const Suite& suite) {
    const auto duration = static_cast<Micros>(suite.traffic.seconds * 1e6);
    std::vector<NamedFault> faults;
    std::vector<int> parents;
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        const int member = static_cast<int>(i);
        const std::string& name = fleet.name(i);
        const bool is_parent = fleet.kind_of(i) == Kind::parent;
        if (is_parent) parents.push_back(member);
        for (const FaultKind kind : {FaultKind::drain, FaultKind::dies, FaultKind::vanishes}) {
            faults.push_back(make_fault(name, {member}, kind, 0));
            faults.push_back(make_fault(name + " midway", {member}, kind, duration / 2));
        }
        faults.push_back(make_restart(name, {member}, duration / 3));
        faults.push_back(make_fault(name, {member}, FaultKind::full, 0));
        if (fleet.kind_of(i) != Kind::cache)
            faults.push_back(make_fault(name, {member}, FaultKind::fails_fills, 0));
        if (fleet.kind_of(i) == Kind::cache)
            faults.push_back(make_fault(name, {member}, FaultKind::stale_report, 0));
    }
    const auto add_group_faults = [&](const std::string& subject, const std::vector<int>& members) {
        if (members.empty()) return;
        faults.push_back(make_fault(subject, members, FaultKind::dies, duration / 3));
        faults.push_back(make_fault(subject, members, FaultKind::vanishes, duration / 3));
        faults.push_back(make_fault(subject, members, FaultKind::drain, 0));
        faults.push_back(make_restart(subject, members, duration / 3));
    };
    for (const int zone : fleet.zones_with_caches()) {
        std::vector<int> members;
        for (std::size_t i = 0; i < fleet.members.size(); ++i)
            if (fleet.kind_of(i) == Kind::cache && fleet.members[i].endpoint.zone == zone)
                members.push_back(static_cast<int>(i));
        add_group_faults("school " + fleet.site.zones[zone], members);
    }
    for (const std::string& region : fleet.parent_regions()) {
        std::vector<int> members;
        for (const int candidate : parents)
            if (fleet.zone_of(static_cast<std::size_t>(candidate)) == region) members.push_back(candidate);
        add_group_faults("hub " + region, members);
    }
    const auto affects_zone = [&](const NamedFault& fault, int zone) {
        return std::any_of(fault.members.begin(), fault.members.end(), [&](int m) {
            const auto member = static_cast<std::size_t>(m);
            return fleet.kind_of(member) != Kind::cache || fleet.members[member].endpoint.zone == zone;
        });
    };
    std::vector<Scenario> scenarios;
    const auto add = [&](int zone, std::string title, std::vector<FaultEvent> events) {
        Scenario scenario;
        scenario.number = static_cast<int>(scenarios.size());
        scenario.title = fmt::format("{}: {}", fleet.site.zones[zone], title);
        scenario.zone = zone;
        scenario.seed =
            mix64(suite.worlds.seed + static_cast<std::uint64_t>(scenario.number) * 0x9e3779b97f4a7c15ULL);
        std::stable_sort(events.begin(), events.end(),
                         [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
        scenario.faults = std::move(events);
        scenarios.push_back(std::move(scenario));
    };
    for (const int zone : fleet.zones_with_caches()) {
        add(zone, "all up", {});
        for (const NamedFault& fault : faults)
            if (affects_zone(fault, zone)) add(zone, fault.title, fault.events);
    }
    // Pairs of faults without a common member.
    struct Pair {
        int zone;
        std::size_t a, b;
    };
    std::vector<Pair> pairs;
    std::mt19937_64 rng(suite.worlds.seed);
    const auto zones = fleet.zones_with_caches();
    std::vector<std::vector<std::size_t>> faults_of_zone(zones.size());  // faults that affect each zone
    for (std::size_t s = 0; s < zones.size(); ++s)
        for (std::size_t i = 0; i < faults.size(); ++i)
            if (affects_zone(faults[i], zones[s])) faults_of_zone[s].push_back(i);
    const int max_pairs = suite.worlds.most_pairs;
    for (int draws = 0; static_cast<int>(pairs.size()) < max_pairs && draws < 20 * max_pairs; ++draws) {
        const std::size_t s = rng() % zones.size();
        const auto& zone_faults = faults_of_zone[s];
        const std::size_t a = zone_faults[rng() % zone_faults.size()],
                          b = zone_faults[rng() % zone_faults.size()];
        const bool overlapping = std::any_of(faults[a].members.begin(), faults[a].members.end(),
                                             [&](int member) { return faults[b].members.contains(member); });
        if (!overlapping) pairs.push_back({zones[s], a, b});
    }
    for (const Pair& pair : pairs) {
        std::vector<FaultEvent> combined = faults[pair.a].events;
        combined.insert(combined.end(), faults[pair.b].events.begin(), faults[pair.b].events.end());
        add(pair.zone, faults[pair.a].title + " and " + faults[pair.b].title, std::move(combined));
    }
    if (scenarios.size() > static_cast<std::size_t>(suite.worlds.most)) scenarios.resize(suite.worlds.most);
    return scenarios;
}

std::vector<SimulatedRequest> traffic_of(const Scenario& scenario, const FleetModel& fleet,
                                         const Traffic& traffic) {
    std::mt19937_64 rng(scenario.seed);
    // Distributions of the standard library differ between implementations; these draws do not.
    const auto draw_unit = [&] { return (static_cast<double>(rng() >> 11) + 0.5) / 9007199254740992.0; };
    const auto draw_index = [&](const std::vector<double>& cumulative) {
        const double drawn = draw_unit() * cumulative.back();
        return static_cast<int>(std::lower_bound(cumulative.begin(), cumulative.end(), drawn) -
                                cumulative.begin());
    };
    std::vector<double> classes, objects;
    double total = 0;
    for (const double share : traffic.mix) classes.push_back(total += share);
    total = 0;
    for (int i = 1; i <= traffic.objects; ++i) objects.push_back(total += std::pow(i, -traffic.zipf));
    std::vector<SimulatedRequest> requests;
    double at = 0;
    for (int number = 1;; ++number) {
        at += -std::log(draw_unit()) / traffic.per_s;
        if (at >= traffic.seconds) return requests;
        SimulatedRequest request;
        request.at = static_cast<Micros>(at * 1e6);
        request.number = number;
        request.class_index = draw_index(classes);
        request.object = draw_index(objects);
        // Sizes vary between objects and classes, but each object keeps its size.
        const auto size = mix64(static_cast<std::uint64_t>(request.object) * 31 +
                                static_cast<std::uint64_t>(request.class_index));
        request.size_kb =
            traffic.size_kb[request.class_index] * (0.25 + 1.5 * static_cast<double>(size % 1000) / 1000);
        if (fleet.site.settings.classes[request.class_index].uncacheable)
            request.object = number;  // a separate object per request
        requests.push_back(request);
    }
}

}  // namespace sumackeel::expectations
