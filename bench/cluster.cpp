// Membership at size on a virtual clock: Lifeguard with several suspectors against plain SWIM, with the same
// faults and seeds. Usage: cluster_bench detect|false|merge|cost MEMBERS [RUNS or SECONDS]. Prints rows of
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

// Protocols that are compared.
enum class Protocol { lifeguard, plain_swim };
constexpr Protocol kProtocols[] = {Protocol::lifeguard, Protocol::plain_swim};

const char* name_of(Protocol protocol) {
    return protocol == Protocol::lifeguard ? "group" : "plain SWIM";
}

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) return -1;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(values.size() - 1, rank)];
}

double to_seconds(Micros span) {
    return static_cast<double>(span) / kSecond;
}

VirtualNetworkOptions network_options(int members, Protocol protocol, double loss, std::uint64_t seed) {
    VirtualNetworkOptions options{
        .members = members, .membership = {}, .seed = seed, .loss = loss, .delay = 2'000, .jitter = 4'000};
    options.membership.lifeguard = protocol == Protocol::lifeguard;
    return options;
}

// Times from kills to the first and to the last member that held the victim dead, in seconds.
struct Detections {
    std::vector<double> first;
    std::vector<double> last;
    int incomplete = 0;  // kills that some member did not detect in time
};

bool all_hold_dead(VirtualNetwork& net, const std::string& name) {
    for (int i = 0; i < net.size(); ++i)
        if (net.running(i) && net.at(i).state_of(name) != MemberState::dead) return false;
    return true;
}

void kill_and_detect(VirtualNetwork& net, int victim, Detections& detections) {
    constexpr int kMaxSeconds = 180;
    const std::string name = VirtualNetwork::name_of(victim);
    const Micros killed_at = net.now();
    Micros first_at = 0;
    Micros last_at = 0;
    net.on_change = [&](int, const MemberChange& change) {
        if (change.member != name || change.to != MemberState::dead) return;
        if (first_at == 0) first_at = net.now();
        last_at = net.now();
    };
    net.kill(victim);
    for (int second = 0; second < kMaxSeconds && !all_hold_dead(net, name); ++second)
        net.run_until(net.now() + kSecond);
    if (first_at) detections.first.push_back(to_seconds(first_at - killed_at));
    if (all_hold_dead(net, name))
        detections.last.push_back(to_seconds(last_at - killed_at));
    else
        ++detections.incomplete;
    net.start(victim);
    net.run_until(net.now() + 30 * kSecond);
    net.on_change = nullptr;
}

// Several kills in each network, one after another.
void detect(int members, int runs) {
    for (const Protocol protocol : kProtocols)
        for (const double loss : {0.0, 0.1, 0.3}) {
            VirtualNetwork net(network_options(members, protocol, loss, 11));
            net.run_until(20 * kSecond);
            Detections detections;
            for (int run = 0; run < runs; ++run) kill_and_detect(net, 1 + run % (members - 1), detections);
            std::printf("| %d | %s | %.0f%% | %.1f / %.1f | %.1f / %.1f | %d of %d |\n", members,
                        name_of(protocol), loss * 100, quantile(detections.first, 0.5),
                        quantile(detections.first, 0.99), quantile(detections.last, 0.5),
                        quantile(detections.last, 0.99), detections.incomplete, runs);
            std::fflush(stdout);
        }
}

enum class Pauses { none, tenth };

// Runs for `seconds`; in each ten, a tenth of the members in turn is paused for two where `pauses` says so.
void run_with_pauses(VirtualNetwork& net, int seconds, Pauses pauses) {
    const int paused_at_once = pauses == Pauses::tenth ? std::max(1, net.size() / 10) : 0;
    int next = 0;
    for (int at = 0; at < seconds; at += 10) {
        std::vector<int> paused;
        for (int i = 0; i < paused_at_once; ++i) paused.push_back(next++ % net.size());
        for (const int member : paused) net.pause(member);
        net.run_until((at + 2) * kSecond);
        for (const int member : paused) net.resume(member);
        net.run_until((at + 10) * kSecond);
    }
}

