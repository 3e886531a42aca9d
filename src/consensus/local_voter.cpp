#include "consensus/local_voter.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "base/run_with_timeout.h"
#include "consensus/consensus_error.h"
#include "consensus/raft_directory.h"

namespace sumackeel::consensus {

using base::Micros;

namespace {

constexpr Micros kTickInterval = 1'000'000;
constexpr Micros kLeaderlessTimeout = 3'000'000;  // a voter without a leader then polls the others
constexpr Micros kReopenInterval = 200'000;       // while another process holds the directory
constexpr std::chrono::seconds kDirectoryCheckTimeout{2};

void log_unreadable(const std::string& folder, const std::string& reason) {
    log::error(
        "consensus: log unreadable folder={} reason={}; archiving its entries and refetching them from the "
        "leader",
        folder, reason);
}

}  // namespace

LocalVoter::LocalVoter(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup,
                       StateFollower& follower, StateFollower::Hooks hooks)
    : loop_(loop),
      transport_(transport),
      setup_(setup),
      follower_(follower),
      hooks_(std::move(hooks)),
      known_voters_(setup.voters),
      directory_task_(loop) {}

LocalVoter::~LocalVoter() {
    close_now();
}

// Two processes writing to one log would corrupt it. The previous process releases the directory when it is
// asked to terminate; until then this one polls the others. A voter that has lost its log waits until the
// others have a leader.
void LocalVoter::start(bool wait_for_folder) {
    if (!setup_.voters.contains(self())) return;
    node_ = make_node();
    const bool lost_log = node_->has_lost_log();
    if (lost_log)
        log::error(
            "consensus: log lost member={} folder={} reason=the voter has voted before but has no log; "
            "waiting for a leader among the other voters",
            self(), setup_.folder);
    const auto checked = base::run_with_timeout(
        kDirectoryCheckTimeout, [folder = setup_.folder] { return check_log_directory(folder); });
    if (!checked)
        log::error("consensus: folder not answering folder={}; voting starts once it does", setup_.folder);
    if (!checked || wait_for_folder || lost_log) {
        open_later();
    } else if (const std::string error = open_at_start(); !error.empty()) {
        node_->close_now();
        throw ConsensusError(ConsensusErrorCode::log_not_opened, error);
    }
    follower_.raise_history(node_->history());
    tick();
}

std::string LocalVoter::open_at_start() {
    const std::string error = node_->open(log_start_);
    return node_->is_log_unreadable() ? reopen_without_entries(error) : error;
}

// The leader among the other voters resends the entries; the proxy serves requests in the meantime.
std::string LocalVoter::reopen_without_entries(const std::string& reason) {
    log_unreadable(setup_.folder, reason);
    entries_archived_ = true;
    node_->close_now();
    if (const std::string error = move_log_entries(setup_.folder, archive_name()); !error.empty())
        return fmt::format("{}; archiving failed: {}", reason, error);
    log::warn("consensus: log archived folder={}", setup_.folder);
    node_ = make_node();
    return node_->open(log_start_);
}

std::unique_ptr<RaftNode> LocalVoter::make_node() {
    RaftNode::Hooks hooks{setup_, known_voters_, transport_.setup().folder, {}, {}, {}, {}, {}, {}};
    hooks.reachable_address = [this](const std::string& address) {
        return transport_.reachable_address(address);
    };
    hooks.is_alive = [this](const std::string& voter) { return is_alive(voter); };
    // While the voter's log is behind the follower's copy, the copy is authoritative.
    hooks.state_changed = [this] {
        if (node_ && node_->state().revision() > follower_.state().revision())
            hooks_.state_changed(node_->state());
    };
    hooks.kv_store_changed = [this] { hooks_.kv_store_changed(); };
    hooks.newer_history_found = [this](std::uint64_t history) { on_newer_history(history); };
    hooks.failed = [this] { on_log_failed(); };
    return std::make_unique<RaftNode>(loop_, transport_.codec(), self(), std::move(hooks));
}

void LocalVoter::on_config_changed() {
    known_voters_.insert(setup_.voters.begin(), setup_.voters.end());
    if (!setup_.voters.contains(self()) || archiving_ || (node_ && !node_->stopped())) return;
    if (node_ && node_->closing())
        return log::warn("consensus: log still closing folder={}; reload the configuration again",
                         setup_.folder);
    // This member became a voter while running, or its log failed. The cluster already has a log, which the
    // leader sends.
    log_start_ = LogStart::join;
    node_ = make_node();
    if (!tick_timer_) tick();
    open_later();
}

void LocalVoter::tick() {
    commit_former_entries();
    node_->reconcile_voters();
    expire_keys();
    check_leader();
    tick_timer_ = loop_.timers().schedule(loop_.clock().now() + kTickInterval, [this] { tick(); });
}

// Entries that a former leader left uncommitted are decided by the first entry of the new one's own term.
// Without it they would take effect together with the next change, however late that is.
void LocalVoter::commit_former_entries() {
    if (is_leader() && !node_->is_caught_up_leader()) node_->confirm_leadership([](bool) {});
}

void LocalVoter::expire_keys() {
    const auto due = node_->kv_store().next_expiry();
    if (!due || !is_leader() || *due > loop_.clock().now()) return;
    // The next tick proposes it again where it was not accepted.
    static_cast<void>(
        node_->propose(kv_store::encode(kv_store::ExpireKeys{loop_.clock().now()}), [](const auto&) {}));
}

// A voter that has known no leader for a while is partitioned or was removed: the leader sends nothing to
// members outside the configuration. It polls the others like a member that is not a voter. If the operator's
// file no longer names it and another member reports a leader, it was removed and closes its log.
void LocalVoter::check_leader() {
    const Micros now = loop_.clock().now();
    if (!votes() || !node_->leader().empty()) {
        leader_known_at_ = now;
        if (votes()) follower_.stop_polling();
        return;
    }
    if (leader_known_at_ == 0) leader_known_at_ = now;
    if (now - leader_known_at_ < kLeaderlessTimeout) return;
    if (!follower_.is_polling()) {
        follower_.set_leader({});  // forget the old one; the poll replies name the current leader
        follower_.forget_known();
        follower_.start_polling();
    }
    const std::string& leader = follower_.leader();
    if (leader.empty() || leader == self() || setup_.voters.contains(self())) return;
    log::info("consensus: voting stopped member={} leader={} reason=removed from the voters", self(), leader);
    node_->stop();
    follower_.adopt(*node_);
}

// An operator forced another voter's log to continue without this one, which invalidates this log. Called
// from within the transport.
void LocalVoter::on_newer_history(std::uint64_t history) {
    if (std::exchange(archiving_, true)) return;
    log::error(
        "consensus: log outdated folder={} history={} reason=another voter has a later history; archiving "
        "the log",
        setup_.folder, history);
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now(), [this, alive, history] {
        if (alive.expired()) return;
        node_->stop();
        follower_.reset(history);
        follower_.start_polling();
        archive_log([history](const std::string& folder, const std::string& archive) {
            const std::string error = move_log_files(folder, archive);
            return error.empty() ? RaftDirectory::write_history(folder, history) : error;
        });
    });
}

