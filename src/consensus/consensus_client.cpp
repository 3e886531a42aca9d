#include "consensus/consensus_client.h"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <stdexcept>

#include "base/files.h"
#include "base/json_line.h"
#include "base/log.h"
#include "base/run_with_timeout.h"
#include "consensus/consensus_messages.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::CommandResult;
using rollout::MemberKind;

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

rollout::DisruptionBudget rules_of(const config::DisruptionBudget& rules) {
    return {rules.max_unavailable_in_zone, rules.max_zone_weight_share, rules.max_unavailable,
            rules.min_interval_in_zone};
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

struct ConsensusClient::PendingRequest {
    ConsensusRequest wanted;
    ResultCallback told;
    Micros until = 0;
    bool settled = false;
};

ConsensusClient::ConsensusClient(net::Loop& loop, ClusterTransport& peers, const config::Consensus& setup,
                                 bool wait_for_folder, FleetView world, StateCallback changed)
    : loop_(loop),
      transport_(peers),
      setup_(setup),
      world_(std::move(world)),
      changed_(std::move(changed)),
      files_(loop) {
    const std::string& name = transport_.membership().self().name;
    for (const char* verb : {kWishVerb, kStateVerb})
        transport_.on_call(verb,
                           [this](const std::string& from, const std::string& of, const std::string& body,
                                  const ClusterTransport::Respond& say) { take(from, of, body, say); });
    voters_ever_ = setup_.voters;
    if (setup_.voters.contains(name)) {
        raft_node_ = make_voter();
        // Danger: two processes at one log would ruin it. The one before this one gives the folder back when
        // it is told to end; until then this one asks the others. One that lost its log waits until the
        // others have a leader.
        if (raft_node_->has_lost_log())
            log::error(
                "agreed: {} voted before and its log in {} is gone; it waits for a leader of the others",
                name, setup_.folder);
        const auto answers = base::run_with_timeout(
            kFolderReadWithin, [folder = setup_.folder] { return RaftNode::check_directory(folder); });
        if (!answers) log::error("agreed: {} does not answer; this proxy votes once it does", setup_.folder);
        if (!answers || wait_for_folder || raft_node_->has_lost_log()) {
            vote_later();
        } else if (const std::string wrong = raft_node_->open(joins_); !wrong.empty()) {
            raft_node_->close_now();
            throw std::runtime_error(wrong);
        }
        heard_history_ = raft_node_->history();
    }
    if (raft_node_) tend();
    log::info("agreed: {} {}", name, votes() ? "votes" : "asks those that vote");
    if (!votes()) poll();
}

std::unique_ptr<RaftNode> ConsensusClient::make_voter() {
    RaftNode::Hooks hooks{setup_, voters_ever_, transport_.setup().folder, {}, {}, {}, {}, {}, {}};
    hooks.reach = [this](const std::string& told) { return transport_.reachable_address(told); };
    hooks.there = [this](const std::string& voter) { return there(voter); };
    // While a voter is behind what it has heard, that counts.
    hooks.leaves = [this] {
        if (raft_node_ && raft_node_->state().revision() > heard_.revision()) changed_(raft_node_->state());
    };
    hooks.registered = [this] {
        if (registered_) registered_();
    };
    hooks.older = [this](std::uint64_t history) { yield(history); };
    hooks.failed = [this] { stop_voting(); };
    return std::make_unique<RaftNode>(loop_, transport_.codec(), transport_.membership().self().name,
                                      std::move(hooks));
}

// What is wanted as a command, with all that it is judged by.
std::string ConsensusClient::command_of(const ConsensusRequest& wanted) const {
    const Micros now = loop_.clock().now();
    if (wanted.kind == RequestKind::return_lease)
        return rollout::encode(
            rollout::LeaseReturn{wanted.member_kind, wanted.member, wanted.by, now, wanted.running});
    if (wanted.kind == RequestKind::release_command) {
        rollout::ReleaseCommand order = rollout::decode_release_command(wanted.body);
        order.now = now, order.live_members.clear();
        for (const rollout::FleetMember& seen : world_(MemberKind::proxy))
            if (!seen.unavailable) order.live_members.push_back(seen.name);
        return rollout::encode(order);
    }
    return rollout::encode(ask_of(wanted));
}

// By the leader alone.
void ConsensusClient::propose(const ConsensusRequest& wanted, ResultCallback done) {
    if (wanted.kind == RequestKind::read) return raft_node_->read(wanted.member, std::move(done));
    if (wanted.kind == RequestKind::take_leadership)
        return raft_node_->transfer_leadership(wanted.member, std::move(done));
    if (wanted.kind == RequestKind::change)
        return raft_node_->propose(kv_store::with_leader_time(wanted.body, loop_.clock().now()),
                                   std::move(done));
    // Without a release there is no turn; asked as a plain leave it would be granted.
    if (wanted.kind == RequestKind::upgrade_lease && !raft_node_->state().releases().active())
        return done(CommandResult{rollout::Outcome::none, 0, "no release is under way", {}});
    // A no needs no place in the log: said too late it holds nobody out, and callers ask again many
    // times.
    if (wanted.kind == RequestKind::request_lease || wanted.kind == RequestKind::upgrade_lease)
        if (const CommandResult now = raft_node_->state().evaluate(ask_of(wanted));
            now.outcome != rollout::Outcome::granted)
            return done(now);
    raft_node_->propose(command_of(wanted), std::move(done));
}

void ConsensusClient::update_config(const config::Consensus& setup) {
    const std::string& name = transport_.membership().self().name;
    setup_.voters = setup.voters, setup_.proxies = setup.proxies, setup_.pop_caches = setup.pop_caches;

    voters_ever_.insert(setup.voters.begin(), setup.voters.end());
    if (!setup_.voters.contains(name) || yielding_ || (raft_node_ && !raft_node_->stopped())) return;
    if (raft_node_ && raft_node_->closing())
        return log::warn("agreed: the log is still closing; have the file read once more");
    // Named as a voter while it runs, or one whose log failed. There is an agreed log, so it begins none: the
    // leader fills it.
    joins_ = true;
    raft_node_ = make_voter();
    if (!tend_) tend();
    vote_later();
}

void ConsensusClient::tend() {
    raft_node_->reconcile_voters();
    if (const auto due = raft_node_->kv_store().next_expiry();
        due && is_leader() && *due <= loop_.clock().now())
        raft_node_->propose(kv_store::encode(kv_store::ExpireKeys{loop_.clock().now()}), [](const auto&) {});
    look_alone();
    tend_ = loop_.timers().schedule(loop_.clock().now() + kTendEvery, [this] { tend(); });
}

// One that votes and has known no leader for a while was cut off, or is voted out: a log says nothing to
// those that it no longer names. It asks the others as one that does not vote. Named by the file no more, and
// told of a leader by another, it is out and gives its log up.
void ConsensusClient::look_alone() {
    const Micros now = loop_.clock().now();
    if (!votes() || !raft_node_->leader().empty()) {
        led_at_ = now;
        if (votes() && poll_) loop_.timers().cancel(*poll_), poll_.reset();
        return;
    }
    if (led_at_ == 0) led_at_ = now;
    if (now - led_at_ < kAlone) return;
    if (!poll_) leader_.clear(), known_ = false, poll();  // from now on what it is told counts
    const std::string& name = transport_.membership().self().name;
    if (leader_.empty() || leader_ == name || setup_.voters.contains(name)) return;
    log::info("agreed: {} votes no more, {} leads", name, leader_);
    raft_node_->stop();
    keep_own();
}

// Another voter's log was forced to go on without ours: what ours holds is void. Told from within the
// transport.
void ConsensusClient::yield(std::uint64_t history) {
    if (std::exchange(yielding_, true)) return;
    log::error("agreed: the log in {} is of an older history than that of another voter; it is set aside",
               setup_.folder);
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now(), [this, alive, history] {
        if (alive.expired()) return;
        raft_node_->stop();
        heard_ = {}, heard_registry_ = {}, known_ = false, leader_.clear();  // so is what was known by it
        heard_history_ = history;
        poll();
        set_aside(history);
    });
}

