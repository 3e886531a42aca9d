// A loss of power to the whole fleet on the virtual clock: all routers and copies are gone for 5 s, the boxes
// come back cold at once, the routers in an order by chance within 30 s, a third of them never, discovery 5 s
// after the power. Played with the ladder and the budget of src/recovery and without, with fleets of several
// sizes. One line a run: the most fills that the origin was asked for in a second over what it can do, the
// longest queue there in seconds, the most that a parent got within the rule's window over what breaks it at
// that age, requests refused and lost of all asked in 90 s, and the seconds until half, 90% and 99% of the
// earlier answers in time are back, the megabytes fetched from the origin anew, and how often it fell.
// Usage: power_loss [SVG [ASKS_PER_S [START_WITHIN_S [BUDGET [ORIGIN_FILLS_PER_S [HUB_BUDGET [BEARS_S]]]]]]]:
// a chart of answers in time over time for the fleet of 300; an origin that falls where its queue is longer
// than BEARS_S, for 5 s and with all that it was at (0: never). Build with -DSUMACKEEL_BENCH=ON.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>

#include "emulator/fleet_emulator.h"
#include "recovery/fill_budget.h"
#include "recovery/recovery_phases.h"

using namespace sumackeel::emulator;
namespace recovery = sumackeel::recovery;

namespace {

constexpr Micros kStep = 100 * kMillisecond;
constexpr int kSeconds = 90;
double kOriginFills = 400, kBudget = 200, kHubs = 1'500, kAsks = 1'000, kOver = 30, kBears = 0;

// The ladders of all routers, which ask each other over no wire at all.
struct Ladders {
    FleetEmulator& fleet;
    std::mt19937_64 chance{7};
    std::vector<recovery::RecoveryPhases> ladders;
    std::vector<recovery::FillBudget> budgets;
    std::vector<std::size_t> up;

    Ladders(FleetEmulator& f, std::size_t routers) : fleet(f) {
        for (std::size_t i = 0; i < routers; ++i) {
            ladders.emplace_back(recovery::PhaseOptions{}, fleet.now());
            budgets.emplace_back(kBudget, kHubs, std::vector<double>{1}, i);
        }
    }
    void start(std::size_t i) {
        ladders[i] = recovery::RecoveryPhases(recovery::PhaseOptions{}, fleet.now());
        ladders[i].on_state_read(fleet.now(), ladders.size());
        up.push_back(i);
    }
    void step(bool listed) {
        for (const std::size_t i : up) {
            recovery::RecoveryPhases& own = ladders[i];
            own.on_member_count(fleet.now(), up.size());
            if (listed) own.on_endpoints_confirmed(fleet.now());
            for (int asked = 0; asked < 3 && own.phase() < recovery::Phase::priming; ++asked) {
                const std::size_t other = up[chance() % up.size()];
                if (other == i) continue;
                own.on_report(fleet.now(),
                              {std::to_string(other), ladders[other].phase(),
                               ladders[other].serving_fleet(up.size()), ladders[other].purges_confirmed()});
            }
            own.tick(fleet.now());
        }
    }
    bool admits(std::size_t i, const std::string& object) {
        recovery::RecoveryPhases& own = ladders[i];
        if (own.phase() == recovery::Phase::serving) return true;
        const Micros primed = own.phase() == recovery::Phase::priming ? fleet.now() - own.since() : -1;
        const double back = static_cast<double>(up.size()),
                     missing = static_cast<double>(ladders.size()) - back;
        const double share = back + missing * std::clamp(2 - static_cast<double>(primed) / 15e6, 0.0, 1.0);
        const auto away = budgets[i].admit(
            fleet.now(), {.key = std::hash<std::string>{}(object), .priority_weight = 1, .size_kb = 200},
            share, primed, own.deadline() - fleet.now());
        if (away) own.on_rejected(fleet.now());
        return !away;
    }
};

std::vector<double> play(int routers, bool with, bool print) {
    FleetOptions options;
    options.routers = routers;
    options.origin_fills_per_s = kOriginFills;
    options.requests_per_s = kAsks;
    options.origin_max_wait = static_cast<Micros>(kBears * 1e6);
    FleetEmulator fleet(options);
    fleet.run_for(15 * kSecond);
    fleet.totals = {};
    fleet.run_for(5 * kSecond);
    const double before = fleet.totals.in_time / 5.0;
    Ladders all(fleet, static_cast<std::size_t>(routers));
    if (with) {
        fleet.is_ready = [&](std::size_t i) { return all.ladders[i].ready(); };
        fleet.on_served = [&](std::size_t i, const std::string& object,
                              sumackeel::routing::CacheStatus note) {
            using sumackeel::routing::CacheStatus;
            all.budgets[i].on_request_finished(std::hash<std::string>{}(object),
                                               note == CacheStatus::filled_by_origin
                                                   ? recovery::FillSource::origin
                                               : note == CacheStatus::filled ? recovery::FillSource::hub
                                                                             : recovery::FillSource::none);
        };
        fleet.admit = [&](std::size_t i, const std::string& object) { return all.admits(i, object); };
    }
    fleet.power_off();
    fleet.run_for(5 * kSecond);
    fleet.power_on();
    const Micros back = fleet.now();
    std::vector<std::size_t> order(static_cast<std::size_t>(routers));
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), std::mt19937_64(options.seed));
    const std::size_t returning = (2 * order.size() + 2) / 3;
    fleet.totals = {};
    std::vector<double> in_time;  // of each second
    double most_parent = 0, half = -1, most = -1, nearly = -1;
    std::size_t started = 0;
    for (int second = 0; second < kSeconds; ++second) {
        const int until = fleet.totals.in_time;
        for (Micros in = 0; in < kSecond; in += kStep) {
            while (started < returning && fleet.now() - back >= static_cast<Micros>(kOver) * kSecond *
                                                                    static_cast<Micros>(started) /
                                                                    static_cast<Micros>(returning)) {
                fleet.start_router(order[started]);
                all.start(order[started++]);
            }
            if (with) all.step(fleet.now() - back >= 5 * kSecond);
            fleet.run_for(kStep);
        }
        in_time.push_back((fleet.totals.in_time - until) / before);
        const double have = in_time.back(), at = second + 1;
        if (half < 0 && have >= 0.5) half = at;
        if (most < 0 && have >= 0.9) most = at;
        if (nearly < 0 && have >= 0.99) nearly = at;
    }
    const Micros window = fleet.settings().overload_window;
    for (int i = 0; i < options.parents; ++i) {
        const std::string parent = "p" + std::to_string(i);
        // Against what it can bear at that moment: a cold one grows.
        const auto& work = fleet.totals.work_sent[parent];
        double sum = 0;
        auto tail = work.begin();
        for (const auto& [when, one] : work) {
            for (sum += one; tail->first <= when - window; ++tail) sum -= tail->second;
            const Micros age = std::max(window, when - back);
            most_parent = std::max(most_parent, sum / fleet.overload_work(parent, age));
        }
    }
    std::size_t fills = 0, tail = 0;
    const auto& at = fleet.totals.origin_fills;
    for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[i] - at[tail] > kSecond) ++tail;
        fills = std::max(fills, i - tail + 1);
    }
    if (print)
        std::printf("%7d %-8s %8.2f %8.2f %8.2f %8.1f%% %7.1f%% %6.0f %6.0f %6.0f %8.0f %5d\n", routers,
                    with ? "with" : "without", static_cast<double>(fills) / kOriginFills,
                    fleet.totals.max_origin_queue / kOriginFills, most_parent,
                    100.0 * fleet.totals.rejected / fleet.totals.requested,
                    100.0 * fleet.totals.unhandled / fleet.totals.requested, half, most, nearly,
                    static_cast<double>(at.size()) * options.object_kb / 1'000, fleet.totals.origin_crashes);
    return in_time;
}

