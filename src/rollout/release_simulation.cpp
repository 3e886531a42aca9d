#include "rollout/release_simulation.h"

#include <algorithm>
#include <random>

namespace sumackeel::rollout {

namespace {

constexpr Micros kLook = 500'000;  // as the leader looks

struct Player {
    FleetMember seen;
    RunningVersion runs;
    MemberMetrics tally;
    Micros back_at = 0, waits_since = -1;  // back_at: its change is done; 0: none under way
    bool dead = false;
};

class Play {
  public:
    explicit Play(const SimulationPlan& given) : given_(given), chance_(given.seed) {
        for (const FleetMember& seen : given.fleet)
            players_[seen.name] = {seen, {1, given.plan.from}, {}, 0, -1, seen.unavailable};
        ReleaseCommand order{.action = ReleaseAction::start,
                             .requested_by = "rehearsal",
                             .now = 0,
                             .plan = given.plan,
                             .live_members = {}};
        for (const auto& [name, player] : players_)
            if (!player.dead) order.live_members.push_back(name);
        if (const CommandResult answer = state_.apply(order); answer.outcome != Outcome::granted)
            done_.reason = answer.reason;
    }

    SimulationResult play() {
        while (state_.releases().active() && now_ < given_.longest) {
            now_ += kLook;
            for (auto& [name, player] : players_) live(name, player);
            if (changed_ || (given_.budget.min_interval_in_zone > 0 && now_ - asked_ >= base::kSecond)) ask();
            look();
            measure();
            if (const Release* release = state_.releases().active();
                release && release->stage == ReleaseStage::halted)
                break;
        }
        const Release* release = state_.releases().active();
        if (!release && !state_.releases().past().empty()) release = &state_.releases().past().back();
        if (release) done_.stage = release->stage, done_.reason = release->reason;
        done_.took = now_;
        done_.met = all_ > 0 ? new_ / all_ : 0;
        for (const auto& [name, player] : players_)
            done_.changed += player.runs.version == given_.plan.to ? 1 : 0;
        return done_;
    }

  private:
    bool serves(const std::string& name, const Player& player) const {
        return !player.dead && !state_.find(MemberKind::proxy, name);
    }

    void live(const std::string& name, Player& player) {
        const auto death = given_.dies.find(name);
        if (death != given_.dies.end() && now_ >= death->second && !player.dead)
            player.dead = changed_ = true;
        if (player.dead) return;
        if (player.back_at > 0 && now_ >= player.back_at) {
            player.back_at = 0;
            player.runs = {player.runs.start + 1, wanted_};
            player.tally = {};
            state_.apply(LeaseReturn{MemberKind::proxy, name, name, now_, player.runs});
            changed_ = true;
        }
        if (!serves(name, player)) return;
        const double requests = given_.requests_per_s * static_cast<double>(kLook) / 1e6;
        const bool fresh = player.runs.version == given_.plan.to;
        all_ += requests, new_ += fresh ? requests : 0;
        const auto bad = given_.fails.find(name);
        std::binomial_distribution<std::uint64_t> fails(
            static_cast<std::uint64_t>(requests), fresh && bad != given_.fails.end() ? bad->second : 0.0);
        const std::uint64_t failed = fails(chance_);
        player.tally.failed += failed;
        player.tally.served += static_cast<std::uint64_t>(requests) - failed;
        player.tally.latency_histogram[2] += static_cast<std::uint64_t>(requests) - failed;
        player.tally.memory_kb = 1;
        watch_.on_report({name, player.runs.version, player.runs.start, player.tally}, now_);
    }

    std::vector<FleetMember> world() const {
        std::vector<FleetMember> all;
        for (const auto& [name, player] : players_) {
            all.push_back(player.seen);
            all.back().unavailable = player.dead;
            all.back().unavailable_reason = player.dead ? "dead" : "";
        }
        return all;
    }

    // All whose turn it may be ask, in order, until the fleet as a whole allows no more.
    void ask() {
        changed_ = false, asked_ = now_;
        const Release* release = state_.releases().active();
        if (!release || !release->grants_leases()) return;
        wanted_ = release->target_version();
        LeaseRequest ask{.kind = MemberKind::proxy,
                         .member = {},
                         .requested_by = "rehearsal",
                         .forced = false,
                         .now = now_,
                         .budget = given_.budget,
                         .fleet = world(),
                         .release = release->number,
                         .running = {}};
        const std::size_t upto = release->stage == ReleaseStage::rolling_back
                                     ? given_.plan.members.size()
                                     : given_.plan.members_through(release->wave);
        int out = 0;
        for (const auto& [name, player] : players_) out += serves(name, player) ? 0 : 1;
        for (std::size_t i = 0; i < upto; ++i) {
            Player& player = players_.at(given_.plan.members[i]);
            if (player.dead || player.back_at > 0 || player.runs.version == wanted_) continue;
            if (player.waits_since < 0) player.waits_since = now_;
            if (out >= given_.budget.max_unavailable) continue;
            ask.member = given_.plan.members[i], ask.running = player.runs;
            if (state_.apply(ask).outcome != Outcome::granted) continue;
            ++out;
            player.back_at = now_ + given_.change;
            watch_.on_lease(ask.member, player.runs.start);
            const Micros waited = now_ - std::exchange(player.waits_since, -1);
            if (waited > done_.longest_wait) done_.longest_wait = waited, done_.waited = ask.member;
        }
    }

    void look() {
        const Release* release = state_.releases().active();
        if (!release) return;
        std::vector<MemberStatus> all;
        for (const auto& [name, player] : players_) {
            const bool leased = state_.find(MemberKind::proxy, name) != nullptr;
            all.push_back({name, player.runs.version, player.runs.start, !player.dead, player.dead, leased,
                           !player.dead && !leased});
        }
        if (auto step = watch_.next_step(*release, all, now_)) {
            step->now = now_;
            changed_ = state_.apply(*step).outcome == Outcome::granted || changed_;
        }
    }

    void measure() {
        std::map<std::string, std::pair<double, double>> schools;  // weight, weight out
        std::size_t out = 0;
        for (const auto& [name, player] : players_) {
            auto& [weight, gone] = schools[player.seen.zone];
            weight += player.seen.weight;
            if (serves(name, player)) continue;
            gone += player.seen.weight, ++out;
        }
        done_.most_out = std::max(done_.most_out, out);
        for (const auto& [school, weights] : schools) {
            const double share = weights.first > 0 ? weights.second / weights.first : 0;
            if (share > done_.worst_share)
                done_.worst_share = share, done_.worst_school = school, done_.worst_at = now_;
        }
    }

    const SimulationPlan& given_;
    std::mt19937_64 chance_;
    State state_;
    ReleaseWatch watch_;
    std::map<std::string, Player> players_;
    std::string wanted_;
    Micros now_ = 0, asked_ = 0;
    bool changed_ = true;
    double all_ = 0, new_ = 0;
    SimulationResult done_;
};

}  // namespace

SimulationResult simulate_release(const SimulationPlan& plan) {
    return Play(plan).play();
}

}  // namespace sumackeel::rollout
