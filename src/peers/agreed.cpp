#include "peers/agreed.h"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <stdexcept>

#include "base/files.h"
#include "base/finished_within.h"
#include "base/json_line.h"
#include "base/log.h"
#include "peers/agreed_words.h"

namespace sumackeel::peers {

using base::Micros;
using rollout::Answer;
using rollout::Kind;

namespace {

// Calls of operators are answered within 1 s; what is not agreed on by then is answered with no.
constexpr Micros kPatience = 850'000;
constexpr Micros kOneTry = 350'000;   // one voter, of several
constexpr Micros kTryAgain = 60'000;  // while there is no leader
// Of those that do not vote: bans reach them within 1 s. Stretched where they are many, up to the longest.
constexpr Micros kPollEvery = 250'000, kPollEach = 2'000, kPollLongest = 900'000;
constexpr Micros kTendEvery = 1'000'000;              // who votes, against the operator's file
constexpr Micros kAlone = 3'000'000;                  // one that votes and knows no leader asks the others
constexpr Micros kVoteLater = 200'000;                // while the process before this one has the folder
constexpr std::chrono::seconds kFolderReadWithin{2};  // at a start
constexpr const char* kWishVerb = "wish";
constexpr const char* kStateVerb = "state";

rollout::Rules rules_of(const config::LeaveRules& rules) {
    return {rules.school_out, rules.school_share, rules.fleet_out, rules.between};
}

// Empty: done; else what went wrong.
std::string move_files(const std::string& from, const std::filesystem::path& to) {
    std::error_code fault;
    std::filesystem::create_directories(to, fault);
    std::vector<std::filesystem::path> files;
    for (std::filesystem::directory_iterator it(from, fault), end; !fault && it != end; it.increment(fault))
        if (it->is_regular_file() && it->path().filename() != "lock") files.push_back(it->path());
    for (const auto& file : files)
        if (!fault) std::filesystem::rename(file, to / file.filename(), fault);
    return fault ? fault.message() : std::string{};
}

}  // namespace

struct Agreed::Wish {
    Wanted wanted;
    Told told;
    Micros until = 0;
    bool settled = false;
};

Agreed::Agreed(net::Loop& loop, Peers& peers, const config::Agreed& setup, bool wait_for_folder, World world,
               Changed changed)
    : loop_(loop),
      peers_(peers),
      setup_(setup),
      world_(std::move(world)),
      changed_(std::move(changed)),
      files_(loop) {
    const std::string& name = peers_.group().self().name;
    for (const char* verb : {kWishVerb, kStateVerb})
        peers_.on_call(verb, [this](const std::string& from, const std::string& of, const std::string& body,
                                    const Peers::Say& say) { take(from, of, body, say); });
    voters_ever_ = setup_.voters;
    if (setup_.voters.contains(name)) {
        voter_ = make_voter();
        // Danger: two processes at one log would ruin it. The one before this one gives the folder back when
        // it is told to end; until then this one asks the others. One that lost its log waits until the
        // others have a leader.
        if (voter_->lost_log())
            log::error(
                "agreed: {} voted before and its log in {} is gone; it waits for a leader of the others",
                name, setup_.folder);
        const auto answers = base::finished_within(
            kFolderReadWithin, [folder = setup_.folder] { return Voter::try_folder(folder); });
        if (!answers) log::error("agreed: {} does not answer; this proxy votes once it does", setup_.folder);
        if (!answers || wait_for_folder || voter_->lost_log()) {
            vote_later();
        } else if (const std::string wrong = voter_->open(joins_); !wrong.empty()) {
            voter_->shut();
            throw std::runtime_error(wrong);
        }
        heard_history_ = voter_->history();
    }
    if (voter_) tend();
    log::info("agreed: {} {}", name, votes() ? "votes" : "asks those that vote");
    if (!votes()) poll();
}

std::unique_ptr<Voter> Agreed::make_voter() {
    Voter::Hooks hooks{setup_, voters_ever_, peers_.setup().folder, {}, {}, {}, {}, {}, {}};
    hooks.reach = [this](const std::string& told) { return peers_.reached_at(told); };
    hooks.there = [this](const std::string& voter) { return there(voter); };
    // While a voter is behind what it has heard, that counts.
    hooks.leaves = [this] {
        if (voter_ && voter_->state().revision() > heard_.revision()) changed_(voter_->state());
    };
    hooks.registered = [this] {
        if (registered_) registered_();
    };
    hooks.older = [this](std::uint64_t history) { yield(history); };
    hooks.failed = [this] { stop_voting(); };
    return std::make_unique<Voter>(loop_, peers_.codec(), peers_.group().self().name, std::move(hooks));
}

// What is wanted as a command, with all that it is judged by.
std::string Agreed::command_of(const Wanted& wanted) const {
    const Micros now = loop_.clock().now();
    if (wanted.what == What::back)
        return rollout::encode(rollout::Back{wanted.kind, wanted.member, wanted.by, now, wanted.runs});
    if (wanted.what == What::order) {
        rollout::Order order = rollout::order_in(wanted.body);
        order.now = now, order.there.clear();
        for (const rollout::Seen& seen : world_(Kind::proxy))
            if (!seen.out) order.there.push_back(seen.name);
        return rollout::encode(order);
    }
    return rollout::encode(ask_of(wanted));
}

// By the leader alone.
void Agreed::propose(const Wanted& wanted, Told done) {
    if (wanted.what == What::read) return voter_->read(wanted.member, std::move(done));
    if (wanted.what == What::lead) return voter_->give_lead(wanted.member, std::move(done));
    if (wanted.what == What::change)
        return voter_->propose(registry::stamped(wanted.body, loop_.clock().now()), std::move(done));
    // Without a release there is no turn; asked as a plain leave it would be granted.
    if (wanted.what == What::turn && !voter_->state().releases().active())
        return done(Answer{rollout::How::nothing, 0, "no release is under way", {}});
    // A no needs no place in the log: said too late it holds nobody out, and callers ask again many
    // times.
    if (wanted.what == What::leave || wanted.what == What::turn)
        if (const Answer now = voter_->state().judge(ask_of(wanted)); now.how != rollout::How::granted)
            return done(now);
    voter_->propose(command_of(wanted), std::move(done));
}

void Agreed::renew(const config::Agreed& setup) {
    const std::string& name = peers_.group().self().name;
    setup_.voters = setup.voters, setup_.proxies = setup.proxies, setup_.pop_caches = setup.pop_caches;

    voters_ever_.insert(setup.voters.begin(), setup.voters.end());
    if (!setup_.voters.contains(name) || yielding_ || (voter_ && !voter_->stopped())) return;
    if (voter_ && voter_->closing())
        return log::warn("agreed: the log is still closing; have the file read once more");
    // Named as a voter while it runs, or one whose log failed. There is an agreed log, so it begins none: the
    // leader fills it.
    joins_ = true;
    voter_ = make_voter();
    if (!tend_) tend();
    vote_later();
}

void Agreed::tend() {
    voter_->tend();
    if (const auto due = voter_->registry().due(); due && leads() && *due <= loop_.clock().now())
        voter_->propose(registry::encode(registry::Tick{loop_.clock().now()}), [](const auto&) {});
    look_alone();
    tend_ = loop_.deadlines().set(loop_.clock().now() + kTendEvery, [this] { tend(); });
}

// One that votes and has known no leader for a while was cut off, or is voted out: a log says nothing to
// those that it no longer names. It asks the others as one that does not vote. Named by the file no more, and
// told of a leader by another, it is out and gives its log up.
void Agreed::look_alone() {
    const Micros now = loop_.clock().now();
    if (!votes() || !voter_->leader().empty()) {
        led_at_ = now;
        if (votes() && poll_) loop_.deadlines().drop(*poll_), poll_.reset();
        return;
    }
    if (led_at_ == 0) led_at_ = now;
    if (now - led_at_ < kAlone) return;
    if (!poll_) leader_.clear(), known_ = false, poll();  // from now on what it is told counts
    const std::string& name = peers_.group().self().name;
    if (leader_.empty() || leader_ == name || setup_.voters.contains(name)) return;
    log::info("agreed: {} votes no more, {} leads", name, leader_);
    voter_->stop();
    keep_own();
}

// Another voter's log was forced to go on without ours: what ours holds is void. Told from within the
// transport.
void Agreed::yield(std::uint64_t history) {
    if (std::exchange(yielding_, true)) return;
    log::error("agreed: the log in {} is of an older history than that of another voter; it is set aside",
               setup_.folder);
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now(), [this, alive, history] {
        if (alive.expired()) return;
        voter_->stop();
        heard_ = {}, heard_registry_ = {}, known_ = false, leader_.clear();  // so is what was known by it
        heard_history_ = history;
        poll();
        set_aside(history);
    });
}

