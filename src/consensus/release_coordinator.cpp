#include "consensus/release_coordinator.h"

#include <json/json.h>

#include <algorithm>

#include "base/json_line.h"
#include "base/log.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::Release;

namespace {

constexpr const char* kReportVerb = "report";
// Between two looks and reports; stretched where proxies are many, so that the leader hears 200 a second.
constexpr Micros kEvery = 500'000, kEach = 5'000, kLongest = 4'000'000;

Micros steady() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

Json::Value listed(const std::vector<std::string>& names) {
    Json::Value list(Json::arrayValue);
    for (const std::string& name : names) list.append(name);
    return list;
}

Json::Value shown(const Release& release) {
    Json::Value one;
    one["number"] = Json::UInt64{release.number}, one["name"] = release.plan.name;
    one["what"] = release.plan.subject, one["from"] = release.plan.from, one["to"] = release.plan.to;
    one["stage"] = name_of(release.stage), one["reason"] = release.reason, one["by"] = release.by;
    if (release.stage == rollout::ReleaseStage::halted) one["held"] = name_of(release.halted_stage);
    one["wave"] = Json::UInt64{release.wave + 1}, one["waves"] = Json::UInt64{release.plan.waves.size()};
    one["since"] = static_cast<double>(release.since) / 1e6;
    one["without"] = listed(release.skipped_members);
    return one;
}

Json::Value shown(const rollout::MetricsSum& sum) {
    Json::Value one;
    one["members"] = Json::UInt64{sum.members}, one["requests"] = Json::UInt64{sum.requests};
    one["in_time"] = Json::UInt64{sum.in_time}, one["refused"] = Json::UInt64{sum.rejected};
    one["failed"] = Json::UInt64{sum.failed};
    one["own_us"] = Json::UInt64{sum.dispatched ? sum.dispatch_time_us / sum.dispatched : 0};
    return one;
}

}  // namespace

ReleaseCoordinator::ReleaseCoordinator(net::Loop& loop, ClusterTransport& peers, ConsensusClient& agreed,
                                       std::function<rollout::MemberMetrics()> tally,
                                       std::function<bool()> serving)
    : loop_(loop), peers_(peers), agreed_(agreed), tally_(std::move(tally)), serving_(std::move(serving)) {
    peers_.on_call(kReportVerb, [this](const std::string& from, const std::string&, const std::string& body,
                                       const ClusterTransport::Respond& say) {
        try {
            const rollout::MemberReport report = rollout::decode_member_report(body);
            if (report.member == from && agreed_.is_leader()) watch_.on_report(report, steady());
        } catch (const std::exception& wrong) {
            log::warn("release: a report of {}: {}", from, wrong.what());
        }
        say({});
    });
    changed();
}

ReleaseCoordinator::~ReleaseCoordinator() {
    peers_.remove_call_handler(kReportVerb);
    if (next_) loop_.timers().cancel(*next_);
}

void ReleaseCoordinator::changed() {
    for (const auto& [key, lease] : agreed_.state().leases())
        if (key.first == rollout::MemberKind::proxy) watch_.on_lease(lease.member, lease.start);
    arm();
}

void ReleaseCoordinator::arm() {
    const Release* release = agreed_.state().releases().active();
    if (next_ || !release || release->stage == rollout::ReleaseStage::halted) return;
    const Micros every =
        std::clamp(kEach * static_cast<Micros>(peers_.membership().member_count()), kEvery, kLongest);
    next_ = loop_.timers().schedule(loop_.clock().now() + every, [this] {
        next_.reset();
        turn();
        arm();
    });
}

// Looks where this one leads, else reports to the one that does.
void ReleaseCoordinator::turn() {
    const Release* release = agreed_.state().releases().active();
    if (!release || release->stage == rollout::ReleaseStage::halted) return;
    const cluster::MemberRecord& self = peers_.membership().self();
    const rollout::MemberReport report{self.name, self.software_version, self.incarnation.start, tally_()};
    const std::weak_ptr<bool> alive = alive_;
    if (!agreed_.is_leader()) {
        const std::string leader = agreed_.leader();
        if (!leader.empty() && leader != self.name)
            peers_.call(leader, kReportVerb, rollout::encode(report), kEvery, [](const auto&) {});
        return;
    }
    watch_.on_report(report, steady());
    if (proposing_) return;
    const auto step = watch_.next_step(*release, members(), steady());
    if (!step) return;
    log::info("release {}: {} ({})", release->plan.name, name_of(step->to), step->reason);
    proposing_ = true;
    agreed_.submit_release_step(*step, [this, alive](const auto&) {
        if (!alive.expired()) proposing_ = false;
    });
}

std::vector<rollout::MemberStatus> ReleaseCoordinator::members() const {
    const auto leased = [this](const std::string& name) {
        return agreed_.state().find(rollout::MemberKind::proxy, name) != nullptr;
    };
    const cluster::MemberRecord& self = peers_.membership().self();
    const bool out = leased(self.name);
    std::vector<rollout::MemberStatus> all{
        {self.name, self.software_version, self.incarnation.start, true, false, out, !out && serving_()}};
    for (const cluster::MemberView& seen : peers_.membership().members()) {
        const rollout::RunningVersion runs = agreed_.running_version_of(seen.record);
        // One that gave its turn back by a later start is there, though the group has not heard of that
        // start.
        const bool fresher = runs.start > seen.record.incarnation.start;
        const bool lost =
            !fresher && (seen.state == cluster::State::dead || seen.state == cluster::State::left);
        const bool there =
            fresher || seen.state == cluster::State::alive || seen.state == cluster::State::suspect;
        const bool by_lease = leased(seen.record.name);
        all.push_back(
            {seen.record.name, runs.version, runs.start, there, lost, by_lease, there && !by_lease});
    }
    return all;
}

std::string ReleaseCoordinator::as_json() const {
    const rollout::Releases& all = agreed_.state().releases();
    Json::Value root;
    root["leader"] = agreed_.leader(), root["known"] = agreed_.is_known();
    root["past"] = Json::Value(Json::arrayValue);
    for (const Release& release : all.past()) root["past"].append(shown(release));
    if (const Release* release = all.active()) {
        Json::Value& active = root["active"] = shown(*release);
        active["members"] = Json::Value(Json::arrayValue);
        const auto now = members();
        std::size_t place = 0, wave = 0;
        for (const std::string& name : release->plan.members) {
            while (place >= release->plan.members_through(wave)) ++wave;
            ++place;
            const auto found =
                std::find_if(now.begin(), now.end(), [&](const auto& one) { return one.name == name; });
            Json::Value one;
            one["name"] = name, one["wave"] = Json::UInt64{wave + 1};
            const rollout::Lease* lease = agreed_.state().find(rollout::MemberKind::proxy, name);
            if (lease) one["lease"] = Json::UInt64{lease->number};
            one["runs"] = found == now.end() ? "" : found->version;
            one["state"] = found == now.end() || found->gone ? "lost"
                           : lease                           ? "out"
                           : found->serving                  ? "serving"
                                                             : "not ready";
            active["members"].append(one);
        }
        if (agreed_.is_leader() && release->stage == rollout::ReleaseStage::soaking) {
            active["changed"] = shown(watch_.changed());
            active["others"] = shown(watch_.others());
        }
    }
    return base::to_json_line(root);
}

}  // namespace sumackeel::consensus
