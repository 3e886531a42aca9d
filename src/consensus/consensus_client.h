// A member's access to the replicated log: requests to its leader, and the state that it holds (of
// src/rollout and src/kv_store). A few of the proxies vote (the raft library, on this loop), the others poll
// them. Off unless the operator's file has [agreed].
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/consensus_messages.h"
#include "consensus/consensus_server.h"
#include "consensus/local_voter.h"
#include "consensus/request_processor.h"
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
    // Called once, within a second, from the loop. None: no majority answered in time; the request may have
    // been committed all the same, and repeating it is safe.
    using ResultCallback = RaftNode::ResultCallback;

    // Throws ConsensusError where the folder or the address can't be used. `transport` outlives this.
    // `wait_for_folder`: another process of this proxy may hold it until that one is asked to end.
    ConsensusClient(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup,
                    bool wait_for_folder, FleetView fleet, StateCallback state_changed);
    ~ConsensusClient();
    ConsensusClient(const ConsensusClient&) = delete;
    ConsensusClient& operator=(const ConsensusClient&) = delete;
    // The operator's file was read anew: budgets hold from the next request on; the leader changes who votes,
    // one after another. The folder and the election timeout wait for the next start.
    void update_config(const config::Consensus& setup);

    void request_lease(rollout::MemberKind kind, const std::string& member, const std::string& by,
                       bool forced, ResultCallback done);
    void return_lease(rollout::MemberKind kind, const std::string& member, const std::string& by,
                      ResultCallback done);
    // Of the release under way, for whoever upgrades `member`.
    void request_upgrade_lease(const std::string& member, bool forced, ResultCallback done);
    void submit_release_command(const rollout::ReleaseCommand& command, ResultCallback done);
    // Of a leader alone; none where this member does not lead.
    void submit_release_step(rollout::ReleaseStep step, ResultCallback done);
    // Of the key-value store; `granted` with the revision, or `rejected` with the reason.
    void submit_change(const kv_store::Transaction& change, ResultCallback done);
    void submit_purge(const kv_store::Purge& purge, ResultCallback done);
    // A linearizable read: `granted` with its version as the number and its value as the reason, or `none`.
    void read(const std::string& key, ResultCallback done);
    // Makes this one the leader, if it votes: `granted` with the term, or `rejected`.
    void take_leadership(ResultCallback done);

    const kv_store::State& kv_store() const { return view_.kv_store(); }
    // Called after each change of it.
    void on_kv_store_change(std::function<void()> callback) { kv_store_changed_ = std::move(callback); }
    // Of a leader: an entry applied here is applied by all voters in touch at once, not with the next
    // heartbeat.
    void replicate_now();
    // Of a member that does not vote, or knows no leader: polls that voter now.
    void poll_now(const std::string& member);
    std::optional<base::Micros> confirmed_age() const { return view_.confirmed_age(); }

    // The result that a request for a lease of `member` would have now, by what is known here; none: no such
    // member is known.
    std::optional<rollout::CommandResult> explain(const std::string& member) const;
    bool is_leader() const { return voter_.is_leader(); }
    // What a proxy runs, by the latest that is known here.
    rollout::RunningVersion running_version_of(const cluster::MemberRecord& record) const {
        return view_.running_version_of(record);
    }
    const rollout::State& state() const { return view_.state(); }
    bool is_known() const { return view_.is_known(); }
    std::string leader() const { return view_.leader(); }  // a member's name; empty: none is known
    std::string as_json() const;
    // Stops voting, and releases the folder once the log is closed.
    void close();
    // The same at once; the loop is run until that is done. No callbacks from then on.
    void close_now();
    bool is_disk_stuck() const { return voter_.is_disk_stuck(); }  // close_now() would wait for it

  private:
    struct PendingRequest;
    using PendingPtr = std::shared_ptr<PendingRequest>;

    void submit(ConsensusRequest request, ResultCallback done);
    void attempt(const PendingPtr& pending);
    void attempt_locally(const PendingPtr& pending);
    void attempt_at(const std::string& voter, const PendingPtr& pending);
    void on_reply(const PendingPtr& pending, const std::string& body);
    void retry_later(const PendingPtr& pending);
    std::string next_target();
    const std::string& self() const { return transport_.membership().self().name; }

    net::Loop& loop_;
    ClusterTransport& transport_;
    config::Consensus setup_;
    StateCallback state_changed_;
    std::function<void()> kv_store_changed_;
    StateFollower follower_;
    LocalVoter voter_;
    StateView view_;
    RequestProcessor processor_;
    ConsensusServer server_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