// Once the log is closed: its files out of the way, kept for whoever wants to look, and a place for the
// other.
void Agreed::set_aside(std::uint64_t history) {
    const std::weak_ptr<bool> alive = alive_;
    if (voter_->closing() || files_.busy()) {
        loop_.deadlines().set(loop_.clock().now() + kVoteLater, [this, alive, history] {
            if (!alive.expired()) set_aside(history);
        });
        return;
    }
    const std::string aside = fmt::format("{}/aside-{}", setup_.folder, loop_.clock().now());
    const auto fault = std::make_shared<std::string>();
    files_.run(
        [folder = setup_.folder, aside, history, fault] {
            *fault = move_files(folder, aside);
            if (fault->empty()) *fault = Voter::put_history(folder, history);
        },
        [this, fault] { was_set_aside(*fault); });
}

void Agreed::was_set_aside(const std::string& fault) {
    if (!fault.empty())
        return log::error("agreed: the old log in {} can't be set aside, {}; this proxy does not vote",
                          setup_.folder, fault);
    log::warn("agreed: the old log in {} is set aside", setup_.folder);
    yielding_ = false, joins_ = true;
    voter_ = make_voter();
    vote_later();
}

// Whether a voter is there, as the group has it.
bool Agreed::there(const std::string& voter) const {
    if (voter == peers_.group().self().name) return true;
    const auto& seen = peers_.group().seen();
    return std::any_of(seen.begin(), seen.end(), [&](const group::Seen& one) {
        return one.word.name == voter && one.state == group::State::alive;
    });
}