// Once the log is closed: its files out of the way, kept for whoever wants to look, and a place for the
// other.
void ConsensusClient::set_aside(std::uint64_t history) {
    const std::weak_ptr<bool> alive = alive_;
    if (raft_node_->closing() || files_.busy()) {
        loop_.timers().schedule(loop_.clock().now() + kVoteLater, [this, alive, history] {
            if (!alive.expired()) set_aside(history);
        });
        return;
    }
    const std::string aside = fmt::format("{}/aside-{}", setup_.folder, loop_.clock().now());
    const auto fault = std::make_shared<std::string>();
    files_.run(
        [folder = setup_.folder, aside, history, fault] {
            *fault = move_files(folder, aside);
            if (fault->empty()) *fault = RaftNode::write_history(folder, history);
        },
        [this, fault] { was_set_aside(*fault); });
}

void ConsensusClient::was_set_aside(const std::string& fault) {
    if (!fault.empty())
        return log::error("agreed: the old log in {} can't be set aside, {}; this proxy does not vote",
                          setup_.folder, fault);
    log::warn("agreed: the old log in {} is set aside", setup_.folder);
    yielding_ = false, joins_ = true;
    raft_node_ = make_voter();
    vote_later();
}

// Whether a voter is there, as the group has it.
bool ConsensusClient::there(const std::string& voter) const {
    if (voter == transport_.membership().self().name) return true;
    const auto& seen = transport_.membership().members();
    return std::any_of(seen.begin(), seen.end(), [&](const cluster::MemberView& one) {
        return one.record.name == voter && one.state == cluster::State::alive;
    });
}

