#include "peers/releases.h"

#include <json/json.h>

#include <algorithm>

#include "base/json_line.h"
#include "base/log.h"

namespace sumackeel::peers {

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
    one["what"] = release.plan.what, one["from"] = release.plan.from, one["to"] = release.plan.to;
    one["stage"] = name_of(release.stage), one["reason"] = release.reason, one["by"] = release.by;
    if (release.stage == rollout::Stage::halted) one["held"] = name_of(release.held);
    one["wave"] = Json::UInt64{release.wave + 1}, one["waves"] = Json::UInt64{release.plan.waves.size()};
    one["since"] = static_cast<double>(release.since) / 1e6;
    one["without"] = listed(release.without);
    return one;
}

Json::Value shown(const rollout::Sum& sum) {
    Json::Value one;
    one["members"] = Json::UInt64{sum.members}, one["requests"] = Json::UInt64{sum.requests};
    one["in_time"] = Json::UInt64{sum.in_time}, one["refused"] = Json::UInt64{sum.refused};
    one["failed"] = Json::UInt64{sum.failed};
    one["own_us"] = Json::UInt64{sum.sent ? sum.own_us / sum.sent : 0};
    return one;
}

}  // namespace

Releases::Releases(net::Loop& loop, Peers& peers, Agreed& agreed, std::function<rollout::Tally()> tally,
                   std::function<bool()> serving)
    : loop_(loop), peers_(peers), agreed_(agreed), tally_(std::move(tally)), serving_(std::move(serving)) {
    peers_.on_call(kReportVerb, [this](const std::string& from, const std::string&, const std::string& body,
                                       const Peers::Say& say) {
        try {
            const rollout::Report report = rollout::report_in(body);
            if (report.member == from && agreed_.leads()) watch_.heard(report, steady());
        } catch (const std::exception& wrong) {
            log::warn("release: a report of {}: {}", from, wrong.what());
        }
        say({});
    });
    changed();
}

Releases::~Releases() {
    peers_.no_calls(kReportVerb);
    if (next_) loop_.deadlines().drop(*next_);
}

void Releases::changed() {
    for (const auto& [key, lease] : agreed_.state().leases())
        if (key.first == rollout::Kind::proxy) watch_.leased(lease.member, lease.start);
    arm();
}

void Releases::arm() {
    const Release* release = agreed_.state().releases().active();
    if (next_ || !release || release->stage == rollout::Stage::halted) return;
    const Micros every = std::clamp(kEach * static_cast<Micros>(peers_.group().size()), kEvery, kLongest);
    next_ = loop_.deadlines().set(loop_.clock().now() + every, [this] {
        next_.reset();
        turn();
        arm();
    });
}

// Looks where this one leads, else reports to the one that does.
void Releases::turn() {
    const Release* release = agreed_.state().releases().active();
    if (!release || release->stage == rollout::Stage::halted) return;
    const group::Word& self = peers_.group().self();
    const rollout::Report report{self.name, self.version, self.stamp.start, tally_()};
    const std::weak_ptr<bool> alive = alive_;
    if (!agreed_.leads()) {
        const std::string leader = agreed_.leader();
        if (!leader.empty() && leader != self.name)
            peers_.call(leader, kReportVerb, rollout::encode(report), kEvery, [](const auto&) {});
        return;
    }
    watch_.heard(report, steady());
    if (proposing_) return;
    const auto step = watch_.look(*release, members(), steady());
    if (!step) return;
    log::info("release {}: {} ({})", release->plan.name, name_of(step->to), step->reason);
    proposing_ = true;
    agreed_.step(*step, [this, alive](const auto&) {
        if (!alive.expired()) proposing_ = false;
    });
}

std::vector<rollout::MemberNow> Releases::members() const {
    const auto leased = [this](const std::string& name) {
        return agreed_.state().find(rollout::Kind::proxy, name) != nullptr;
    };
    const group::Word& self = peers_.group().self();
    const bool out = leased(self.name);
    std::vector<rollout::MemberNow> all{
        {self.name, self.version, self.stamp.start, true, false, out, !out && serving_()}};
    for (const group::Seen& seen : peers_.group().seen()) {
        const rollout::Runs runs = agreed_.runs_of(seen.word);
        // One that gave its turn back by a later start is there, though the group has not heard of that
        // start.
        const bool fresher = runs.start > seen.word.stamp.start;
        const bool lost = !fresher && (seen.state == group::State::dead || seen.state == group::State::left);
        const bool there =
            fresher || seen.state == group::State::alive || seen.state == group::State::suspect;
        const bool by_lease = leased(seen.word.name);
        all.push_back({seen.word.name, runs.version, runs.start, there, lost, by_lease, there && !by_lease});
    }
    return all;
}

std::string Releases::as_json() const {
    const rollout::Releases& all = agreed_.state().releases();
    Json::Value root;
    root["leader"] = agreed_.leader(), root["known"] = agreed_.known();
    root["past"] = Json::Value(Json::arrayValue);
    for (const Release& release : all.past()) root["past"].append(shown(release));
    if (const Release* release = all.active()) {
        Json::Value& active = root["active"] = shown(*release);
        active["members"] = Json::Value(Json::arrayValue);
        const auto now = members();
        std::size_t place = 0, wave = 0;
        for (const std::string& name : release->plan.members) {
            while (place >= release->plan.upto(wave)) ++wave;
            ++place;
            const auto found =
                std::find_if(now.begin(), now.end(), [&](const auto& one) { return one.name == name; });
            Json::Value one;
            one["name"] = name, one["wave"] = Json::UInt64{wave + 1};
            const rollout::Lease* lease = agreed_.state().find(rollout::Kind::proxy, name);
            if (lease) one["lease"] = Json::UInt64{lease->number};
            one["runs"] = found == now.end() ? "" : found->version;
            one["state"] = found == now.end() || found->lost ? "lost"
                           : lease                           ? "out"
                           : found->serving                  ? "serving"
                                                             : "not ready";
            active["members"].append(one);
        }
        if (agreed_.leads() && release->stage == rollout::Stage::soaking) {
            active["changed"] = shown(watch_.changed());
            active["others"] = shown(watch_.others());
        }
    }
    return base::json_line(root);
}

}  // namespace sumackeel::peers