void Agreed::vote_later() {
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now() + kVoteLater, [this, alive] {
        if (alive.expired()) return;
        if (files_.busy()) return vote_later();
        const auto fault = std::make_shared<std::string>();
        files_.run([folder = setup_.folder, fault] { *fault = Voter::try_folder(folder); },
                   [this, fault] { fault->empty() ? take_folder() : vote_later(); });
    });
}

// The folder has just been read, and nobody else has it.
void Agreed::take_folder() {
    if ((voter_->lost_log() || joins_) && (!known_ || leader_.empty())) return vote_later();
    if (const std::string wrong = voter_->open(joins_); !wrong.empty()) {
        log::error("{}; this proxy does not vote", wrong);
        return voter_->stop();
    }
    if (poll_) loop_.deadlines().drop(*poll_), poll_.reset();
    known_ = false;
    heard_history_ = std::max(heard_history_, voter_->history());
    log::info("agreed: {} votes now", peers_.group().self().name);
}

bool Agreed::disk_hangs() const {
    return files_.hangs() || (voter_ && voter_->disk_hangs());
}

Agreed::~Agreed() {
    shut();
}

void Agreed::close() {
    if (voter_) voter_->close();
}

void Agreed::shut() {
    alive_.reset();
    for (const char* verb : {kWishVerb, kStateVerb}) peers_.no_calls(verb);
    for (auto* timer : {&poll_, &tend_})
        if (*timer) loop_.deadlines().drop(**timer), timer->reset();
    if (voter_) voter_->shut();
}

void Agreed::keep_own() {
    if (voter_->state().revision() > heard_.revision()) heard_ = voter_->state();
    if (voter_->registry().revision() > heard_registry_.revision()) heard_registry_ = voter_->registry();
    heard_history_ = std::max(heard_history_, voter_->history());
}

// From now on this one asks the others, beginning with what it knows.
void Agreed::stop_voting() {
    keep_own();
    known_ = true;
    poll();
}

bool Agreed::votes() const {
    return voter_ && voter_->votes();
}
// What was heard while a voter was alone may be newer than its own.
const rollout::State& Agreed::state() const {
    return votes() && voter_->state().revision() >= heard_.revision() ? voter_->state() : heard_;
}
const registry::State& Agreed::registry() const {
    return votes() && voter_->registry().revision() >= heard_registry_.revision() ? voter_->registry()
                                                                                  : heard_registry_;
}