void ConsensusClient::vote_later() {
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now() + kVoteLater, [this, alive] {
        if (alive.expired()) return;
        if (files_.busy()) return vote_later();
        const auto fault = std::make_shared<std::string>();
        files_.run([folder = setup_.folder, fault] { *fault = RaftNode::check_directory(folder); },
                   [this, fault] { fault->empty() ? take_folder() : vote_later(); });
    });
}

// The folder has just been read, and nobody else has it.
void ConsensusClient::take_folder() {
    if ((raft_node_->has_lost_log() || joins_) && (!known_ || leader_.empty())) return vote_later();
    if (const std::string wrong = raft_node_->open(joins_); !wrong.empty()) {
        log::error("{}; this proxy does not vote", wrong);
        return raft_node_->stop();
    }
    if (poll_) loop_.timers().cancel(*poll_), poll_.reset();
    known_ = false;
    heard_history_ = std::max(heard_history_, raft_node_->history());
    log::info("agreed: {} votes now", transport_.membership().self().name);
}

bool ConsensusClient::is_disk_stuck() const {
    return files_.is_stuck() || (raft_node_ && raft_node_->is_disk_stuck());
}

ConsensusClient::~ConsensusClient() {
    close_now();
}

void ConsensusClient::close() {
    if (raft_node_) raft_node_->close();
}

void ConsensusClient::close_now() {
    alive_.reset();
    for (const char* verb : {kWishVerb, kStateVerb}) transport_.remove_call_handler(verb);
    for (auto* timer : {&poll_, &tend_})
        if (*timer) loop_.timers().cancel(**timer), timer->reset();
    if (raft_node_) raft_node_->close_now();
}

void ConsensusClient::keep_own() {
    if (raft_node_->state().revision() > heard_.revision()) heard_ = raft_node_->state();
    if (raft_node_->kv_store().revision() > heard_registry_.revision())
        heard_registry_ = raft_node_->kv_store();
    heard_history_ = std::max(heard_history_, raft_node_->history());
}

// From now on this one asks the others, beginning with what it knows.
void ConsensusClient::stop_voting() {
    keep_own();
    known_ = true;
    poll();
}

bool ConsensusClient::votes() const {
    return raft_node_ && raft_node_->is_voter();
}
// What was heard while a voter was alone may be newer than its own.
const rollout::State& ConsensusClient::state() const {
    return votes() && raft_node_->state().revision() >= heard_.revision() ? raft_node_->state() : heard_;
}
const kv_store::State& ConsensusClient::kv_store() const {
    return votes() && raft_node_->kv_store().revision() >= heard_registry_.revision() ? raft_node_->kv_store()
                                                                                      : heard_registry_;
}

std::optional<Micros> ConsensusClient::confirmed_age() const {
    if (votes() && !raft_node_->leader().empty() && raft_node_->caught_up()) return 0;
    if (heard_at_) return loop_.clock().now() - *heard_at_;
    return std::nullopt;
}

std::string ConsensusClient::leader() const {
    if (!votes()) return leader_;
    const std::string led = raft_node_->leader();
    return led.empty() && poll_ ? leader_ : led;
}
bool ConsensusClient::is_known() const {
    return votes() && !raft_node_->leader().empty() ? raft_node_->caught_up() : known_;
}

bool ConsensusClient::is_leader() const {
    return raft_node_ && raft_node_->is_leader();
}

