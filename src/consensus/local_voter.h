// Manages this member's own Raft node: when it opens its log, when it stops voting, and how an invalidated
// log is archived. While this member is not a voter or knows no leader, the StateFollower polls the others.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/raft_node.h"
#include "consensus/state_follower.h"
#include "net/background_task.h"
#include "net/loop.h"

namespace sumackeel::consensus {

class LocalVoter {
  public:
    // All references must outlive this object; `setup` always has the current settings.
    LocalVoter(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup,
               StateFollower& follower, StateFollower::Hooks hooks);
    ~LocalVoter();
    LocalVoter(const LocalVoter&) = delete;
    LocalVoter& operator=(const LocalVoter&) = delete;

    // Opens the log if the operator's file names this member as a voter. Throws ConsensusError if the
    // directory or the address can't be used. `wait_for_folder`: another process of this proxy may hold it.
    void start(bool wait_for_folder);
    // To be called after the operator's file was reloaded and `setup` has changed.
    void on_config_changed();

    bool votes() const { return node_ && node_->is_voter(); }
    bool is_leader() const { return node_ && node_->is_leader(); }
    // Only valid while votes() is true.
    RaftNode& node() { return *node_; }
    const RaftNode& node() const { return *node_; }

    // Stops voting and releases the directory once the log is closed.
    void close();
    // Does the same synchronously by running the loop until it is done. No callbacks run afterwards.
    void close_now();
    bool is_disk_stuck() const;  // if so, close_now() would block on it

  private:
    std::unique_ptr<RaftNode> make_node();
    std::string open_at_start();
    std::string reopen_without_entries(const std::string& reason);
    std::string archive_name() const;
    void tick();
    void commit_former_entries();
    void expire_keys();
    void check_leader();
    void on_newer_history(std::uint64_t history);
    void archive_unreadable_entries(const std::string& reason);
    // Moves files of the log into the folder `archive`; returns an empty string or the error. Runs on another
    // thread.
    using MoveFiles = std::function<std::string(const std::string& folder, const std::string& archive)>;
    void archive_log(MoveFiles move);
    void on_log_archived(const std::string& error);
    void on_log_failed();
    void open_later();
    void open_log();
    bool is_alive(const std::string& voter) const;
    const std::string& self() const { return transport_.membership().self().name; }

    net::Loop& loop_;
    ClusterTransport& transport_;
    const config::Consensus& setup_;
    StateFollower& follower_;
    StateFollower::Hooks hooks_;
    std::map<std::string, std::string> known_voters_;  // addresses by name, including former voters
    net::BackgroundTask directory_task_;               // runs only while no log is open in the directory
    std::unique_ptr<RaftNode> node_;                   // null if this member was never named as a voter
    LogStart log_start_ = LogStart::bootstrap;         // join if it became a voter while running
    bool archiving_ = false;                           // the log is of an older history or unreadable
    bool entries_archived_ = false;                    // unreadable entries are archived at most once
    base::Micros leader_known_at_ = 0;                 // 0: never
    std::optional<base::TimerQueue::Key> tick_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