std::optional<Micros> Agreed::sure_age() const {
    if (votes() && !voter_->leader().empty() && voter_->caught_up()) return 0;
    if (heard_at_) return loop_.clock().now() - *heard_at_;
    return std::nullopt;
}

std::string Agreed::leader() const {
    if (!votes()) return leader_;
    const std::string led = voter_->leader();
    return led.empty() && poll_ ? leader_ : led;
}
bool Agreed::known() const {
    return votes() && !voter_->leader().empty() ? voter_->caught_up() : known_;
}

bool Agreed::leads() const {
    return voter_ && voter_->leads();
}

rollout::Ask Agreed::ask_of(const Wanted& wanted) const {
    rollout::Ask ask{
        wanted.kind,         wanted.member,
        wanted.by,           wanted.forced,
        loop_.clock().now(), rules_of(wanted.kind == Kind::proxy ? setup_.proxies : setup_.pop_caches),
        world_(wanted.kind)};
    if (wanted.kind != Kind::proxy) return ask;
    ask.runs = runs_of(peers_.word_of(wanted.member));
    if (wanted.runs.start >= ask.runs.start) ask.runs = wanted.runs;
    const rollout::Release* release = state().releases().active();
    if (wanted.what == What::turn && release)
        ask.release = release->number, ask.by = "release " + release->plan.name;
    return ask;
}

std::optional<Answer> Agreed::explain(const std::string& member) const {
    for (const Kind kind : {Kind::proxy, Kind::pop_cache}) {
        const rollout::Ask ask = ask_of({What::leave, false, kind, member, {}, {}, {}});
        const bool known = std::any_of(ask.world.begin(), ask.world.end(),
                                       [&](const rollout::Seen& seen) { return seen.name == member; });
        if (known || state().find(kind, member)) return state().judge(ask);
    }
    return std::nullopt;
}

rollout::Runs Agreed::runs_of(const group::Word& word) const {
    rollout::Runs runs{word.stamp.start, word.version};
    const rollout::Release* release = state().releases().active();
    if (!release) return runs;
    const auto told = release->told.find(word.name);
    return told != release->told.end() && told->second.start > runs.start ? told->second : runs;
}

void Agreed::want(Wanted wanted, Told told) {
    const group::Word& self = peers_.group().self();
    if (wanted.kind == Kind::proxy && wanted.member == self.name)
        wanted.runs = {self.stamp.start, self.version};
    pursue(std::make_shared<Wish>(
        Wish{std::move(wanted), std::move(told), loop_.clock().now() + kPatience, false}));
}

void Agreed::ask(Kind kind, const std::string& member, const std::string& by, bool forced, Told told) {
    want({What::leave, forced, kind, member, by, {}, {}}, std::move(told));
}

void Agreed::back(Kind kind, const std::string& member, const std::string& by, Told told) {
    want({What::back, false, kind, member, by, {}, {}}, std::move(told));
}

void Agreed::turn(const std::string& member, bool forced, Told told) {
    want({What::turn, forced, Kind::proxy, member, {}, {}}, std::move(told));
}

void Agreed::order(const rollout::Order& order, Told told) {
    want({What::order, false, Kind::proxy, {}, order.by, rollout::encode(order), {}}, std::move(told));
}

void Agreed::change(const registry::Change& change, Told told) {
    if (std::string wrong = registry::unfit(change); !wrong.empty())
        return told(Answer{rollout::How::refused, 0, std::move(wrong), {}});
    want({What::change, false, Kind::pop_cache, {}, change.by, registry::encode(change), {}},
         std::move(told));
}

void Agreed::purge(const registry::Purge& purge, Told told) {
    want({What::change, false, Kind::pop_cache, {}, purge.by, registry::encode(purge), {}}, std::move(told));
}

void Agreed::read(const std::string& key, Told told) {
    want({What::read, false, Kind::pop_cache, key, {}, {}, {}}, std::move(told));
}

void Agreed::lead(Told told) {
    const std::string& self = peers_.group().self().name;
    if (!votes()) return told(Answer{rollout::How::refused, 0, self + " does not vote", {}});
    want({What::lead, false, Kind::pop_cache, self, self, {}, {}}, std::move(told));
}