rollout::LeaseRequest ConsensusClient::ask_of(const ConsensusRequest& wanted) const {
    rollout::LeaseRequest ask{
        wanted.member_kind,
        wanted.member,
        wanted.by,
        wanted.forced,
        loop_.clock().now(),
        rules_of(wanted.member_kind == MemberKind::proxy ? setup_.proxies : setup_.pop_caches),
        world_(wanted.member_kind)};
    if (wanted.member_kind != MemberKind::proxy) return ask;
    ask.running = running_version_of(transport_.record_of(wanted.member));
    if (wanted.running.start >= ask.running.start) ask.running = wanted.running;
    const rollout::Release* release = state().releases().active();
    if (wanted.kind == RequestKind::upgrade_lease && release)
        ask.release = release->number, ask.requested_by = "release " + release->plan.name;
    return ask;
}

std::optional<CommandResult> ConsensusClient::explain(const std::string& member) const {
    for (const MemberKind kind : {MemberKind::proxy, MemberKind::pop_cache}) {
        const rollout::LeaseRequest ask =
            ask_of({RequestKind::request_lease, false, kind, member, {}, {}, {}});
        const bool known = std::any_of(ask.fleet.begin(), ask.fleet.end(),
                                       [&](const rollout::FleetMember& seen) { return seen.name == member; });
        if (known || state().find(kind, member)) return state().evaluate(ask);
    }
    return std::nullopt;
}

rollout::RunningVersion ConsensusClient::running_version_of(const cluster::MemberRecord& word) const {
    rollout::RunningVersion runs{word.incarnation.start, word.software_version};
    const rollout::Release* release = state().releases().active();
    if (!release) return runs;
    const auto told = release->reported_versions.find(word.name);
    return told != release->reported_versions.end() && told->second.start > runs.start ? told->second : runs;
}

void ConsensusClient::want(ConsensusRequest wanted, ResultCallback told) {
    const cluster::MemberRecord& self = transport_.membership().self();
    if (wanted.member_kind == MemberKind::proxy && wanted.member == self.name)
        wanted.running = {self.incarnation.start, self.software_version};
    pursue(std::make_shared<PendingRequest>(
        PendingRequest{std::move(wanted), std::move(told), loop_.clock().now() + kPatience, false}));
}

void ConsensusClient::request_lease(MemberKind kind, const std::string& member, const std::string& by,
                                    bool forced, ResultCallback told) {
    want({RequestKind::request_lease, forced, kind, member, by, {}, {}}, std::move(told));
}

void ConsensusClient::return_lease(MemberKind kind, const std::string& member, const std::string& by,
                                   ResultCallback told) {
    want({RequestKind::return_lease, false, kind, member, by, {}, {}}, std::move(told));
}

void ConsensusClient::request_upgrade_lease(const std::string& member, bool forced, ResultCallback told) {
    want({RequestKind::upgrade_lease, forced, MemberKind::proxy, member, {}, {}}, std::move(told));
}

void ConsensusClient::submit_release_command(const rollout::ReleaseCommand& order, ResultCallback told) {
    want({RequestKind::release_command,
          false,
          MemberKind::proxy,
          {},
          order.requested_by,
          rollout::encode(order),
          {}},
         std::move(told));
}

void ConsensusClient::submit_change(const kv_store::Transaction& change, ResultCallback told) {
    if (std::string wrong = kv_store::validate(change); !wrong.empty())
        return told(CommandResult{rollout::Outcome::rejected, 0, std::move(wrong), {}});
    want({RequestKind::change, false, MemberKind::pop_cache, {}, change.by, kv_store::encode(change), {}},
         std::move(told));
}

void ConsensusClient::submit_purge(const kv_store::Purge& purge, ResultCallback told) {
    want({RequestKind::change, false, MemberKind::pop_cache, {}, purge.by, kv_store::encode(purge), {}},
         std::move(told));
}

void ConsensusClient::read(const std::string& key, ResultCallback told) {
    want({RequestKind::read, false, MemberKind::pop_cache, key, {}, {}, {}}, std::move(told));
}

void ConsensusClient::take_leadership(ResultCallback told) {
    const std::string& self = transport_.membership().self().name;
    if (!votes()) return told(CommandResult{rollout::Outcome::rejected, 0, self + " does not vote", {}});
    want({RequestKind::take_leadership, false, MemberKind::pop_cache, self, self, {}, {}}, std::move(told));
}