// Two lines over time, as a picture.
void draw(const char* path, const std::vector<double>& without, const std::vector<double>& with) {
    constexpr double kWide = 7, kHigh = 200;
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"260\" "
           "font-family=\"sans-serif\" "
           "font-size=\"11\"><text x=\"40\" y=\"16\">answers in time, of those before the loss; grey "
           "without, black with "
           "recovery; seconds after the power</text>\n";
    const auto line = [&](const std::vector<double>& values, const char* colour) {
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (std::size_t i = 0; i < values.size(); ++i)
            out << 40 + kWide * static_cast<double>(i) << ',' << 30 + kHigh * (1 - std::min(1.1, values[i]))
                << ' ';
        out << "\"/>\n";
    };
    line(without, "#999"), line(with, "#000");
    for (int second = 0; second <= kSeconds; second += 15)
        out << "<text x=\"" << 40 + kWide * second << "\" y=\"248\">" << second << "</text>\n";
    out << "<text x=\"4\" y=\"34\">1</text><text x=\"4\" y=\"234\">0</text></svg>\n";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc > 2) kAsks = std::atof(argv[2]);
    if (argc > 3) kOver = std::atof(argv[3]);
    if (argc > 4) kBudget = std::atof(argv[4]);
    if (argc > 5) kOriginFills = std::atof(argv[5]);
    if (argc > 6) kHubs = std::atof(argv[6]);
    if (argc > 7) kBears = std::atof(argv[7]);
    std::printf("%7s %-8s %8s %8s %8s %9s %8s %6s %6s %6s %8s %5s\n", "routers", "recovery", "origin",
                "queue s", "parent", "refused", "lost", "50%", "90%", "99%", "MB", "fell");
    for (const int routers : {15, 100, 300, 1'000})
        for (const bool with : {false, true}) {
            const auto in_time = play(routers, with, true);
            if (argc > 1 && routers == 300 && with) draw(argv[1], play(routers, false, false), in_time);
        }
}