void Agreed::step(rollout::Step step, Told told) {
    if (!leads()) return told(std::nullopt);
    step.now = loop_.clock().now();
    voter_->propose(rollout::encode(step), std::move(told));
}

void Agreed::settle(const std::shared_ptr<Wish>& wish, std::optional<Answer> answer) {
    if (!std::exchange(wish->settled, true)) wish->told(std::move(answer));
}

void Agreed::later(std::shared_ptr<Wish> wish) {
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now() + kTryAgain, [this, alive, wish] {
        if (!alive.expired()) pursue(wish);
    });
}

// One try after another until it is agreed on or the time is over. Danger: a try whose answer was lost may
// have been agreed on; that is why asking again gives the same lease, and giving back twice does nothing.
void Agreed::pursue(std::shared_ptr<Wish> wish) {
    const Micros now = loop_.clock().now();
    if (wish->settled) return;
    if (now >= wish->until) return settle(wish, std::nullopt);
    const std::weak_ptr<bool> alive = alive_;
    if (voter_ && voter_->leads()) {
        loop_.deadlines().set(wish->until, [this, alive, wish] {
            if (!alive.expired()) settle(wish, std::nullopt);
        });
        return propose(wish->wanted, [this, alive, wish](std::optional<Answer> answer) {
            if (alive.expired()) return;
            answer ? settle(wish, std::move(answer)) : later(wish);
        });
    }
    std::string to = leader();
    if (to.empty() || to == peers_.group().self().name) {
        auto voter = setup_.voters.begin();
        std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
        to = voter->first;
    }
    if (to == peers_.group().self().name) return later(wish);
    peers_.call(to, kWishVerb, wish->wanted.encode(), std::min(kOneTry, wish->until - now),
                [this, alive, wish](std::optional<std::string> body) {
                    if (alive.expired()) return;
                    leader_.clear();
                    if (!body) return later(wish);
                    try {
                        const Said said = said_in(*body);
                        leader_ = said.leader;
                        if (said.done) return settle(wish, rollout::decode_answer(said.body));
                    } catch (const std::exception& wrong) {
                        log::warn("agreed: {}", wrong.what());
                    }
                    later(wish);
                });
}

void Agreed::take(const std::string& from, const std::string& verb, const std::string& body,
                  const Peers::Say& say) {
    // At first hand only: what was heard of a leader is told to nobody, or it would outlive that leader.
    const std::string led = votes() ? voter_->leader() : std::string{};
    const auto no = [&] { say(encode(Said{false, led, {}})); };
    if (!votes()) return no();
    try {
        if (verb == kStateVerb) {
            // What one of another history has tells nothing of what it lacks.
            const std::uint64_t history = voter_->history();
            Has has = has_in(body);
            const bool same = has.history == history;
            const bool news = !same || has.revision != voter_->state().revision();
            return say(encode(Said{!led.empty() && voter_->caught_up(), led,
                                   news ? voter_->state().encode() : std::string{}, history,
                                   voter_->registry().news(same ? has.registry : 0)}));
        }
        if (verb != kWishVerb || !voter_->leads()) return no();
        propose(Wanted::read(body), [say, self = peers_.group().self().name](std::optional<Answer> answer) {
            say(encode(Said{answer.has_value(), answer ? self : std::string{},
                            answer ? rollout::encode(*answer) : std::string{}}));
        });
    } catch (const std::exception& wrong) {
        log::warn("agreed: a question of {}: {}", from, wrong.what());
        no();
    }
}

// Who does not vote asks one voter after another for the state, and keeps the newest it has heard.
void Agreed::poll() {
    auto voter = setup_.voters.begin();
    std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
    const Micros every =
        std::clamp(kPollEach * static_cast<Micros>(peers_.group().size()), kPollEvery, kPollLongest);
    poll_ = loop_.deadlines().set(loop_.clock().now() + every, [this] { poll(); });
    ask_state(voter->first, every);
}

// An entry more carries to the voters how far the log is agreed on.
void Agreed::spread() {
    if (leads()) voter_->read({}, [](const auto&) {});
}

void Agreed::ask_now(const std::string& member) {
    if (!votes() || voter_->leader().empty()) ask_state(member, kOneTry);
}