// Deaths of running members, per hour of the whole cluster.
void false_deaths(int members, int seconds) {
    for (const Pauses pauses : {Pauses::none, Pauses::tenth})
        for (const double loss : {0.0, 0.1, 0.3})
            for (const Protocol protocol : kProtocols) {
                if (pauses == Pauses::tenth && loss > 0) continue;
                VirtualNetwork net(network_options(members, protocol, loss, 5));
                long deaths = 0;
                net.on_change = [&](int, const MemberChange& change) {
                    if (change.to == MemberState::dead) ++deaths;
                };
                run_with_pauses(net, seconds, pauses);
                std::printf("| %d | %s | %.0f%% | %s | %ld in %d s | %.1f |\n", members, name_of(protocol),
                            loss * 100, pauses == Pauses::tenth ? "a tenth, 2 s each 10 s" : "none", deaths,
                            seconds, static_cast<double>(deaths) * 3600 / seconds);
                std::fflush(stdout);
            }
}

// Seconds from the end of a partition until no member is held dead, and until all are seen alive.
struct MergeTimes {
    double none_dead = 0;
    double all_alive = 0;
};

MergeTimes merge_halves(VirtualNetwork& net) {
    constexpr double kMaxSeconds = 300;
    const int members = net.size();
    for (int a = 0; a < members / 2; ++a)
        for (int b = members / 2; b < members; ++b) {
            net.cut(a, b);
            net.cut(b, a);
        }
    net.run_until(net.now() + 60 * kSecond);
    net.heal();
    const Micros healed_at = net.now();
    MergeTimes times{.none_dead = -1};
    while (to_seconds(net.now() - healed_at) < kMaxSeconds && !net.converged()) {
        net.run_until(net.now() + kSecond / 2);
        if (times.none_dead < 0 && net.converged(VirtualNetwork::Accepted::alive_or_suspect))
            times.none_dead = to_seconds(net.now() - healed_at);
    }
    if (times.none_dead < 0) times.none_dead = kMaxSeconds;
    times.all_alive = to_seconds(net.now() - healed_at);
    return times;
}

// Two halves that are apart for a minute.
void merge(int members, int runs) {
    for (const Protocol protocol : kProtocols) {
        std::vector<double> none_dead;
        std::vector<double> all_alive;
        for (int run = 0; run < runs; ++run) {
            VirtualNetwork net(network_options(members, protocol, 0, 100 + static_cast<std::uint64_t>(run)));
            net.run_until(20 * kSecond);
            const MergeTimes times = merge_halves(net);
            none_dead.push_back(times.none_dead);
            all_alive.push_back(times.all_alive);
        }
        std::printf("| %d | %s | %.1f / %.1f | %.1f / %.1f |\n", members, name_of(protocol),
                    quantile(none_dead, 0.5), quantile(none_dead, 0.99), quantile(all_alive, 0.5),
                    quantile(all_alive, 0.99));
        std::fflush(stdout);
    }
}

std::uint64_t total_bytes(const VirtualNetwork& net) {
    std::uint64_t total = 0;
    for (int i = 0; i < net.size(); ++i) total += net.bytes_sent(i);
    return total;
}

// Bytes and processor time a member and second without faults, once the gossip of the start has ended.
void cost(int members, int seconds) {
    for (const Protocol protocol : kProtocols)
        for (const double loss : {0.0, 0.1}) {
            VirtualNetwork net(network_options(members, protocol, loss, 3));
            const int warm_up = 60 + members / 2;
            net.run_until(warm_up * kSecond);
            const std::uint64_t bytes_before = total_bytes(net);
            const clock_t began = clock();
            net.run_until((warm_up + seconds) * kSecond);
            const double cpu_seconds = static_cast<double>(clock() - began) / CLOCKS_PER_SEC;
            std::printf("| %d | %s | %.0f%% | %.0f | %.0f |\n", members, name_of(protocol), loss * 100,
                        static_cast<double>(total_bytes(net) - bytes_before) / seconds / members,
                        cpu_seconds * 1e6 / seconds / members);
            std::fflush(stdout);
        }
}

}  // namespace

int main(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    const int members = argc > 2 ? std::atoi(argv[2]) : 40;
    const int amount = argc > 3 ? std::atoi(argv[3]) : 20;
    if (members < 3 || amount < 1) return 2;
    if (command == "detect")
        detect(members, amount);
    else if (command == "false")
        false_deaths(members, amount);
    else if (command == "merge")
        merge(members, amount);
    else if (command == "cost")
        cost(members, amount);
    else {
        std::fprintf(stderr, "group_bench detect|false|merge|cost MEMBERS [RUNS or SECONDS]\n");
        return 2;
    }
    return 0;
}