void ConsensusClient::submit_release_step(rollout::ReleaseStep step, ResultCallback told) {
    if (!is_leader()) return told(std::nullopt);
    step.now = loop_.clock().now();
    raft_node_->propose(rollout::encode(step), std::move(told));
}

void ConsensusClient::settle(const std::shared_ptr<PendingRequest>& wish,
                             std::optional<CommandResult> answer) {
    if (!std::exchange(wish->settled, true)) wish->told(std::move(answer));
}

void ConsensusClient::later(std::shared_ptr<PendingRequest> wish) {
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now() + kTryAgain, [this, alive, wish] {
        if (!alive.expired()) pursue(wish);
    });
}

// One try after another until it is agreed on or the time is over. Danger: a try whose answer was lost may
// have been agreed on; that is why asking again gives the same lease, and giving back twice does nothing.
void ConsensusClient::pursue(std::shared_ptr<PendingRequest> wish) {
    const Micros now = loop_.clock().now();
    if (wish->settled) return;
    if (now >= wish->until) return settle(wish, std::nullopt);
    const std::weak_ptr<bool> alive = alive_;
    if (raft_node_ && raft_node_->is_leader()) {
        loop_.timers().schedule(wish->until, [this, alive, wish] {
            if (!alive.expired()) settle(wish, std::nullopt);
        });
        return propose(wish->wanted, [this, alive, wish](std::optional<CommandResult> answer) {
            if (alive.expired()) return;
            answer ? settle(wish, std::move(answer)) : later(wish);
        });
    }
    std::string to = leader();
    if (to.empty() || to == transport_.membership().self().name) {
        auto voter = setup_.voters.begin();
        std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
        to = voter->first;
    }
    if (to == transport_.membership().self().name) return later(wish);
    transport_.call(to, kWishVerb, wish->wanted.encode(), std::min(kOneTry, wish->until - now),
                    [this, alive, wish](std::optional<std::string> body) {
                        if (alive.expired()) return;
                        leader_.clear();
                        if (!body) return later(wish);
                        try {
                            const ConsensusReply said = decode_reply(*body);
                            leader_ = said.leader;
                            if (said.done) return settle(wish, rollout::decode_result(said.body));
                        } catch (const std::exception& wrong) {
                            log::warn("agreed: {}", wrong.what());
                        }
                        later(wish);
                    });
}

void ConsensusClient::take(const std::string& from, const std::string& verb, const std::string& body,
                           const ClusterTransport::Respond& say) {
    // At first hand only: what was heard of a leader is told to nobody, or it would outlive that leader.
    const std::string led = votes() ? raft_node_->leader() : std::string{};
    const auto no = [&] { say(encode(ConsensusReply{false, led, {}})); };
    if (!votes()) return no();
    try {
        if (verb == kStateVerb) {
            // What one of another history has tells nothing of what it lacks.
            const std::uint64_t history = raft_node_->history();
            KnownRevision has = decode_known_revision(body);
            const bool same = has.history == history;
            const bool news = !same || has.revision != raft_node_->state().revision();
            return say(encode(ConsensusReply{!led.empty() && raft_node_->caught_up(), led,
                                             news ? raft_node_->state().encode() : std::string{}, history,
                                             raft_node_->kv_store().update_since(same ? has.kv_store : 0)}));
        }
        if (verb != kWishVerb || !raft_node_->is_leader()) return no();
        propose(ConsensusRequest::decode(body),
                [say, self = transport_.membership().self().name](std::optional<CommandResult> answer) {
                    say(encode(ConsensusReply{answer.has_value(), answer ? self : std::string{},
                                              answer ? rollout::encode(*answer) : std::string{}}));
                });
    } catch (const std::exception& wrong) {
        log::warn("agreed: a question of {}: {}", from, wrong.what());
        no();
    }
}

// Who does not vote asks one voter after another for the state, and keeps the newest it has heard.
void ConsensusClient::poll() {
    auto voter = setup_.voters.begin();
    std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
    const Micros every = std::clamp(kPollEach * static_cast<Micros>(transport_.membership().member_count()),
                                    kPollEvery, kPollLongest);
    poll_ = loop_.timers().schedule(loop_.clock().now() + every, [this] { poll(); });
    ask_state(voter->first, every);
}

// An entry more carries to the voters how far the log is agreed on.
void ConsensusClient::replicate_now() {
    if (is_leader()) raft_node_->read({}, [](const auto&) {});
}

