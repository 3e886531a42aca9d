#include "recovery_coordinator/recovery_coordinator.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <stdexcept>

#include "base/files.h"
#include "base/json_line.h"
#include "base/log.h"
#include "base/msgpack.h"
#include "base/run_with_timeout.h"
#include "base/system_error.h"

namespace sumackeel::recovery_coordinator {

using base::Micros;
using recovery::Phase;

namespace {

constexpr const char* kVerb = "recovery";
constexpr const char* kLock = "kept.lock";  // the saved list, in the same folder, has its own
constexpr int kAnswerVersion = 1;
constexpr Micros kTick = 50'000, kTickServing = 500'000;
constexpr Micros kAskEvery = 200'000, kAnswerWithin = 1'000'000;
constexpr std::size_t kAskAtOnce = 8;
constexpr Micros kMembersEvery = 10'000'000;  // names of members go to disk this often at most,
constexpr Micros kServedFor = 30'000'000;     // and only once the fleet has served this long
constexpr std::size_t kMostPurges = 20'000;   // in one answer
constexpr double kRises = 3;                  // the budget is whole after a third of priming
constexpr std::size_t kMostHands = 32;

}  // namespace

Micros RecoveryCoordinator::steady() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

RecoveryCoordinator::RecoveryCoordinator(net::Loop& loop, ClusterTransport& peers,
                                         const config::Recovery& setup, bool elects,
                                         std::vector<double> worths, Micros cleared_within,
                                         std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      peers_(peers),
      setup_(setup),
      cleared_within_(cleared_within),
      hooks_(std::move(hooks)),
      folder_(std::make_shared<Folder>(setup.folder)),
      writes_(loop, "recovery",
              [folder = folder_](const std::string& packed) { return folder->put(packed); }),
      phases_({.ask = setup.ask,
               .settle = setup.settle,
               .prime = setup.prime,
               .pause = setup.pause,
               .elects = elects},
              steady()),
      budget_(setup.fills_per_s, setup.hub_fills_per_s, std::move(worths), seed ^ 0x7c15f39cc0605ceeULL),
      unsure_since_(steady()) {
    read();
    phases_.on_state_read(steady(), persisted_.members.size());
    peers_.on_call(kVerb, [this](const std::string&, const std::string&, const std::string&,
                                 const ClusterTransport::Respond& say) { say(answer()); });
    log::info("recovery: {}, {} members were there, {} bans and {} kept", name_of(phases_.phase()),
              phases_.members_before(), persisted_.bans.size(), persisted_.draining ? "a drain" : "no drain");
    tick();
}

RecoveryCoordinator::~RecoveryCoordinator() {
    peers_.remove_call_handler(kVerb);
    if (next_tick_) loop_.timers().cancel(*next_tick_);
}

void RecoveryCoordinator::read() {
    auto found = base::run_with_timeout(base::kDirectoryResponseTimeout,
                                        [folder = folder_] { return folder->read(); });
    if (!found) found = Found{{}, {folder_->path + ": the folder does not answer"}};
    for (const std::string& one : found->aside)
        log::error("recovery: passed over, {}: bans and drains of the last moments may be missing", one);
    persisted_ = std::move(found->kept);
    aside_ = std::move(found->aside);
}

// The newest generation that is whole. A damaged one is named and set aside, never passed over without a
// word.
RecoveryCoordinator::Found RecoveryCoordinator::Folder::read() {
    const std::scoped_lock held(in_use);
    Found found;
    std::string text, fault;
    for (const std::uint64_t one : files.generations()) {
        generation = std::max(generation, one);
        base::ReadStatus reading{};
        base::retry_directory_at_startup([&] {
            reading = base::read_regular_file(files.path_of(one), recovery::kMaxStateBytes, text, fault);
            return reading == base::ReadStatus::unreadable ? fault : std::string{};
        });
        if (reading == base::ReadStatus::ok) fault = recovery::decode(text, found.kept);
        if (fault.empty()) {
            good = one;
            return found;
        }
        found.aside.push_back(files.path_of(one) + ": " + fault);
        if (reading != base::ReadStatus::unreadable) files.quarantine(one);
        fault.clear();
    }
    return found;
}

// Another process of this proxy writes until it ends; the lock is asked for anew each time.
std::string RecoveryCoordinator::Folder::put(const std::string& packed) {
    // Danger: before all generations are known a new one might be numbered below them.
    const std::unique_lock held(in_use, std::try_to_lock);
    if (!held) return "what was kept before is still being read";
    if (!lock || !lock->error().empty()) lock = std::make_unique<base::DirectoryLock>(path, kLock);
    std::string fault = lock->error();
    if (fault.empty()) fault = files.write(packed, generation + 1, good);
    if (fault.empty()) good = ++generation;
    return fault;
}

void RecoveryCoordinator::write() {
    writes_.store(recovery::encode(persisted_));
}

void RecoveryCoordinator::persist(const std::set<std::string>& bans, const std::set<std::string>& leased,
                                  bool drain) {
    const bool same = bans == persisted_.bans && leased == persisted_.leased && drain == persisted_.draining;
    persisted_.bans = bans, persisted_.leased = leased, persisted_.draining = drain;
    if (!same) write();
}

void RecoveryCoordinator::follow(Phase before) {
    if (phases_.phase() == before) return;
    log::info("recovery: {} (was {}): {}", name_of(phases_.phase()), name_of(before), phases_.reason());
    if (before == Phase::serving) unsure_since_ = steady();  // it was paused
    persisted_.phase = phases_.phase();
    write();
    hooks_.entered(before);
}

void RecoveryCoordinator::tick() {
    const Phase before = phases_.phase();
    const Micros now = steady();
    phases_.tick(now);
    phases_.on_member_count(now, peers_.membership().reachable_count());
    follow(before);
    if (phases_.phase() >= Phase::asking && (phases_.phase() < Phase::priming || !phases_.purges_confirmed()))
        ask();
    // Only a fleet that has served for a while says who belongs to it: during a second loss those from before
    // the first still count.
    if (phases_.phase() == Phase::serving && now - phases_.since() >= kServedFor &&
        now - members_kept_ >= kMembersEvery) {
        members_kept_ = now;
        std::set<std::string> members{peers_.membership().self().name};
        for (const cluster::MemberView& seen : peers_.membership().members())
            if (seen.state != cluster::State::left && members.size() < recovery::kMaxNames)
                members.insert(seen.record.name);
        if (members != persisted_.members) persisted_.members = std::move(members), write();
    }
    next_tick_ = loop_.timers().schedule(
        loop_.clock().now() + (phases_.phase() == Phase::serving ? kTickServing : kTick), [this] { tick(); });
}

// Some members at a time, one after another.
void RecoveryCoordinator::ask() {
    const Micros now = steady();
    if (now - asked_ < kAskEvery) return;
    std::vector<std::string> all;
    for (const cluster::MemberView& seen : peers_.membership().members())
        if (seen.state == cluster::State::alive || seen.state == cluster::State::suspect ||
            seen.state == cluster::State::joining)
            all.push_back(seen.record.name);
    if (all.empty()) return;
    asked_ = now;
    const std::weak_ptr<bool> alive = alive_;
    for (std::size_t i = 0; i < std::min(all.size(), kAskAtOnce); ++i) {
        const std::string& name = all[next_++ % all.size()];
        ++asks_;
        peers_.call(name, kVerb, {}, kAnswerWithin, [this, alive, name](std::optional<std::string> body) {
            if (!alive.expired() && body) heard(name, *body);
        });
    }
}

void RecoveryCoordinator::heard(const std::string& from, const std::string& body) try {
    const base::MsgpackDocument whole = base::parse_msgpack(body, kMostPurges, kMaxCallBytes);
    base::MsgpackReader at = whole.reader(7);
    if (at.next<int>() != kAnswerVersion) return;
    recovery::MemberReport heard;
    heard.from = from, heard.phase = at.enumeration(Phase::serving);
    heard.serving_fleet = at.next<bool>(), heard.purges_confirmed = at.next<bool>();
    at.next<std::uint64_t>(), at.next<std::uint64_t>();
    std::vector<RecentPurge> purges;
    for (base::MsgpackReader list = at.list(kMostPurges); list.remaining() > 0;) {
        base::MsgpackReader one = list.array(3);
        RecentPurge told;
        told.object = one.text(64), told.group = one.next<int>();
        told.age = std::max<Micros>(0, one.next<Micros>()) * 1'000;
        purges.push_back(std::move(told));
    }
    ++answers_;
    hooks_.learn(purges);  // before it is believed that all are known
    const Phase before = phases_.phase();
    phases_.on_report(steady(), heard);
    follow(before);
} catch (const std::exception& wrong) {
    log::warn("recovery: an answer of {}: {}", from, wrong.what());
}

std::string RecoveryCoordinator::answer() const {
    std::vector<RecentPurge> purges = hooks_.purges();
    const bool all = purges.size() <= kMostPurges;
    if (!all) purges.resize(kMostPurges);
    const bool sure = all && phases_.phase() == Phase::serving && phases_.purges_confirmed() && hooks_.sure();
    base::MsgpackWriter out;
    out.array(7).add(kAnswerVersion, static_cast<int>(phases_.phase()),
                     phases_.serving_fleet(peers_.membership().reachable_count()), sure,
                     phases_.members_back(), phases_.members_before());
    out.array(purges.size());
    for (const RecentPurge& told : purges) out.array(3).add(told.object, told.group, told.age / 1'000);
    return out.bytes();
}

void RecoveryCoordinator::on_endpoints_confirmed() {
    const Phase before = phases_.phase();
    phases_.on_endpoints_confirmed(steady());
    follow(before);
}

void RecoveryCoordinator::on_leader_known(bool leader) {
    const Phase before = phases_.phase();
    phases_.on_leader_known(steady(), leader);
    follow(before);
}

void RecoveryCoordinator::advance_to(Phase stage, const std::string& by) {
    const Phase before = phases_.phase();
    log::warn("recovery: {} by hand of {}", name_of(stage), by);
    if (hands_.size() >= kMostHands) hands_.erase(hands_.begin());
    hands_.push_back(fmt::format("{} to {} by {}", name_of(before), name_of(stage), by));
    phases_.advance_to(steady(), stage, by);
    follow(before);
}

std::optional<Micros> RecoveryCoordinator::admit(const recovery::RequestCost& asked) {
    const Phase stage = phases_.phase();
    if (stage == Phase::serving) return std::nullopt;
    const Micros now = steady();
    // While it clears up what it missed, one that was only paused goes on with the first part.
    const Micros primed_for = stage == Phase::priming ? now - phases_.since() : phases_.ready() ? 0 : -1;
    // Those that were there and are not back are reckoned with in full, then less and less: by then they come
    // to a fleet that is warm.
    const double back = static_cast<double>(std::max(phases_.members_back(), hooks_.proxies()));
    const double missing = std::max(0.0, static_cast<double>(phases_.members_before()) - back);
    const double waited =
        static_cast<double>(primed_for) / static_cast<double>(std::max<Micros>(1, setup_.prime));
    const double share = back + missing * std::clamp(2 - 4 * waited, 0.0, 1.0);
    recovery::RequestCost one = asked;
    one.any_size = stage != Phase::priming && phases_.ready();
    const auto away = budget_.admit(now, one, share, primed_for, phases_.deadline() - now);
    if (away) phases_.on_rejected(now);
    return away;
}

Micros RecoveryCoordinator::max_copy_age() const {
    const Micros since = steady() - unsure_since_;
    // A member that serves told its purges by their ages. Those of a change log are told by its clock, which
    // after a loss may be an hour from ours: until boxes have dropped what was purged before, they are not
    // relied on alone.
    const bool known =
        phases_.purges_confirmed() && (phases_.found_serving_fleet() || since >= cleared_within_);
    return known ? 0 : std::max<Micros>(1'000, since);
}

std::string RecoveryCoordinator::as_json() const {
    const Micros now = steady();
    Json::Value root;
    root["stage"] = name_of(phases_.phase());
    root["since_s"] = static_cast<double>(now - phases_.since()) / 1e6;
    if (phases_.phase() != Phase::serving)
        root["latest_s"] = static_cast<double>(phases_.deadline() - now) / 1e6;
    root["waits_for"] = phases_.waits_for(), root["reason"] = phases_.reason();
    root["ready"] = phases_.ready(), root["sure_of_purges"] = phases_.purges_confirmed();
    root["back"] = Json::UInt64{phases_.members_back()},
    root["before"] = Json::UInt64{phases_.members_before()};
    Json::Value& kept = root["kept"];
    const std::uint64_t good = folder_->good;
    kept["file"] = good > 0 ? folder_->files.path_of(good) : "", kept["fault"] = writes_.unwritten_reason();
    kept["drain"] = persisted_.draining, kept["members"] = Json::UInt64{persisted_.members.size()};
    kept["bans"] = Json::Value(Json::arrayValue);
    for (const std::string& ban : persisted_.bans) kept["bans"].append(ban);
    root["set_aside"] = root["hands"] = Json::Value(Json::arrayValue);
    for (const std::string& one : aside_) root["set_aside"].append(one);
    for (const std::string& one : hands_) root["hands"].append(one);
    Json::Value& counters = root["counters"];
    const std::pair<const char*, std::uint64_t> all[] = {
        {"let_through", budget_.admitted()},
        {"turned_away", budget_.rejected()},
        {"too_large", budget_.too_large()},
        {"asks", asks_},
        {"answers", answers_},
        {"pauses", phases_.pauses()},
        {"written", writes_.written()},
        {"longest_write_us", static_cast<std::uint64_t>(writes_.longest_write())}};
    for (const auto& [name, value] : all) counters[name] = Json::UInt64{value};
    return base::to_json_line(root);
}

}  // namespace sumackeel::recovery_coordinator
