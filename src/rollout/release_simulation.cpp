#include "rollout/release_simulation.h"

#include <algorithm>
#include <random>
#include <utility>

#include "rollout/release_watch.h"

namespace sumackeel::rollout {

namespace {

constexpr Micros kTick = 500'000;                     // the leader's evaluation interval
constexpr Micros kRetryInterval = 1 * base::kSecond;  // of rejected requests, if there is a minimum interval
constexpr std::size_t kSimulatedLatencyBucket = 2;    // responses of up to 4 ms
constexpr const char* kRequester = "rehearsal";

struct SimulatedMember {
    FleetMember member;
    RunningVersion running;
    MemberMetrics metrics;
    std::optional<Micros> changed_at;     // when its current change completes
    std::optional<Micros> waiting_since;  // for an upgrade lease
    bool dead = false;
};

class Simulation {
  public:
    explicit Simulation(const SimulationPlan& plan) : plan_(plan), random_(plan.seed) {
        for (const FleetMember& member : plan.fleet)
            members_[member.name] = {.member = member,
                                     .running = {1, plan.plan.from},
                                     .metrics = {},
                                     .changed_at = {},
                                     .waiting_since = {},
                                     .dead = member.unavailable};
        start_release();
    }

    SimulationResult run() {
        while (state_.releases().active() && now_ < plan_.longest) {
            now_ += kTick;
            for (auto& [name, member] : members_) advance(name, member);
            const bool has_min_interval = plan_.budget.min_interval_in_zone > 0;
            if (state_changed_ || (has_min_interval && now_ - last_requests_ >= kRetryInterval))
                request_leases();
            propose_step();
            measure_disruption();
            const Release* release = state_.releases().active();
            if (release && release->stage == ReleaseStage::halted) break;
        }
        return finish();
    }

  private:
    void start_release() {
        ReleaseCommand command{.action = ReleaseAction::start,
                               .requested_by = kRequester,
                               .now = 0,
                               .plan = plan_.plan,
                               .live_members = {}};
        for (const auto& [name, member] : members_)
            if (!member.dead) command.live_members.push_back(name);
        const CommandResult result = state_.apply(command);
        if (result.outcome != Outcome::granted) result_.reason = result.reason;
    }

    SimulationResult finish() {
        const Release* release = state_.releases().active();
        if (!release && !state_.releases().past().empty()) release = &state_.releases().past().back();
        if (release) {
            result_.stage = release->stage;
            result_.reason = release->reason;
        }
        result_.took = now_;
        result_.met = requests_ > 0 ? requests_to_new_version_ / requests_ : 0;
        for (const auto& [name, member] : members_)
            if (runs_new_version(member)) ++result_.changed;
        return result_;
    }

    bool is_serving(const std::string& name, const SimulatedMember& member) const {
        return !member.dead && !state_.find(MemberKind::proxy, name);
    }
    bool runs_new_version(const SimulatedMember& member) const {
        return member.running.version == plan_.plan.to;
    }

    void advance(const std::string& name, SimulatedMember& member) {
        const auto death = plan_.dies.find(name);
        if (death != plan_.dies.end() && now_ >= death->second && !member.dead) {
            member.dead = true;
            state_changed_ = true;
        }
        if (member.dead) return;
        if (member.changed_at && now_ >= *member.changed_at) complete_change(name, member);
        if (is_serving(name, member)) serve_requests(name, member);
    }

    void complete_change(const std::string& name, SimulatedMember& member) {
        member.changed_at.reset();
        member.running = {member.running.start + 1, target_version_};
        member.metrics = {};
        state_.apply(LeaseReturn{.kind = MemberKind::proxy,
                                 .member = name,
                                 .requested_by = name,
                                 .now = now_,
                                 .running = member.running});
        state_changed_ = true;
    }

    void serve_requests(const std::string& name, SimulatedMember& member) {
        const double requests = plan_.requests_per_s * static_cast<double>(kTick) / 1e6;
        const bool is_new = runs_new_version(member);
        requests_ += requests;
        if (is_new) requests_to_new_version_ += requests;
        const auto fault = plan_.fails.find(name);
        const double failure_share = is_new && fault != plan_.fails.end() ? fault->second : 0.0;
        const auto whole_requests = static_cast<std::uint64_t>(requests);
        std::binomial_distribution<std::uint64_t> failures(whole_requests, failure_share);
        const std::uint64_t failed = failures(random_);
        const std::uint64_t served = whole_requests - failed;
        member.metrics.failed += failed;
        member.metrics.served += served;
        member.metrics.latency_histogram[kSimulatedLatencyBucket] += served;
        member.metrics.memory_kb = 1;
        watch_.on_report({name, member.running.version, member.running.start, member.metrics}, now_);
    }

