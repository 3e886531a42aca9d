#include "peers/recovery.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <stdexcept>

#include "base/files.h"
#include "base/finished_within.h"
#include "base/json_line.h"
#include "base/log.h"
#include "base/packed.h"
#include "base/system_error.h"

namespace sumackeel::peers {

using base::Micros;
using recovery::Stage;

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

Micros Recovery::steady() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

Recovery::Recovery(net::Loop& loop, Peers& peers, const config::Recovery& setup, bool elects,
                   std::vector<double> worths, Micros cleared_within, std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      peers_(peers),
      setup_(setup),
      cleared_within_(cleared_within),
      hooks_(std::move(hooks)),
      folder_(std::make_shared<Folder>(setup.folder)),
      writes_(loop, "recovery",
              [folder = folder_](const std::string& packed) { return folder->put(packed); }),
      ladder_({.ask = setup.ask,
               .settle = setup.settle,
               .prime = setup.prime,
               .pause = setup.pause,
               .elects = elects},
              steady()),
      budget_(setup.fills_per_s, setup.hub_fills_per_s, std::move(worths), seed ^ 0x7c15f39cc0605ceeULL),
      unsure_since_(steady()) {
    read();
    ladder_.read(steady(), kept_.members.size());
    peers_.on_call(kVerb, [this](const std::string&, const std::string&, const std::string&,
                                 const Peers::Say& say) { say(answer()); });
    log::info("recovery: {}, {} members were there, {} bans and {} kept", name_of(ladder_.stage()),
              ladder_.before(), kept_.bans.size(), kept_.drain ? "a drain" : "no drain");
    tick();
}

Recovery::~Recovery() {
    peers_.no_calls(kVerb);
    if (next_tick_) loop_.deadlines().drop(*next_tick_);
}

void Recovery::read() {
    auto found =
        base::finished_within(base::kFolderAnswersWithin, [folder = folder_] { return folder->read(); });
    if (!found) found = Found{{}, {folder_->path + ": the folder does not answer"}};
    for (const std::string& one : found->aside)
        log::error("recovery: passed over, {}: bans and drains of the last moments may be missing", one);
    kept_ = std::move(found->kept);
    aside_ = std::move(found->aside);
}

// The newest generation that is whole. A damaged one is named and set aside, never passed over without a
// word.
Recovery::Found Recovery::Folder::read() {
    const std::scoped_lock held(in_use);
    Found found;
    std::string text, fault;
    for (const std::uint64_t one : files.all()) {
        generation = std::max(generation, one);
        base::Reading reading{};
        base::retry_folder_at_start([&] {
            reading = base::read_plain(files.path_of(one), recovery::kLongestKept, text, fault);
            return reading == base::Reading::unreadable ? fault : std::string{};
        });
        if (reading == base::Reading::done) fault = recovery::decode(text, found.kept);
        if (fault.empty()) {
            good = one;
            return found;
        }
        found.aside.push_back(files.path_of(one) + ": " + fault);
        if (reading != base::Reading::unreadable) files.set_aside(one);
        fault.clear();
    }
    return found;
}

// Another process of this proxy writes until it ends; the lock is asked for anew each time.
std::string Recovery::Folder::put(const std::string& packed) {
    // Danger: before all generations are known a new one might be numbered below them.
    const std::unique_lock held(in_use, std::try_to_lock);
    if (!held) return "what was kept before is still being read";
    if (!lock || !lock->fault().empty()) lock = std::make_unique<base::FolderLock>(path, kLock);
    std::string fault = lock->fault();
    if (fault.empty()) fault = files.write(packed, generation + 1, good);
    if (fault.empty()) good = ++generation;
    return fault;
}

void Recovery::write() {
    writes_.keep(recovery::encode(kept_));
}

void Recovery::keep(const std::set<std::string>& bans, const std::set<std::string>& leased, bool drain) {
    const bool same = bans == kept_.bans && leased == kept_.leased && drain == kept_.drain;
    kept_.bans = bans, kept_.leased = leased, kept_.drain = drain;
    if (!same) write();
}

void Recovery::follow(Stage before) {
    if (ladder_.stage() == before) return;
    log::info("recovery: {} (was {}): {}", name_of(ladder_.stage()), name_of(before), ladder_.reason());
    if (before == Stage::serving) unsure_since_ = steady();  // it was paused
    kept_.stage = ladder_.stage();
    write();
    hooks_.entered(before);
}

void Recovery::tick() {
    const Stage before = ladder_.stage();
    const Micros now = steady();
    ladder_.tick(now);
    ladder_.counted(now, peers_.group().reached());
    follow(before);
    if (ladder_.stage() >= Stage::asking && (ladder_.stage() < Stage::priming || !ladder_.sure())) ask();
    // Only a fleet that has served for a while says who belongs to it: during a second loss those from before
    // the first still count.
    if (ladder_.stage() == Stage::serving && now - ladder_.since() >= kServedFor &&
        now - members_kept_ >= kMembersEvery) {
        members_kept_ = now;
        std::set<std::string> members{peers_.group().self().name};
        for (const group::Seen& seen : peers_.group().seen())
            if (seen.state != group::State::left && members.size() < recovery::kMostNames)
                members.insert(seen.word.name);
        if (members != kept_.members) kept_.members = std::move(members), write();
    }
    next_tick_ = loop_.deadlines().set(
        loop_.clock().now() + (ladder_.stage() == Stage::serving ? kTickServing : kTick), [this] { tick(); });
}

// Some members at a time, one after another.
void Recovery::ask() {
    const Micros now = steady();
    if (now - asked_ < kAskEvery) return;
    std::vector<std::string> all;
    for (const group::Seen& seen : peers_.group().seen())
        if (seen.state == group::State::alive || seen.state == group::State::suspect ||
            seen.state == group::State::joining)
            all.push_back(seen.word.name);
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

void Recovery::heard(const std::string& from, const std::string& body) try {
    const base::Unpacked whole = base::unpacked(body, kMostPurges, kLongestCall);
    base::Fields at = whole.fields(7);
    if (at.next<int>() != kAnswerVersion) return;
    recovery::Heard heard;
    heard.from = from, heard.stage = at.word(Stage::serving);
    heard.living = at.next<bool>(), heard.sure = at.next<bool>();
    at.next<std::uint64_t>(), at.next<std::uint64_t>();
    std::vector<Told> purges;
    for (base::Fields list = at.list(kMostPurges); list.left() > 0;) {
        base::Fields one = list.array(3);
        Told told;
        told.object = one.text(64), told.group = one.next<int>();
        told.age = std::max<Micros>(0, one.next<Micros>()) * 1'000;
        purges.push_back(std::move(told));
    }
    ++answers_;
    hooks_.learn(purges);  // before it is believed that all are known
    const Stage before = ladder_.stage();
    ladder_.answered(steady(), heard);
    follow(before);
} catch (const std::exception& wrong) {
    log::warn("recovery: an answer of {}: {}", from, wrong.what());
}

std::string Recovery::answer() const {
    std::vector<Told> purges = hooks_.purges();
    const bool all = purges.size() <= kMostPurges;
    if (!all) purges.resize(kMostPurges);
    const bool sure = all && ladder_.stage() == Stage::serving && ladder_.sure() && hooks_.sure();
    base::Packed out;
    out.array(7).add(kAnswerVersion, static_cast<int>(ladder_.stage()),
                     ladder_.living(peers_.group().reached()), sure, ladder_.back(), ladder_.before());
    out.array(purges.size());
    for (const Told& told : purges) out.array(3).add(told.object, told.group, told.age / 1'000);
    return out.bytes();
}

void Recovery::listed() {
    const Stage before = ladder_.stage();
    ladder_.listed(steady());
    follow(before);
}

void Recovery::led(bool leader) {
    const Stage before = ladder_.stage();
    ladder_.led(steady(), leader);
    follow(before);
}

void Recovery::go(Stage stage, const std::string& by) {
    const Stage before = ladder_.stage();
    log::warn("recovery: {} by hand of {}", name_of(stage), by);
    if (hands_.size() >= kMostHands) hands_.erase(hands_.begin());
    hands_.push_back(fmt::format("{} to {} by {}", name_of(before), name_of(stage), by));
    ladder_.go(steady(), stage, by);
    follow(before);
}

std::optional<Micros> Recovery::turn_away(const recovery::Asked& asked) {
    const Stage stage = ladder_.stage();
    if (stage == Stage::serving) return std::nullopt;
    const Micros now = steady();
    // While it clears up what it missed, one that was only paused goes on with the first part.
    const Micros primed_for = stage == Stage::priming ? now - ladder_.since() : ladder_.ready() ? 0 : -1;
    // Those that were there and are not back are reckoned with in full, then less and less: by then they come
    // to a fleet that is warm.
    const double back = static_cast<double>(std::max(ladder_.back(), hooks_.proxies()));
    const double missing = std::max(0.0, static_cast<double>(ladder_.before()) - back);
    const double waited =
        static_cast<double>(primed_for) / static_cast<double>(std::max<Micros>(1, setup_.prime));
    const double share = back + missing * std::clamp(2 - 4 * waited, 0.0, 1.0);
    recovery::Asked one = asked;
    one.any_size = stage != Stage::priming && ladder_.ready();
    const auto away = budget_.turn_away(now, one, share, primed_for, ladder_.latest() - now);
    if (away) ladder_.turned_away(now);
    return away;
}

Micros Recovery::oldest() const {
    const Micros since = steady() - unsure_since_;
    // A member that serves told its purges by their ages. Those of a change log are told by its clock, which
    // after a loss may be an hour from ours: until boxes have dropped what was purged before, they are not
    // relied on alone.
    const bool known = ladder_.sure() && (ladder_.lived() || since >= cleared_within_);
    return known ? 0 : std::max<Micros>(1'000, since);
}

std::string Recovery::as_json() const {
    const Micros now = steady();
    Json::Value root;
    root["stage"] = name_of(ladder_.stage());
    root["since_s"] = static_cast<double>(now - ladder_.since()) / 1e6;
    if (ladder_.stage() != Stage::serving)
        root["latest_s"] = static_cast<double>(ladder_.latest() - now) / 1e6;
    root["waits_for"] = ladder_.waits_for(), root["reason"] = ladder_.reason();
    root["ready"] = ladder_.ready(), root["sure_of_purges"] = ladder_.sure();
    root["back"] = Json::UInt64{ladder_.back()}, root["before"] = Json::UInt64{ladder_.before()};
    Json::Value& kept = root["kept"];
    const std::uint64_t good = folder_->good;
    kept["file"] = good > 0 ? folder_->files.path_of(good) : "", kept["fault"] = writes_.missing();
    kept["drain"] = kept_.drain, kept["members"] = Json::UInt64{kept_.members.size()};
    kept["bans"] = Json::Value(Json::arrayValue);
    for (const std::string& ban : kept_.bans) kept["bans"].append(ban);
    root["set_aside"] = root["hands"] = Json::Value(Json::arrayValue);
    for (const std::string& one : aside_) root["set_aside"].append(one);
    for (const std::string& one : hands_) root["hands"].append(one);
    Json::Value& counters = root["counters"];
    const std::pair<const char*, std::uint64_t> all[] = {
        {"let_through", budget_.let_through()},
        {"turned_away", budget_.turned_away()},
        {"too_large", budget_.too_large()},
        {"asks", asks_},
        {"answers", answers_},
        {"pauses", ladder_.pauses()},
        {"written", writes_.written()},
        {"longest_write_us", static_cast<std::uint64_t>(writes_.longest_write())}};
    for (const auto& [name, value] : all) counters[name] = Json::UInt64{value};
    return base::json_line(root);
}

}  // namespace sumackeel::peers
