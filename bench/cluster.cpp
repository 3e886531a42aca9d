// Membership at size on a virtual clock: Lifeguard's parts and voices against plain SWIM, the same faults and
// seeds. Usage: group_bench detect|false|merge|cost MEMBERS [SECONDS] [RUNS]. Prints rows of
// docs/bench/group.md.
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "cluster/virtual_network.h"

using namespace sumackeel::cluster;

namespace {

constexpr Micros kSecond = 1'000'000;

double quantile(std::vector<double> all, double share) {
    if (all.empty()) return -1;
    std::sort(all.begin(), all.end());
    return all[std::min(all.size() - 1, static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}

VirtualNetworkOptions net_options(int members, bool lifeguard, double loss, std::uint64_t seed) {
    VirtualNetworkOptions options{
        .members = members, .membership = {}, .seed = seed, .loss = loss, .delay = 2'000, .jitter = 4'000};
    options.membership.lifeguard = lifeguard;
    return options;
}

const char* name_of(bool lifeguard) {
    return lifeguard ? "group" : "plain SWIM";
}

// From a kill to the first and to the last who knows; several kills in each net, one after another.
void detect(int members, int runs) {
    for (const bool lifeguard : {true, false})
        for (const double loss : {0.0, 0.1, 0.3}) {
            VirtualNetwork net(net_options(members, lifeguard, loss, 11));
            net.run_until(20 * kSecond);
            std::vector<double> first, last;
            int unknown = 0;
            for (int run = 0; run < runs; ++run) {
                const int victim = 1 + run % (members - 1);
                const std::string name = VirtualNetwork::name_of(victim);
                const Micros killed = net.now();
                Micros first_at = 0, last_at = 0;
                net.on_change = [&](int, const MemberChange& change) {
                    if (change.member != name || change.to != State::dead) return;
                    if (first_at == 0) first_at = net.now();
                    last_at = net.now();
                };
                net.kill(victim);
                const auto all_know = [&] {
                    for (int i = 0; i < members; ++i)
                        if (net.running(i) && net.at(i).state_of(name) != State::dead) return false;
                    return true;
                };
                for (int s = 0; s < 180 && !all_know(); ++s) net.run_until(net.now() + kSecond);
                if (first_at) first.push_back(static_cast<double>(first_at - killed) / kSecond);
                if (all_know())
                    last.push_back(static_cast<double>(last_at - killed) / kSecond);
                else
                    ++unknown;
                net.start(victim);
                net.run_until(net.now() + 30 * kSecond);
            }
            std::printf("| %d | %s | %.0f%% | %.1f / %.1f | %.1f / %.1f | %d of %d |\n", members,
                        name_of(lifeguard), loss * 100, quantile(first, 0.5), quantile(first, 0.99),
                        quantile(last, 0.5), quantile(last, 0.99), unknown, runs);
            std::fflush(stdout);
        }
}

// Deaths of members that run, per hour of the whole group; with a tenth paused for 2 s each 10 s in turn.
void false_deaths(int members, int seconds) {
    for (const bool paused : {false, true})
        for (const double loss : {0.0, 0.1, 0.3})
            for (const bool lifeguard : {true, false}) {
                if (paused && loss > 0) continue;
                VirtualNetwork net(net_options(members, lifeguard, loss, 5));
                long deaths = 0;
                net.on_change = [&](int, const MemberChange& change) { deaths += change.to == State::dead; };
                int next = 0;
                for (int at = 0; at < seconds; at += 10) {
                    std::vector<int> some;
                    for (int i = 0; paused && i < std::max(1, members / 10); ++i)
                        some.push_back(next++ % members);
                    for (const int one : some) net.pause(one);
                    net.run_until((at + 2) * kSecond);
                    for (const int one : some) net.pause(one, false);
                    net.run_until((at + 10) * kSecond);
                }
                std::printf("| %d | %s | %.0f%% | %s | %ld in %d s | %.1f |\n", members, name_of(lifeguard),
                            loss * 100, paused ? "a tenth, 2 s each 10 s" : "none", deaths, seconds,
                            static_cast<double>(deaths) * 3600 / seconds);
                std::fflush(stdout);
            }
}

// Halves for 60 s; then the time until all see all alive again, or, at the latest, nobody is dead.
void merge(int members, int runs) {
    for (const bool lifeguard : {true, false}) {
        std::vector<double> none_dead, all_alive;
        for (int run = 0; run < runs; ++run) {
            VirtualNetwork net(net_options(members, lifeguard, 0, 100 + static_cast<std::uint64_t>(run)));
            net.run_until(20 * kSecond);
            for (int a = 0; a < members / 2; ++a)
                for (int b = members / 2; b < members; ++b) net.cut(a, b), net.cut(b, a);
            net.run_until(80 * kSecond);
            net.heal();
            const Micros healed = net.now();
            double dead_gone = -1;
            while (net.now() - healed < 300 * kSecond && !net.agreed()) {
                net.run_until(net.now() + kSecond / 2);
                if (dead_gone < 0 && net.agreed(true))
                    dead_gone = static_cast<double>(net.now() - healed) / kSecond;
            }
            none_dead.push_back(dead_gone < 0 ? 300 : dead_gone);
            all_alive.push_back(static_cast<double>(net.now() - healed) / kSecond);
        }
        std::printf("| %d | %s | %.1f / %.1f | %.1f / %.1f |\n", members, name_of(lifeguard),
                    quantile(none_dead, 0.5), quantile(none_dead, 0.99), quantile(all_alive, 0.5),
                    quantile(all_alive, 0.99));
        std::fflush(stdout);
    }
}

// Bytes and processor time a member and second, in the calm: once all that was new at the start has been
// told.
void cost(int members, int seconds) {
    for (const bool lifeguard : {true, false})
        for (const double loss : {0.0, 0.1}) {
            VirtualNetwork net(net_options(members, lifeguard, loss, 3));
            const int warm = 60 + members / 2;
            net.run_until(warm * kSecond);
            std::uint64_t before = 0, after = 0;
            for (int i = 0; i < members; ++i) before += net.bytes(i);
            const clock_t began = clock();
            net.run_until((warm + seconds) * kSecond);
            const double cpu = static_cast<double>(clock() - began) / CLOCKS_PER_SEC;
            for (int i = 0; i < members; ++i) after += net.bytes(i);
            std::printf("| %d | %s | %.0f%% | %.0f | %.0f |\n", members, name_of(lifeguard), loss * 100,
                        static_cast<double>(after - before) / seconds / members,
                        cpu * 1e6 / seconds / members);
            std::fflush(stdout);
        }
}

}  // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    const int members = argc > 2 ? std::atoi(argv[2]) : 40;
    const int amount = argc > 3 ? std::atoi(argv[3]) : 20;
    if (members < 3 || amount < 1) return 2;
    if (what == "detect")
        detect(members, amount);
    else if (what == "false")
        false_deaths(members, amount);
    else if (what == "merge")
        merge(members, amount);
    else if (what == "cost")
        cost(members, amount);
    else
        return std::fprintf(stderr, "group_bench detect|false|merge|cost MEMBERS [RUNS or SECONDS]\n"), 2;
    return 0;
}