    std::vector<FleetMember> current_fleet() const {
        std::vector<FleetMember> fleet;
        for (const auto& [name, member] : members_) {
            FleetMember& entry = fleet.emplace_back(member.member);
            entry.unavailable = member.dead;
            entry.unavailable_reason = member.dead ? "dead" : "";
        }
        return fleet;
    }

    int count_out() const {
        return static_cast<int>(std::count_if(members_.begin(), members_.end(), [this](const auto& entry) {
            return !is_serving(entry.first, entry.second);
        }));
    }

    // All members that are due request their leases in plan order, until the budget for the whole fleet is
    // exhausted.
    void request_leases() {
        state_changed_ = false;
        last_requests_ = now_;
        const Release* release = state_.releases().active();
        if (!release || !release->grants_leases()) return;
        target_version_ = release->target_version();
        LeaseRequest request{.kind = MemberKind::proxy,
                             .member = {},
                             .requested_by = kRequester,
                             .forced = false,
                             .now = now_,
                             .budget = plan_.budget,
                             .fleet = current_fleet(),
                             .release = release->number,
                             .running = {}};
        const std::size_t due = release->stage == ReleaseStage::rolling_back
                                    ? plan_.plan.members.size()
                                    : plan_.plan.members_through(release->wave);
        int out = count_out();
        for (std::size_t i = 0; i < due; ++i) {
            SimulatedMember& member = members_.at(plan_.plan.members[i]);
            if (member.dead || member.changed_at || member.running.version == target_version_) continue;
            if (!member.waiting_since) member.waiting_since = now_;
            if (out >= plan_.budget.max_unavailable) continue;
            request.member = plan_.plan.members[i];
            request.running = member.running;
            if (state_.apply(request).outcome != Outcome::granted) continue;
            ++out;
            on_lease_granted(request.member, member);
        }
    }

    void on_lease_granted(const std::string& name, SimulatedMember& member) {
        member.changed_at = now_ + plan_.change;
        watch_.on_lease(name, member.running.start);
        const Micros waited = now_ - *member.waiting_since;
        member.waiting_since.reset();
        if (waited <= result_.longest_wait) return;
        result_.longest_wait = waited;
        result_.waited = name;
    }

    void propose_step() {
        const Release* release = state_.releases().active();
        if (!release) return;
        std::vector<MemberStatus> statuses;
        for (const auto& [name, member] : members_) {
            const bool leased = state_.find(MemberKind::proxy, name) != nullptr;
            statuses.push_back({.name = name,
                                .version = member.running.version,
                                .start = member.running.start,
                                .alive = !member.dead,
                                .gone = member.dead,
                                .leased = leased,
                                .serving = !member.dead && !leased});
        }
        std::optional<ReleaseStep> step = watch_.next_step(*release, statuses, now_);
        if (!step) return;
        step->now = now_;
        if (state_.apply(*step).outcome == Outcome::granted) state_changed_ = true;
    }

    void measure_disruption() {
        struct ZoneWeight {
            double total = 0;
            double out = 0;
        };
        std::map<std::string, ZoneWeight> zones;
        for (const auto& [name, member] : members_) {
            ZoneWeight& zone = zones[member.member.zone];
            zone.total += member.member.weight;
            if (!is_serving(name, member)) zone.out += member.member.weight;
        }
        result_.most_out = std::max(result_.most_out, static_cast<std::size_t>(count_out()));
        for (const auto& [zone, weight] : zones) {
            const double share = weight.total > 0 ? weight.out / weight.total : 0;
            if (share <= result_.worst_share) continue;
            result_.worst_share = share;
            result_.worst_zone = zone;
            result_.worst_at = now_;
        }
    }

    const SimulationPlan& plan_;
    std::mt19937_64 random_;
    State state_;
    ReleaseWatch watch_;
    std::map<std::string, SimulatedMember> members_;
    std::string target_version_;
    Micros now_ = 0;
    Micros last_requests_ = 0;
    bool state_changed_ = true;
    double requests_ = 0;
    double requests_to_new_version_ = 0;
    SimulationResult result_;
};

}  // namespace

SimulationResult simulate_release(const SimulationPlan& plan) {
    return Simulation(plan).run();
}

}  // namespace sumackeel::rollout
