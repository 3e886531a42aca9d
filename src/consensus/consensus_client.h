// A member's access to the replicated log: sends requests to the leader and exposes the replicated state (of
// src/rollout and src/kv_store). A few proxies are voters (running the raft library on this loop); the others
// poll them. Disabled unless the operator's file has an [agreed] section.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/consensus_messages.h"
#include "consensus/consensus_server.h"
#include "consensus/local_voter.h"
#include "consensus/purge_relay.h"
#include "consensus/request_processor.h"
#include "consensus/request_sender.h"
#include "consensus/state_confirmer.h"
#include "consensus/state_follower.h"
#include "consensus/state_view.h"
#include "kv_store/kv_store.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

class ConsensusClient {
  public:
    using FleetView = consensus::FleetView;
    using StateCallback = std::function<void(const rollout::State&)>;
    // Called exactly once, within a second, from the loop. No value: no majority answered in time, and the
    // request has no later effect, except where docs/design/late-calls.md says so.
    using ResultCallback = RaftNode::ResultCallback;

    struct Options {
        // Another process of this proxy may hold the folder until it is asked to terminate.
        bool wait_for_folder = false;
        // How old the confirmation of the state may be when it is used: it is confirmed several times within.
        base::Micros max_confirmed_age = 0;
    };

    // Throws ConsensusError if the folder or the address can't be used. `transport` must outlive this object.
    ConsensusClient(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup,
                    const Options& options, FleetView fleet, StateCallback state_changed);
    ~ConsensusClient();
    ConsensusClient(const ConsensusClient&) = delete;
    ConsensusClient& operator=(const ConsensusClient&) = delete;
    // To be called after the operator's file has been reloaded. Budgets apply from the next request on, and
    // the leader changes the voters one at a time. The folder and the election timeout only change on
    // restart.
    void update_config(const config::Consensus& setup);

    // `called_at`: when an operator called for it, which may be long ago; none: now.
    void request_lease(rollout::MemberKind kind, const std::string& member, const std::string& by,
                       bool forced, ResultCallback done, std::optional<base::Micros> called_at = {});
    void return_lease(rollout::MemberKind kind, const std::string& member, const std::string& by,
                      ResultCallback done, std::optional<base::Micros> called_at = {});
    // Requests a lease of the active release, for the process that upgrades `member`.
    void request_upgrade_lease(const std::string& member, bool forced, ResultCallback done,
                               std::optional<base::Micros> called_at = {});
    void submit_release_command(const rollout::ReleaseCommand& command, ResultCallback done,
                                std::optional<base::Micros> called_at = {});
    // Only the leader can do this; the result has no value if this member is not the leader.
    void submit_release_step(rollout::ReleaseStep step, const ResultCallback& done);
    // Changes the key-value store; the result is `granted` with the revision, or `rejected` with the reason.
    void submit_change(const kv_store::Transaction& change, ResultCallback done,
                       std::optional<base::Micros> called_at = {});
    void submit_purge(const kv_store::Purge& purge, ResultCallback done,
                      std::optional<base::Micros> called_at = {});
    // A linearizable read. The result is `granted` with the version as the number and the value as the
    // reason, or `none` if there is no such key.
    void read(const std::string& key, ResultCallback done);
    // Makes this member the leader if it is a voter: `granted` with the term, or `rejected`.
    void take_leadership(ResultCallback done);

    const kv_store::State& kv_store() const { return view_.kv_store(); }
    // Sets the callback that runs after each change of the key-value store.
    void on_kv_store_change(std::function<void()> callback) { kv_store_changed_ = std::move(callback); }
    // Purges to send with the confirm queries and replies, and the callback for received ones.
    void set_purge_relay(PurgeRelay relay) { purge_relay_ = std::move(relay); }
    // On the leader: makes the reachable voters apply what is committed here at once instead of with the next
    // heartbeat.
    void replicate_now();
    // Polls that voter now if this member is not a voter or knows no leader.
    void poll_now(const std::string& member);
    // See StateView::confirmed_at(), and the time since then.
    std::optional<base::Micros> confirmed_at() const { return view_.confirmed_at(); }
    std::optional<base::Micros> confirmed_age() const { return view_.confirmed_age(loop_.clock().now()); }

    // The result that a lease request for `member` would have now, based on the state known here; no value if
    // the member is unknown.
    std::optional<rollout::CommandResult> explain(const std::string& member) const;
    bool is_leader() const { return voter_.is_leader(); }
    bool votes() const { return voter_.votes(); }
    // The version a proxy is running, by the latest information known here.
    rollout::RunningVersion running_version_of(const cluster::MemberRecord& record) const {
        return view_.running_version_of(record);
    }
    const rollout::State& state() const { return view_.state(); }
    bool is_known() const { return view_.is_known(); }
    std::string leader() const { return view_.leader(); }  // a member's name; empty if none is known
    std::string as_json() const;
    // Stops voting and releases the folder once the log is closed.
    void close();
    // Does the same synchronously by running the loop until it is done. No callbacks run afterwards.
    void close_now();
    bool is_disk_stuck() const { return voter_.is_disk_stuck(); }  // if so, close_now() would block on it

  private:
    void submit(ConsensusRequest request, ResultCallback done, std::optional<base::Micros> called_at = {});
    const std::string& self() const { return transport_.membership().self().name; }

    net::Loop& loop_;
    ClusterTransport& transport_;
    config::Consensus setup_;
    StateCallback state_changed_;
    std::function<void()> kv_store_changed_;
    PurgeRelay purge_relay_;
    StateFollower follower_;
    LocalVoter voter_;
    StateView view_;
    RequestProcessor processor_;
    RequestSender sender_;
    ConsensusServer server_;
    StateConfirmer confirmer_;
};

}  // namespace sumackeel::consensus