void Agreed::ask_state(const std::string& voter, Micros within) {
    const std::weak_ptr<bool> alive = alive_;
    const Has has{heard_.revision(), ask_all_ ? 0 : heard_registry_.revision(), heard_history_};
    peers_.call(voter, kStateVerb, fmt::format("{} {} {}", has.revision, has.registry, has.history), within,
                [this, alive](std::optional<std::string> body) {
                    if (alive.expired() || !body) return;
                    try {
                        hold(*body);
                    } catch (const std::exception& wrong) {
                        log::warn("agreed: {}", wrong.what());
                    }
                });
}

// A voter's answer. Of a later history, as after a forced start, all that is here is void; of an earlier one,
// or of a voter that is behind, nothing is taken.
void Agreed::hold(const std::string& answer) {
    const Said said = said_in(answer);
    if (said.history < heard_history_) return;
    if (!said.leader.empty()) leader_ = said.leader;
    if (said.done) known_ = true, heard_at_ = loop_.clock().now();
    const bool later = said.done && said.history > heard_history_;
    if (said.history > heard_history_ && !later) return;
    if (later) heard_ = {}, heard_registry_ = {}, heard_history_ = said.history;
    // Danger: a voter that is behind tells all of what it has, and that is less than what is here.
    if (!said.registry.empty() && registry::newest_in(said.registry) > heard_registry_.revision()) {
        ask_all_ = !heard_registry_.take(said.registry);  // throws before it changes anything
        if (!ask_all_ && registered_) registered_();
    }
    if (said.body.empty()) return;
    rollout::State state = rollout::State::decode(said.body);
    if (state.revision() <= heard_.revision()) return;
    heard_ = std::move(state);
    changed_(heard_);
}

std::string Agreed::as_json() const {
    Json::Value root;
    root["member"] = peers_.group().self().name;
    root["votes"] = votes();
    root["leads"] = voter_ && voter_->leads();
    root["leader"] = leader();
    if (votes()) {
        root["voters"] = Json::Value(Json::arrayValue);
        for (const std::string& voter : voter_->voters()) root["voters"].append(voter);
    }
    root["known"] = known();
    root["revision"] = Json::UInt64{state().revision()};
    root["registry"]["revision"] = Json::UInt64{registry().revision()};
    root["registry"]["keys"] = Json::UInt64{registry().entries().size()};
    root["registry"]["last_purge"] = Json::UInt64{registry().last_purge()};
    if (const auto age = sure_age()) root["sure_age_s"] = static_cast<double>(*age) / 1e6;
    root["last_lease"] = Json::UInt64{state().last_number()};
    const auto listed = [](const rollout::Lease& lease) {
        Json::Value one;
        one["number"] = Json::UInt64{lease.number}, one["kind"] = name_of(lease.kind);
        one["member"] = lease.member, one["school"] = lease.school, one["by"] = lease.by;
        one["since"] = static_cast<double>(lease.since) / 1e6, one["forced"] = lease.forced;
        return one;
    };
    root["leases"] = root["forced"] = root["out"] = Json::Value(Json::arrayValue);
    for (const auto& [key, lease] : state().leases()) root["leases"].append(listed(lease));
    for (const rollout::Lease& lease : state().forced()) root["forced"].append(listed(lease));
    for (const Kind kind : {Kind::proxy, Kind::pop_cache})
        for (const rollout::Seen& seen : world_(kind)) {
            if (!seen.out) continue;
            Json::Value one;
            one["member"] = seen.name, one["kind"] = name_of(kind), one["school"] = seen.school,
            one["why"] = seen.why;
            root["out"].append(one);
        }
    // What a plan is rehearsed with.
    root["rules"]["school_out"] = setup_.proxies.school_out;
    root["rules"]["school_share"] = setup_.proxies.school_share;
    root["rules"]["fleet_out"] = setup_.proxies.fleet_out;
    root["rules"]["between_s"] = static_cast<double>(setup_.proxies.between) / 1e6;
    for (const rollout::Seen& seen : world_(Kind::proxy)) {
        Json::Value one;
        one["member"] = seen.name, one["school"] = seen.school, one["weight"] = seen.weight,
        one["out"] = seen.out;
        root["proxies"].append(one);
    }
    return base::json_line(root);
}

}  // namespace sumackeel::peers
