#include "consensus/release_coordinator.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "consensus/release_status.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::Release;

namespace {

constexpr const char* kReportVerb = "report";
// The interval between two reports of a member. It grows with the number of members, so that the leader
// receives at most 200 reports per second.
constexpr Micros kMinTickInterval = 500'000, kTickIntervalPerMember = 5'000, kMaxTickInterval = 4'000'000;

Micros steady_now() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

}  // namespace

ReleaseCoordinator::ReleaseCoordinator(net::Loop& loop, ClusterTransport& transport, ConsensusClient& client,
                                       std::function<rollout::MemberMetrics()> metrics,
                                       std::function<bool()> is_serving)
    : loop_(loop),
      transport_(transport),
      client_(client),
      metrics_(std::move(metrics)),
      is_serving_(std::move(is_serving)) {
    transport_.on_call(kReportVerb,
                       [this](const std::string& from, const std::string&, const std::string& body,
                              const ClusterTransport::Respond& respond) {
                           on_report(from, body);
                           respond({});
                       });
    changed();
}

ReleaseCoordinator::~ReleaseCoordinator() {
    transport_.remove_call_handler(kReportVerb);
    if (tick_timer_) loop_.timers().cancel(*tick_timer_);
}

const Release* ReleaseCoordinator::running_release() const {
    const Release* release = client_.state().releases().active();
    return release && release->stage != rollout::ReleaseStage::halted ? release : nullptr;
}

void ReleaseCoordinator::on_report(const std::string& from, const std::string& body) {
    try {
        const rollout::MemberReport report = rollout::decode_member_report(body);
        if (report.member == from && client_.is_leader()) watch_.on_report(report, steady_now());
    } catch (const std::exception& error) {
        log::warn("release: report rejected member={} reason={}", from, error.what());
    }
}

void ReleaseCoordinator::changed() {
    for (const auto& [key, lease] : client_.state().leases())
        if (key.first == rollout::MemberKind::proxy) watch_.on_lease(lease.member, lease.start);
    schedule_tick();
}

void ReleaseCoordinator::schedule_tick() {
    if (tick_timer_ || !running_release()) return;
    const Micros interval =
        std::clamp(kTickIntervalPerMember * static_cast<Micros>(transport_.membership().member_count()),
                   kMinTickInterval, kMaxTickInterval);
    tick_timer_ = loop_.timers().schedule(loop_.clock().now() + interval, [this] {
        tick_timer_.reset();
        tick();
        schedule_tick();
    });
}

void ReleaseCoordinator::tick() {
    const Release* release = running_release();
    if (!release) return;
    const cluster::MemberRecord& self = transport_.membership().self();
    const rollout::MemberReport report{self.name, self.software_version, self.incarnation.start, metrics_()};
    if (!client_.is_leader()) return report_to_leader(report);
    watch_.on_report(report, steady_now());
    if (!proposing_) propose_next_step(*release);
}

void ReleaseCoordinator::report_to_leader(const rollout::MemberReport& report) {
    const std::string leader = client_.leader();
    if (leader.empty() || leader == report.member) return;
    transport_.call(leader, kReportVerb, rollout::encode(report), kMinTickInterval, [](const auto&) {});
}

void ReleaseCoordinator::propose_next_step(const Release& release) {
    const auto step = watch_.next_step(release, members(), steady_now());
    if (!step) return;
    log::info("release: step proposed release={} stage={} reason={}", release.plan.name, name_of(step->to),
              step->reason);
    proposing_ = true;
    const std::weak_ptr<bool> alive = alive_;
    client_.submit_release_step(*step, [this, alive](const auto&) {
        if (!alive.expired()) proposing_ = false;
    });
}

bool ReleaseCoordinator::has_lease(const std::string& member) const {
    return client_.state().find(rollout::MemberKind::proxy, member) != nullptr;
}

rollout::MemberStatus ReleaseCoordinator::own_status() const {
    const cluster::MemberRecord& self = transport_.membership().self();
    const bool leased = has_lease(self.name);
    return {self.name, self.software_version,   self.incarnation.start, true, false,
            leased,    !leased && is_serving_()};
}

rollout::MemberStatus ReleaseCoordinator::status_of(const cluster::MemberView& member) const {
    const rollout::RunningVersion running = client_.running_version_of(member.record);
    // A member that returned its upgrade lease after a restart is alive, even if its member record with the
    // new start has not arrived yet.
    const bool restarted = running.start > member.record.incarnation.start;
    const bool gone =
        !restarted && (member.state == cluster::State::dead || member.state == cluster::State::left);
    const bool present =
        restarted || member.state == cluster::State::alive || member.state == cluster::State::suspect;
    const bool leased = has_lease(member.record.name);
    return {member.record.name, running.version, running.start, present, gone, leased, present && !leased};
}

std::vector<rollout::MemberStatus> ReleaseCoordinator::members() const {
    std::vector<rollout::MemberStatus> all{own_status()};
    for (const cluster::MemberView& member : transport_.membership().members())
        all.push_back(status_of(member));
    return all;
}

std::string ReleaseCoordinator::as_json() const {
    return release_status_json({.state = client_.state(),
                                .leader = client_.leader(),
                                .known = client_.is_known(),
                                .watch = client_.is_leader() ? &watch_ : nullptr,
                                .members = members()});
}

}  // namespace sumackeel::consensus