std::string LocalVoter::archive_name() const {
    return fmt::format("{}/aside-{}", setup_.folder, loop_.clock().now());
}

void LocalVoter::archive_unreadable_entries(const std::string& reason) {
    log_unreadable(setup_.folder, reason);
    entries_archived_ = archiving_ = true;
    node_->stop();
    archive_log(move_log_entries);
}

// Once the log is closed, moves its files to a separate folder, where they can be inspected.
void LocalVoter::archive_log(MoveFiles move) {
    if (node_->closing() || directory_task_.busy()) {
        const std::weak_ptr<bool> alive = alive_;
        loop_.timers().schedule(loop_.clock().now() + kReopenInterval, [this, alive, move = std::move(move)] {
            if (!alive.expired()) archive_log(move);
        });
        return;
    }
    const auto error = std::make_shared<std::string>();
    directory_task_.run([folder = setup_.folder, archive = archive_name(), move = std::move(move),
                         error] { *error = move(folder, archive); },
                        [this, error] { on_log_archived(*error); });
}

void LocalVoter::on_log_archived(const std::string& error) {
    if (!error.empty())
        return log::error("consensus: archiving failed folder={} reason={}; not voting", setup_.folder,
                          error);
    log::warn("consensus: log archived folder={}", setup_.folder);
    archiving_ = false;
    log_start_ = LogStart::join;
    node_ = make_node();
    open_later();
}

void LocalVoter::on_log_failed() {
    follower_.adopt(*node_);
    follower_.start_polling();
}

bool LocalVoter::is_alive(const std::string& voter) const {
    if (voter == self()) return true;
    const auto& members = transport_.membership().members();
    return std::any_of(members.begin(), members.end(), [&](const cluster::MemberView& member) {
        return member.record.name == voter && member.state == cluster::State::alive;
    });
}

void LocalVoter::open_later() {
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now() + kReopenInterval, [this, alive] {
        if (alive.expired()) return;
        if (directory_task_.busy()) return open_later();
        const auto error = std::make_shared<std::string>();
        directory_task_.run([folder = setup_.folder, error] { *error = check_log_directory(folder); },
                            [this, error] { error->empty() ? open_log() : open_later(); });
    });
}

// Called when the directory has just been read and no other process holds it.
void LocalVoter::open_log() {
    const bool needs_leader = node_->has_lost_log() || log_start_ == LogStart::join;
    if (needs_leader && (!follower_.is_known() || follower_.leader().empty())) return open_later();
    if (const std::string error = node_->open(log_start_); !error.empty()) {
        if (node_->is_log_unreadable() && !entries_archived_) return archive_unreadable_entries(error);
        log::error("consensus: log not opened folder={} reason={}; not voting", setup_.folder, error);
        return node_->stop();
    }
    follower_.stop_polling();
    follower_.raise_history(node_->history());
    log::info("consensus: voting started member={}", self());
}

void LocalVoter::close() {
    if (node_) node_->close();
}

void LocalVoter::close_now() {
    alive_.reset();
    if (tick_timer_) loop_.timers().cancel(*tick_timer_);
    tick_timer_.reset();
    if (node_) node_->close_now();
}

bool LocalVoter::is_disk_stuck() const {
    return directory_task_.is_stuck() || (node_ && node_->is_disk_stuck());
}

}  // namespace sumackeel::consensus