void ConsensusClient::poll_now(const std::string& member) {
    if (!votes() || raft_node_->leader().empty()) ask_state(member, kOneTry);
}

void ConsensusClient::ask_state(const std::string& voter, Micros within) {
    const std::weak_ptr<bool> alive = alive_;
    const KnownRevision has{heard_.revision(), ask_all_ ? 0 : heard_registry_.revision(), heard_history_};
    transport_.call(voter, kStateVerb, fmt::format("{} {} {}", has.revision, has.kv_store, has.history),
                    within, [this, alive](std::optional<std::string> body) {
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
void ConsensusClient::hold(const std::string& answer) {
    const ConsensusReply said = decode_reply(answer);
    if (said.history < heard_history_) return;
    if (!said.leader.empty()) leader_ = said.leader;
    if (said.done) known_ = true, heard_at_ = loop_.clock().now();
    const bool later = said.done && said.history > heard_history_;
    if (said.history > heard_history_ && !later) return;
    if (later) heard_ = {}, heard_registry_ = {}, heard_history_ = said.history;
    // Danger: a voter that is behind tells all of what it has, and that is less than what is here.
    if (!said.kv_store_update.empty() &&
        kv_store::revision_of_update(said.kv_store_update) > heard_registry_.revision()) {
        ask_all_ = !heard_registry_.apply_update(said.kv_store_update);  // throws before it changes anything
        if (!ask_all_ && registered_) registered_();
    }
    if (said.body.empty()) return;
    rollout::State state = rollout::State::decode(said.body);
    if (state.revision() <= heard_.revision()) return;
    heard_ = std::move(state);
    changed_(heard_);
}

std::string ConsensusClient::as_json() const {
    Json::Value root;
    root["member"] = transport_.membership().self().name;
    root["votes"] = votes();
    root["leads"] = raft_node_ && raft_node_->is_leader();
    root["leader"] = leader();
    if (votes()) {
        root["voters"] = Json::Value(Json::arrayValue);
        for (const std::string& voter : raft_node_->voters()) root["voters"].append(voter);
    }
    root["known"] = is_known();
    root["revision"] = Json::UInt64{state().revision()};
    root["registry"]["revision"] = Json::UInt64{kv_store().revision()};
    root["registry"]["keys"] = Json::UInt64{kv_store().entries().size()};
    root["registry"]["last_purge"] = Json::UInt64{kv_store().last_purge()};
    if (const auto age = confirmed_age()) root["sure_age_s"] = static_cast<double>(*age) / 1e6;
    root["last_lease"] = Json::UInt64{state().last_number()};
    const auto listed = [](const rollout::Lease& lease) {
        Json::Value one;
        one["number"] = Json::UInt64{lease.number}, one["kind"] = name_of(lease.kind);
        one["member"] = lease.member, one["school"] = lease.zone, one["by"] = lease.requested_by;
        one["since"] = static_cast<double>(lease.since) / 1e6, one["forced"] = lease.forced;
        return one;
    };
    root["leases"] = root["forced"] = root["out"] = Json::Value(Json::arrayValue);
    for (const auto& [key, lease] : state().leases()) root["leases"].append(listed(lease));
    for (const rollout::Lease& lease : state().forced()) root["forced"].append(listed(lease));
    for (const MemberKind kind : {MemberKind::proxy, MemberKind::pop_cache})
        for (const rollout::FleetMember& seen : world_(kind)) {
            if (!seen.unavailable) continue;
            Json::Value one;
            one["member"] = seen.name, one["kind"] = name_of(kind), one["school"] = seen.zone,
            one["why"] = seen.unavailable_reason;
            root["out"].append(one);
        }
    // What a plan is rehearsed with.
    root["rules"]["school_out"] = setup_.proxies.max_unavailable_in_zone;
    root["rules"]["school_share"] = setup_.proxies.max_zone_weight_share;
    root["rules"]["fleet_out"] = setup_.proxies.max_unavailable;
    root["rules"]["between_s"] = static_cast<double>(setup_.proxies.min_interval_in_zone) / 1e6;
    for (const rollout::FleetMember& seen : world_(MemberKind::proxy)) {
        Json::Value one;
        one["member"] = seen.name, one["school"] = seen.zone, one["weight"] = seen.weight,
        one["out"] = seen.unavailable;
        root["proxies"].append(one);
    }
    return base::to_json_line(root);
}

}  // namespace sumackeel::consensus
