#include "expectations/fault_scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <set>

namespace sumackeel::expectations {

namespace {

constexpr std::array<const char*, 7> kNames{"drain",       "dies", "vanishes",    "back_cold",
                                            "fails_fills", "full", "stale_report"};

std::uint64_t mixed(std::uint64_t x) {  // the finaliser of splitmix64
    x ^= x >> 30, x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27, x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// What may be wrong with one thing: a box, or a whole school or hub at once.
struct NamedFault {
    std::string title;
    std::vector<FaultEvent> happenings;
    std::set<int> members;
};

NamedFault fault_of(const std::string& what, const std::vector<int>& members, FaultKind kind, Micros at) {
    NamedFault fault{fmt::format("{} {}", what, kNames[static_cast<std::size_t>(kind)]), {}, {}};
    for (const int member : members)
        fault.happenings.push_back({at, kind, member}), fault.members.insert(member);
    return fault;
}

// Down before the first request and back at a third of the time.
NamedFault back_of(const std::string& what, const std::vector<int>& members, Micros back) {
    NamedFault fault{what + " is back cold", {}, {}};
    for (const int member : members) {
        fault.happenings.push_back({0, FaultKind::dies, member});
        fault.happenings.push_back({back, FaultKind::back_cold, member});
        fault.members.insert(member);
    }
    return fault;
}

}  // namespace

const char* name_of(FaultKind trouble) {
    return kNames[static_cast<std::size_t>(trouble)];
}

std::optional<FaultKind> fault_named(const std::string& name) {
    const auto found = std::find(kNames.begin(), kNames.end(), name);
    if (found == kNames.end()) return std::nullopt;
    return static_cast<FaultKind>(found - kNames.begin());
}

std::string object_name(int object) {
    return fmt::format("{:016x}", mixed(static_cast<std::uint64_t>(object) + 1));
}

int group_of(int object) {
    return static_cast<int>(mixed(static_cast<std::uint64_t>(object) + 77) % 256);
}

// Every fault alone at each school that it can matter to, then pairs of them, drawn by seed where they are
// many. The title names the school too: one proxy of it is what decides.
// NOLINTNEXTLINE(readability-function-size): not split yet
std::vector<Scenario> enumerate(const FleetModel& fleet, const Suite& suite) {
    const auto length = static_cast<Micros>(suite.traffic.seconds * 1e6);
    std::vector<NamedFault> faults;
    std::vector<int> parents;
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        const int member = static_cast<int>(i);
        const std::string& name = fleet.name(i);
        const bool parent = fleet.kind_of(i) == Kind::parent;
        if (parent) parents.push_back(member);
        for (const FaultKind trouble : {FaultKind::drain, FaultKind::dies, FaultKind::vanishes}) {
            faults.push_back(fault_of(name, {member}, trouble, 0));
            faults.push_back(fault_of(name + " midway", {member}, trouble, length / 2));
        }
        faults.push_back(back_of(name, {member}, length / 3));
        faults.push_back(fault_of(name, {member}, FaultKind::full, 0));
        if (fleet.kind_of(i) != Kind::cache)
            faults.push_back(fault_of(name, {member}, FaultKind::fails_fills, 0));
        if (fleet.kind_of(i) == Kind::cache)
            faults.push_back(fault_of(name, {member}, FaultKind::stale_report, 0));
    }
    const auto whole = [&](const std::string& what, const std::vector<int>& members) {
        if (members.empty()) return;
        faults.push_back(fault_of(what, members, FaultKind::dies, length / 3));
        faults.push_back(fault_of(what, members, FaultKind::vanishes, length / 3));
        faults.push_back(fault_of(what, members, FaultKind::drain, 0));
        faults.push_back(back_of(what, members, length / 3));
    };
    for (const int zone : fleet.zones_with_caches()) {
        std::vector<int> members;
        for (std::size_t i = 0; i < fleet.members.size(); ++i)
            if (fleet.kind_of(i) == Kind::cache && fleet.members[i].endpoint.zone == zone)
                members.push_back(static_cast<int>(i));
        whole("school " + fleet.site.zones[zone], members);
    }
    for (const std::string& region : fleet.parent_regions()) {
        std::vector<int> members;
        for (const int parent : parents)
            if (fleet.zone_of(static_cast<std::size_t>(parent)) == region) members.push_back(parent);
        whole("hub " + region, members);
    }
    const auto matters = [&](const NamedFault& fault, int zone) {
        return std::any_of(fault.members.begin(), fault.members.end(), [&](int m) {
            const auto member = static_cast<std::size_t>(m);
            return fleet.kind_of(member) != Kind::cache || fleet.members[member].endpoint.zone == zone;
        });
    };
    std::vector<Scenario> worlds;
    const auto add = [&](int zone, std::string title, std::vector<FaultEvent> happenings) {
        Scenario world;
        world.number = static_cast<int>(worlds.size());
        world.title = fmt::format("{}: {}", fleet.site.zones[zone], title);
        world.zone = zone;
        world.seed =
            mixed(suite.worlds.seed + static_cast<std::uint64_t>(world.number) * 0x9e3779b97f4a7c15ULL);
        std::stable_sort(happenings.begin(), happenings.end(),
                         [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
        world.faults = std::move(happenings);
        worlds.push_back(std::move(world));
    };
    for (const int zone : fleet.zones_with_caches()) {
        add(zone, "all up", {});
        for (const NamedFault& fault : faults)
            if (matters(fault, zone)) add(zone, fault.title, fault.happenings);
    }
    // Pairs that have no member in common.
    struct Pair {
        int zone;
        std::size_t a, b;
    };
    std::vector<Pair> pairs;
    std::mt19937_64 rng(suite.worlds.seed);
    const auto zones = fleet.zones_with_caches();
    std::vector<std::vector<std::size_t>> faults_of_zone(zones.size());  // the faults that matter to each
    for (std::size_t s = 0; s < zones.size(); ++s)
        for (std::size_t i = 0; i < faults.size(); ++i)
            if (matters(faults[i], zones[s])) faults_of_zone[s].push_back(i);
    const int wanted = suite.worlds.most_pairs;
    for (int tries = 0; static_cast<int>(pairs.size()) < wanted && tries < 20 * wanted; ++tries) {
        const std::size_t s = rng() % zones.size();
        const auto& mine = faults_of_zone[s];
        const std::size_t a = mine[rng() % mine.size()], b = mine[rng() % mine.size()];
        const bool common = std::any_of(faults[a].members.begin(), faults[a].members.end(),
                                        [&](int member) { return faults[b].members.contains(member); });
        if (!common) pairs.push_back({zones[s], a, b});
    }
    for (const Pair& pair : pairs) {
        std::vector<FaultEvent> both = faults[pair.a].happenings;
        both.insert(both.end(), faults[pair.b].happenings.begin(), faults[pair.b].happenings.end());
        add(pair.zone, faults[pair.a].title + " and " + faults[pair.b].title, std::move(both));
    }
    if (worlds.size() > static_cast<std::size_t>(suite.worlds.most)) worlds.resize(suite.worlds.most);
    return worlds;
}

std::vector<SimulatedRequest> traffic_of(const Scenario& world, const FleetModel& fleet,
                                         const Traffic& traffic) {
    std::mt19937_64 rng(world.seed);
    // Library distributions differ from one library to the next; these draws do not.
    const auto unit = [&] { return (static_cast<double>(rng() >> 11) + 0.5) / 9007199254740992.0; };
    const auto pick = [&](const std::vector<double>& sums) {
        const double drawn = unit() * sums.back();
        return static_cast<int>(std::lower_bound(sums.begin(), sums.end(), drawn) - sums.begin());
    };
    std::vector<double> classes, objects;
    double total = 0;
    for (const double part : traffic.mix) classes.push_back(total += part);
    total = 0;
    for (int i = 1; i <= traffic.objects; ++i) objects.push_back(total += std::pow(i, -traffic.zipf));
    std::vector<SimulatedRequest> asks;
    double at = 0;
    for (int number = 1;; ++number) {
        at += -std::log(unit()) / traffic.per_s;
        if (at >= traffic.seconds) return asks;
        SimulatedRequest ask;
        ask.at = static_cast<Micros>(at * 1e6);
        ask.number = number;
        ask.class_index = pick(classes);
        ask.object = pick(objects);
        // Sizes vary widely, and a part keeps its size.
        const auto size =
            mixed(static_cast<std::uint64_t>(ask.object) * 31 + static_cast<std::uint64_t>(ask.class_index));
        ask.size_kb =
            traffic.size_kb[ask.class_index] * (0.25 + 1.5 * static_cast<double>(size % 1000) / 1000);
        if (fleet.site.settings.classes[ask.class_index].uncacheable) ask.object = number;  // each its own
        asks.push_back(ask);
    }
}

}  // namespace sumackeel::expectations
