#include "recovery_coordinator/recovery_coordinator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/run_with_timeout.h"
#include "base/system_error.h"

namespace sumackeel::recovery_coordinator {

using base::Micros;
using recovery::Phase;

namespace {

constexpr Micros kTickInterval = 50'000, kServingTickInterval = 500'000;
constexpr Micros kMembersInterval = 10'000'000;     // minimum interval between writes of the member names
constexpr Micros kMinServingDuration = 30'000'000;  // in `serving`, before the members are persisted
constexpr Micros kMinCopyAge = 1'000;
constexpr std::size_t kMaxOperatorCommands = 32;
constexpr std::uint64_t kBudgetSeedMask = 0x7c15f39cc0605ceeULL;  // differs from other modules' masks

Micros steady_now() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

}  // namespace

RecoveryCoordinator::RecoveryCoordinator(net::Loop& loop, ClusterTransport& transport,
                                         const config::Recovery& setup, bool wait_for_leader,
                                         std::vector<double> priority_weights, Micros purge_completes_within,
                                         std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      transport_(transport),
      setup_(setup),
      purge_completes_within_(purge_completes_within),
      hooks_(std::move(hooks)),
      directory_(std::make_shared<StateDirectory>(setup.folder)),
      writer_(loop, "recovery",
              [directory = directory_](const std::string& encoded) { return directory->write(encoded); }),
      phases_({.query_timeout = setup.ask,
               .settle_timeout = setup.settle,
               .prime_timeout = setup.prime,
               .pause_threshold = setup.pause,
               .wait_for_leader = wait_for_leader},
              steady_now()),
      budget_(setup.fills_per_s, setup.region_fills_per_s, std::move(priority_weights),
              seed ^ kBudgetSeedMask),
      poller_(transport,
              [this](const std::string& from, const RecoveryReply& reply) { on_reply(from, reply); }),
      unconfirmed_since_(steady_now()) {
    load();
    phases_.on_state_read(steady_now(), persisted_.members.size());
    transport_.on_call(kRecoveryVerb,
                       [this](const std::string&, const std::string&, const std::string&,
                              const ClusterTransport::Respond& respond) { respond(encode(reply())); });
    log::info("recovery: started phase={} members={} bans={} draining={}", name_of(phases_.phase()),
              phases_.members_before(), persisted_.bans.size(), persisted_.draining);
    tick();
}

RecoveryCoordinator::~RecoveryCoordinator() {
    transport_.remove_call_handler(kRecoveryVerb);
    if (tick_timer_) loop_.timers().cancel(*tick_timer_);
}

// --- Persisted state ---

void RecoveryCoordinator::load() {
    auto loaded = base::run_with_timeout(base::kDirectoryResponseTimeout,
                                         [directory = directory_] { return directory->load(); });
    if (!loaded) loaded = LoadedState{{}, {directory_->path() + ": the folder does not answer"}};
    for (const std::string& file : loaded->rejected_files)
        log::error("recovery: state rejected reason={}; recent bans and drains may be missing", file);
    persisted_ = std::move(loaded->state);
    rejected_files_ = std::move(loaded->rejected_files);
}

void RecoveryCoordinator::write() {
    writer_.store(recovery::encode(persisted_));
}

void RecoveryCoordinator::persist(const std::set<std::string>& bans, const std::set<std::string>& leased,
                                  bool draining) {
    const bool unchanged =
        bans == persisted_.bans && leased == persisted_.leased && draining == persisted_.draining;
    if (unchanged) return;
    persisted_.bans = bans;
    persisted_.leased = leased;
    persisted_.draining = draining;
    write();
}

// The member list is updated only after the cluster has served for a while, so that a second power loss
// during recovery still counts the members from before the first one.
void RecoveryCoordinator::persist_members(Micros now) {
    if (phases_.phase() != Phase::serving || now - phases_.since() < kMinServingDuration ||
        now - members_persisted_at_ < kMembersInterval)
        return;
    members_persisted_at_ = now;
    std::set<std::string> members{transport_.membership().self().name};
    for (const cluster::MemberView& member : transport_.membership().members())
        if (member.state != cluster::State::left && members.size() < recovery::kMaxNames)
            members.insert(member.record.name);
    if (members == persisted_.members) return;
    persisted_.members = std::move(members);
    write();
}

// --- Phases ---

void RecoveryCoordinator::on_phase_change(Phase before) {
    if (phases_.phase() == before) return;
    log::info("recovery: phase changed from={} to={} reason={}", name_of(before), name_of(phases_.phase()),
              phases_.reason());
    if (before == Phase::serving) unconfirmed_since_ = steady_now();  // this process was paused
    persisted_.phase = phases_.phase();
    write();
    hooks_.entered(before);
}

void RecoveryCoordinator::tick() {
    const Phase before = phases_.phase();
    const Micros now = steady_now();
    phases_.tick(now);
    phases_.on_member_count(now, transport_.membership().reachable_count());
    on_phase_change(before);
    if (phases_.phase() >= Phase::querying &&
        (phases_.phase() < Phase::priming || !phases_.purges_confirmed()))
        poller_.poll(steady_now());
    persist_members(now);
    const Micros interval = phases_.phase() == Phase::serving ? kServingTickInterval : kTickInterval;
    tick_timer_ = loop_.timers().schedule(loop_.clock().now() + interval, [this] { tick(); });
}

void RecoveryCoordinator::on_endpoints_confirmed() {
    const Phase before = phases_.phase();
    phases_.on_endpoints_confirmed(steady_now());
    on_phase_change(before);
}

void RecoveryCoordinator::on_leader_known(bool known) {
    const Phase before = phases_.phase();
    phases_.on_leader_known(steady_now(), known);
    on_phase_change(before);
}

void RecoveryCoordinator::advance_to(Phase phase, const std::string& by) {
    const Phase before = phases_.phase();
    log::warn("recovery: phase set by operator to={} by={}", name_of(phase), by);
    if (operator_commands_.size() >= kMaxOperatorCommands)
        operator_commands_.erase(operator_commands_.begin());
    operator_commands_.push_back(fmt::format("{} to {} by {}", name_of(before), name_of(phase), by));
    phases_.advance_to(steady_now(), phase, by);
    on_phase_change(before);
}

// --- Other members ---

void RecoveryCoordinator::on_reply(const std::string& from, const RecoveryReply& reply) {
    hooks_.learn(reply.purges);  // must come before the report that may set purges_confirmed
    learn_leases(reply.leased);
    const Phase before = phases_.phase();
    phases_.on_report(steady_now(), {from, reply.phase, reply.serving_fleet, reply.purges_confirmed});
    on_phase_change(before);
}

void RecoveryCoordinator::learn_leases(const std::set<std::string>& leased) {
    const std::size_t before = learned_leases_.size();
    for (const std::string& id : leased)
        if (learned_leases_.size() < recovery::kMaxNames) learned_leases_.insert(id);
    if (learned_leases_.size() > before) hooks_.leases_learned();
}

RecoveryReply RecoveryCoordinator::reply() const {
    RecoveryReply reply;
    reply.purges = hooks_.purges();
    reply.leased = hooks_.leased();
    const bool has_all = reply.purges.size() <= kMaxPurges;
    if (!has_all) reply.purges.resize(kMaxPurges);
    reply.phase = phases_.phase();
    reply.serving_fleet = phases_.serving_fleet(transport_.membership().reachable_count());
    reply.purges_confirmed =
        has_all && phases_.phase() == Phase::serving && phases_.purges_confirmed() && hooks_.sure();
    reply.members_back = phases_.members_back();
    reply.members_before = phases_.members_before();
    return reply;
}

// --- Admission ---

// Previous members that are still missing count in full during the first quarter of priming and decrease to
// zero at half of it: members that return later find warm caches.
double RecoveryCoordinator::budget_proxies(Micros primed_for) const {
    const double back = static_cast<double>(std::max(phases_.members_back(), hooks_.proxies()));
    const double missing = std::max(0.0, static_cast<double>(phases_.members_before()) - back);
    const double primed =
        static_cast<double>(primed_for) / static_cast<double>(std::max<Micros>(1, setup_.prime));
    return back + missing * std::clamp(2 - 4 * primed, 0.0, 1.0);
}

std::optional<Micros> RecoveryCoordinator::admit(const recovery::RequestCost& cost) {
    if (phases_.phase() == Phase::serving) return std::nullopt;
    const Micros now = steady_now();
    // A process that was only paused uses the initial rate of the budget until it serves again.
    const bool only_paused = !is_priming() && phases_.ready();
    const Micros primed_for = is_priming() ? now - phases_.since() : only_paused ? 0 : -1;
    recovery::RequestCost charged = cost;
    charged.ignore_size_limit = only_paused;
    const auto retry_after =
        budget_.admit(now, charged, budget_proxies(primed_for), primed_for, phases_.deadline() - now);
    if (retry_after) phases_.on_rejected(now);
    return retry_after;
}

// A serving member reports purges by age. Service discovery dates them by its own clock, which may be an hour
// off after a power loss, so its purges alone are not sufficient until caches have dropped older copies
// (purge_completes_within_).
Micros RecoveryCoordinator::max_copy_age() const {
    const Micros unconfirmed_for = steady_now() - unconfirmed_since_;
    const bool all_purges_known = phases_.purges_confirmed() && (phases_.found_serving_fleet() ||
                                                                 unconfirmed_for >= purge_completes_within_);
    return all_purges_known ? 0 : std::max<Micros>(kMinCopyAge, unconfirmed_for);
}

}  // namespace sumackeel::recovery_coordinator
